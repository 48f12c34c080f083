#pragma once

#include "SharedQueue.h"

#include <string_view>
#include <vector>

namespace wigeonlift::bench {

/// A policy by name and the function that runs it.
struct PolicyRun {
  std::string_view Name;
  RunResult (*Run)(const RunOptions &);
};

const std::vector<PolicyRun> &allPolicies();

} // namespace wigeonlift::bench
