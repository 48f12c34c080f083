#include "ExportProgress.h"

#include <LibBase/Text.h>

#include <fmt/format.h>

namespace wigeonlift {

namespace {

namespace http = boost::beast::http;

bool isStrongETag(std::string_view text) {
  return text.size() >= 2 && text.front() == '"' && text.back() == '"';
}

} // namespace

std::optional<ExportProgress> ExportProgress::of(const HttpRequestHead &request,
                                                 const HttpResponseHead &response) {
  const std::string_view tag = response[http::field::etag];
  const auto length = parseNumber<std::uint64_t>(response[http::field::content_length]);
  const bool isWhole = response.result() == http::status::ok &&
                       request.method() == http::verb::get &&
                       request.count(http::field::range) == 0;
  if (!isWhole || !isStrongETag(tag) || !length)
    return std::nullopt;
  ExportProgress progress;
  progress.ETag = tag;
  progress.Total = *length;
  return progress;
}

void ExportProgress::addRange(HttpRequestHead &request) const {
  request.set(http::field::range, fmt::format("bytes={}-", Received));
  request.set(http::field::if_range, ETag);
}

bool ExportProgress::isContinuedBy(const HttpResponseHead &response) const {
  const std::string expected = fmt::format("bytes {}-{}/{}", Received, Total - 1, Total);
  return response.result() == http::status::partial_content &&
         response[http::field::etag] == ETag && response[http::field::content_range] == expected &&
         response[http::field::content_length] == fmt::format("{}", Total - Received);
}

} // namespace wigeonlift
