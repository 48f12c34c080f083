#pragma once

#include <LibBase/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonlift {

struct UpstreamOptions {
  std::string Name;
  int Slots = 3;
  int QueueLimit = 200;
  double MeanMs = 10;
  double Sigma = 0.8;
  std::uint64_t Seed = 1;
  /// Size of an answer to a call that names none.
  std::uint64_t AnswerBytes = 512;
  /// Rate of one answer; 0 is as fast as the connection.
  std::uint64_t AnswerBytesPerSecond = 0;
  /// How old the load is that the health endpoint shows.
  Duration HealthLag = std::chrono::seconds{5};
  /// How long a start is followed by slower work.
  Duration WarmUp = std::chrono::seconds{3};
  /// Whether the first start is cold too.
  bool StartsCold = false;
  /// Headers that may hold the request id, in order of preference.
  std::vector<std::string> RequestIdHeaders;
};

} // namespace wigeonlift
