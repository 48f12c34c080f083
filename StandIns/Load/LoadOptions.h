#pragma once

#include <LibBase/Time.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace wigeonlift {

struct LoadOptions {
  /// Addresses of entry VMs that callers know beforehand.
  std::vector<std::string> Entries;
  /// Addresses of upstreams; every second call goes to one of them without an entry
  /// VM, or every call when no entry VMs are given.
  std::vector<std::string> DirectUpstreams;
  /// Calls a second by name of the catalogue entry.
  std::vector<std::pair<std::string, double>> Rates;
  std::uint64_t Seed = 1;
  int Callers = 20;
  /// Time in which calls begin.
  Duration Length = std::chrono::seconds{10};
  /// First part of that time, whose latencies don't count: connections are opened and upstreams
  /// that were idle are probed again.
  Duration WarmUp{};
  /// Deadline that callers state; zero states none.
  Duration Deadline{};
  /// How long a caller waits for one answer.
  Duration AnswerTimeout = std::chrono::seconds{10};
  /// How long a caller goes on repeating one call.
  Duration GiveUpAfter = std::chrono::seconds{20};
  std::uint64_t AnswerBytes = 512;
  std::uint64_t ExportBytes = 1024 * 1024;
};

} // namespace wigeonlift
