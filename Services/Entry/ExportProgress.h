#pragma once

#include <LibHttp/HttpMessage.h>

#include <cstdint>
#include <optional>
#include <string>

namespace wigeonlift {

/// How much of an export the caller has, and which entity it is, so that another upstream can
/// continue it.
class ExportProgress {
public:
  /// Empty when the response can't be resumed: only a complete GET response with a strong ETag
  /// and a known length can.
  static std::optional<ExportProgress> of(const HttpRequestHead &request,
                                          const HttpResponseHead &response);

  void didReceive(std::size_t bytes) { Received += bytes; }
  /// Whether anything is left to ask for.
  bool isComplete() const { return Received >= Total; }
  /// Asks for the rest of the same entity.
  void addRange(HttpRequestHead &request) const;
  /// Whether the response is exactly the rest of the same entity.
  bool isContinuedBy(const HttpResponseHead &response) const;

private:
  std::string ETag;
  std::uint64_t Total = 0;
  std::uint64_t Received = 0;
};

} // namespace wigeonlift
