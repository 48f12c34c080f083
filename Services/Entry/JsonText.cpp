#include "JsonText.h"

#include <fmt/format.h>

namespace wigeonlift {

namespace {

constexpr unsigned char FirstPrintable = 0x20;

} // namespace

std::string jsonText(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    if (static_cast<unsigned char>(c) < FirstPrintable)
      quoted += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
    else
      quoted += c;
  }
  return quoted + '"';
}

} // namespace wigeonlift
