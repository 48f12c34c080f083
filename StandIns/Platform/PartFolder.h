#pragma once

#include <StandIns/Platform/ValueHistory.h>

#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace wigeonlift {

/// Values of further keys of the configuration service, each from the file `KEY.yaml` of a folder.
class PartFolder {
public:
  /// An empty path is a folder without files.
  explicit PartFolder(std::filesystem::path folder) : Folder(std::move(folder)) {}

  /// Reads the files that have changed. A file that is gone takes its value with it.
  void reload();
  /// Readers keep seeing the present values while newer ones are written.
  void setStale(bool isStale);
  /// The value of a key; null when there is none.
  const IndexedValue *served(std::string_view key) const;

private:
  struct Part {
    std::filesystem::file_time_type WrittenAt;
    ValueHistory Values;
  };

  void reload(const std::filesystem::directory_entry &file);

  std::filesystem::path Folder;
  std::map<std::string, Part, std::less<>> Parts;
  bool IsStale = false;
};

} // namespace wigeonlift
