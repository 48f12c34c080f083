#include <LibFleet/Compression.h>

#include <zlib.h>

#include <algorithm>

namespace wigeonlift {

namespace {

// Size of the first output buffer, as a multiple of the compressed size.
constexpr std::size_t InitialExpansionFactor = 8;

const Bytef *data(std::string_view bytes) { return reinterpret_cast<const Bytef *>(bytes.data()); }

} // namespace

std::string compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string result(size, '\0');
  compress2(reinterpret_cast<Bytef *>(result.data()), &size, data(bytes), bytes.size(),
            Z_BEST_SPEED);
  result.resize(size);
  return result;
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t limit) {
  for (std::size_t capacity = std::min(limit, InitialExpansionFactor * bytes.size()); true;
       capacity = std::min(limit, 2 * capacity)) {
    std::string result(capacity, '\0');
    uLongf size = capacity;
    const int code =
        uncompress(reinterpret_cast<Bytef *>(result.data()), &size, data(bytes), bytes.size());
    if (code == Z_OK) {
      result.resize(size);
      return result;
    }
    if (code != Z_BUF_ERROR || capacity == limit)
      return std::nullopt;
  }
}

} // namespace wigeonlift
