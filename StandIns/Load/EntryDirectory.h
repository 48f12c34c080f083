#pragma once

#include <LibBase/Time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// What one caller remembers of the entry VMs it may use.
class EntryDirectory {
public:
  /// The seeds are addresses known beforehand; the caller asks first at the given one of them.
  EntryDirectory(std::vector<std::string> seeds, std::size_t firstSeed);

  /// The address to use; empty when an entry VM must be asked.
  std::optional<std::string> current(TimePoint now) const;
  /// The address to ask. Each call gives the next one, since one may be dead.
  std::string nextToAsk();
  /// Remembers an answer, in the order of use, for its lifetime.
  void remember(std::vector<std::string> addresses, Duration lifetime, TimePoint now);
  /// An address was dead or is stopping: the next one is used.
  void didFail(const std::string &address);

private:
  std::vector<std::string> Seeds;
  std::size_t NextSeed;
  std::vector<std::string> Addresses;
  TimePoint ValidUntil{};
};

/// The addresses and the lifetime of an answer to `GET /wigeonlift/entries`.
struct EntriesAnswer {
  std::vector<std::string> Addresses;
  Duration Lifetime{};
};

/// Parses the answer; empty when it is not of the expected form.
std::optional<EntriesAnswer> parseEntriesAnswer(std::string_view text);

} // namespace wigeonlift
