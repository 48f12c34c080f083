#include <LibMembership/CatalogueDelta.h>

#include <LibBase/Text.h>

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace wigeonlift {

namespace {

/// Lines with their line feeds; the last one may have none.
std::vector<std::string_view> linesOf(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t n = std::min(text.find('\n'), text.size() - 1) + 1;
    lines.push_back(text.substr(0, n));
    text.remove_prefix(n);
  }
  return lines;
}

/// Finds lines of the base, preferring the first occurrence at or after a position.
class LineIndex {
public:
  explicit LineIndex(const std::vector<std::string_view> &lines) : Lines(lines) {
    for (std::size_t n = 0; n < lines.size(); ++n)
      Positions[lines[n]].push_back(n);
  }

  std::optional<std::size_t> find(std::string_view line, std::size_t after) const {
    if (after < Lines.size() && Lines[after] == line)
      return after;
    const auto it = Positions.find(line);
    if (it == Positions.end())
      return std::nullopt;
    const auto next = std::ranges::lower_bound(it->second, after);
    return next == it->second.end() ? it->second.front() : *next;
  }

private:
  const std::vector<std::string_view> &Lines;
  std::unordered_map<std::string_view, std::vector<std::size_t>> Positions;
};

/// Collects the operations and joins neighbouring ones.
class DeltaWriter {
public:
  void copy(std::size_t line) {
    if (Count > 0 && Start + Count == line) {
      ++Count;
      return;
    }
    flush();
    Start = line;
    Count = 1;
  }
  void insert(std::string_view line) {
    if (Count > 0)
      flush();
    Inserted += line;
  }
  std::string finish() {
    flush();
    return std::move(Text);
  }

private:
  void flush() {
    if (!Inserted.empty())
      Text += fmt::format("i {}\n{}", Inserted.size(), Inserted);
    if (Count > 0)
      Text += fmt::format("c {} {}\n", Start, Count);
    Inserted.clear();
    Count = 0;
  }

  std::string Text;
  std::string Inserted;
  std::size_t Start = 0;
  std::size_t Count = 0;
};

/// Applies the operations of a delta one by one.
class DeltaReader {
public:
  DeltaReader(std::string_view base, std::string_view delta, std::size_t maxBytes)
      : Lines(linesOf(base)), Rest(delta), MaxBytes(maxBytes) {}

  std::optional<std::string> read() {
    while (!Rest.empty())
      if (!step() || Document.size() > MaxBytes)
        return std::nullopt;
    return std::move(Document);
  }

private:
  bool step() {
    const std::size_t n = Rest.find('\n');
    if (n == std::string_view::npos)
      return false;
    const std::vector<std::string_view> words = split(Rest.substr(0, n), ' ');
    Rest.remove_prefix(n + 1);
    if (words.size() == 2 && words[0] == "i")
      return insert(parseNumber<std::size_t>(words[1]));
    if (words.size() == 3 && words[0] == "c")
      return copy(parseNumber<std::size_t>(words[1]), parseNumber<std::size_t>(words[2]));
    return false;
  }

  bool insert(std::optional<std::size_t> bytes) {
    if (!bytes || *bytes > Rest.size())
      return false;
    Document += Rest.substr(0, *bytes);
    Rest.remove_prefix(*bytes);
    return true;
  }

  bool copy(std::optional<std::size_t> start, std::optional<std::size_t> count) {
    if (!start || !count || *start > Lines.size() || *count > Lines.size() - *start)
      return false;
    for (std::size_t n = 0; n < *count && Document.size() <= MaxBytes; ++n)
      Document += Lines[*start + n];
    return true;
  }

  std::vector<std::string_view> Lines;
  std::string_view Rest;
  std::size_t MaxBytes;
  std::string Document;
};

} // namespace

std::string makeDelta(std::string_view base, std::string_view document) {
  const std::vector<std::string_view> baseLines = linesOf(base);
  const LineIndex index{baseLines};
  DeltaWriter writer;
  std::size_t next = 0;
  for (const std::string_view line : linesOf(document)) {
    if (const auto found = index.find(line, next)) {
      writer.copy(*found);
      next = *found + 1;
    } else {
      writer.insert(line);
    }
  }
  return writer.finish();
}

std::optional<std::string> applyDelta(std::string_view base, std::string_view delta,
                                      std::size_t maxBytes) {
  return DeltaReader{base, delta, maxBytes}.read();
}

} // namespace wigeonlift
