#pragma once

#include <Services/Ctl/Commands.h>

#include <span>
#include <string_view>

namespace wigeonlift {

/// Reads log lines of any number of gateway processes and prints the story of one request in the
/// order of time: what was decided, what the process believed then, and the cause of the outcome.
/// A line that can't be read is reported as `FILE:LINE: REASON` and left out.
ExitCode explainRequest(std::string_view id, std::span<const std::string_view> files,
                        CommandStreams streams);

} // namespace wigeonlift
