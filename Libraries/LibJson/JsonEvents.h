#pragma once

#include <boost/json/basic_parser.hpp>
#include <boost/json/basic_parser_impl.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace wigeonlift {

/// Handler of a `boost::json::basic_parser` that ignores everything. Handlers derive from it and
/// hide what they read. Such a parser holds nothing of a document but what its handler keeps.
struct JsonEvents {
  using Error = boost::json::error_code;

  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  bool on_document_begin(Error &) { return true; }
  bool on_document_end(Error &) { return true; }
  bool on_object_begin(Error &) { return true; }
  bool on_object_end(std::size_t, Error &) { return true; }
  bool on_array_begin(Error &) { return true; }
  bool on_array_end(std::size_t, Error &) { return true; }
  bool on_key_part(std::string_view, std::size_t, Error &) { return true; }
  bool on_key(std::string_view, std::size_t, Error &) { return true; }
  bool on_string_part(std::string_view, std::size_t, Error &) { return true; }
  bool on_string(std::string_view, std::size_t, Error &) { return true; }
  bool on_number_part(std::string_view, Error &) { return true; }
  bool on_int64(std::int64_t, std::string_view, Error &) { return true; }
  bool on_uint64(std::uint64_t, std::string_view, Error &) { return true; }
  bool on_double(double, std::string_view, Error &) { return true; }
  bool on_bool(bool, Error &) { return true; }
  bool on_null(Error &) { return true; }
  bool on_comment_part(std::string_view, Error &) { return true; }
  bool on_comment(std::string_view, Error &) { return true; }
};

/// Text that comes in parts and is kept up to a size.
class BoundedText {
public:
  explicit BoundedText(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  void append(std::string_view part) {
    IsTooLong = IsTooLong || part.size() > MaxBytes - Text.size();
    if (IsTooLong)
      Text.clear();
    else
      Text += part;
  }
  void clear() {
    Text.clear();
    IsTooLong = false;
  }
  bool isTooLong() const { return IsTooLong; }
  /// Empty if it is too long.
  const std::string &text() const { return Text; }

private:
  std::size_t MaxBytes;
  std::string Text;
  bool IsTooLong = false;
};

/// Parses a document that comes in parts. `Handler` derives from `JsonEvents`.
template <typename Handler> class JsonReader {
public:
  template <typename... Args>
  explicit JsonReader(Args &&...args)
      : Parser(boost::json::parse_options{}, std::forward<Args>(args)...) {}

  /// Returns false if the document is invalid so far.
  bool write(std::string_view part) {
    boost::json::error_code ec;
    IsValid =
        IsValid && Parser.write_some(true, part.data(), part.size(), ec) == part.size() && !ec;
    return IsValid;
  }
  /// Returns whether the whole document was valid.
  bool finish() {
    boost::json::error_code ec;
    IsValid = IsValid && Parser.write_some(false, "", 0, ec) == 0 && !ec;
    return IsValid;
  }
  /// Begins another document. The handler remains as it is.
  void reset() {
    Parser.reset();
    IsValid = true;
  }
  Handler &handler() { return Parser.handler(); }

private:
  boost::json::basic_parser<Handler> Parser;
  bool IsValid = true;
};

} // namespace wigeonlift
