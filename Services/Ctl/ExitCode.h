#pragma once

namespace wigeonlift {

/// Exit codes of wigeonlift-ctl.
enum class ExitCode : int {
  Ok = 0,
  Invalid = 1,     ///< The document breaks a rule, or the answer is not what was asked for.
  Usage = 2,       ///< The command line is wrong.
  Unreachable = 3, ///< The VM does not answer.
};

} // namespace wigeonlift
