#pragma once

#include <LibDiscovery/LibDiscovery.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Reads the compressed delta that another VM sends, part by part, into an intake. Whatever the
/// sender's copy contains, this holds one item of it at a time.
class StoreDeltaReader {
public:
  /// An item that is larger isn't accepted. Configurations are the largest that VMs read.
  static constexpr std::size_t MaxItemBytes = 8 * 1024 * 1024;

  explicit StoreDeltaReader(StoreIntake &intake);
  StoreDeltaReader(const StoreDeltaReader &) = delete;
  StoreDeltaReader &operator=(const StoreDeltaReader &) = delete;
  ~StoreDeltaReader();

  /// Returns false if the bytes aren't a valid delta so far.
  bool write(std::string_view compressed);
  /// The delta, if it is complete and valid.
  std::optional<StoreDelta> finish();

private:
  struct Inflater;
  /// The fields of the message besides the items.
  struct Facts {
    bool IsComplete = false;
    bool HasLeftOut = false;
    bool IsLacking = false;
    std::uint64_t AsOf = 0;
    std::uint64_t Era = 0;
  };
  enum class FieldResult : std::uint8_t { Taken, Incomplete, Invalid };

  bool takeFields();
  FieldResult takeField(std::string_view bytes, std::size_t &taken);
  bool takeItem(std::string_view bytes);
  void setFact(int field, std::uint64_t value);

  StoreIntake &Intake;
  std::unique_ptr<Inflater> Stream;
  /// Bytes of the message that aren't taken yet.
  std::string Pending;
  Facts Known;
  bool IsValid = true;
};

} // namespace wigeonlift
