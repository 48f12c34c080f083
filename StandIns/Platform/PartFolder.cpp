#include <StandIns/Platform/PartFolder.h>

#include <LibSettings/EntrySettings.h>

#include <system_error>

namespace wigeonlift {

namespace {

constexpr std::string_view Extension = ".yaml";

} // namespace

void PartFolder::reload() {
  if (Folder.empty())
    return;
  std::error_code ec;
  if (!IsStale)
    std::erase_if(Parts, [&](const auto &it) {
      return !std::filesystem::exists(Folder / (it.first + std::string{Extension}), ec);
    });
  for (const auto &it : std::filesystem::directory_iterator{Folder, ec})
    if (it.path().extension() == Extension)
      reload(it);
}

void PartFolder::reload(const std::filesystem::directory_entry &file) {
  std::error_code ec;
  const auto writtenAt = file.last_write_time(ec);
  if (ec)
    return;
  const auto [it, isNew] = Parts.try_emplace(file.path().stem().string());
  Part &part = it->second;
  if (isNew)
    part.Values.setStale(IsStale);
  if (!isNew && part.WrittenAt == writtenAt)
    return;
  if (auto text = readFile(file.path().string()); text && !text->empty()) {
    part.WrittenAt = writtenAt;
    part.Values.write(std::move(*text));
  }
}

void PartFolder::setStale(bool isStale) {
  IsStale = isStale;
  for (auto &[key, part] : Parts)
    part.Values.setStale(isStale);
}

const IndexedValue *PartFolder::served(std::string_view key) const {
  const auto it = Parts.find(key);
  return it == Parts.end() || it->second.Values.served().Index == 0 ? nullptr
                                                                    : &it->second.Values.served();
}

} // namespace wigeonlift
