#pragma once

#include <Services/Ctl/ExitCode.h>

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Texts go to `out`, errors to `err`.
struct CommandStreams {
  std::ostream &Out;
  std::ostream &Err;
};

/// Judges a catalogue file as the fleet does, with the parts that it names from `KEY.yaml` beside
/// it. Each broken rule is a line `FILE:LINE: KEY: RULE`.
ExitCode checkCatalogue(const std::string &file, CommandStreams streams);
/// Prints the items of the root's list `parts` for files that are named `KEY.yaml`.
ExitCode printDigests(std::span<const std::string_view> files, CommandStreams streams);
/// Prints the state dump of the entry VM with that operator address.
ExitCode showState(std::string_view operatorAddress, CommandStreams streams);
/// Asks the entry VM with that callers' address which addresses to use and prints the answer.
ExitCode showEntries(std::string_view callersAddress, CommandStreams streams);

/// Runs the command that the words after the flags name.
ExitCode runCommand(std::span<const std::string_view> words, CommandStreams streams);

} // namespace wigeonlift
