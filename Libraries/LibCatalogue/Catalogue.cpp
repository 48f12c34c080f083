#include <LibCatalogue/Catalogue.h>

#include <algorithm>

namespace wigeonlift {

namespace {

/// Whether the prefix matches whole path segments: `/rank` matches `/rank/7` and `/rank?x` but not
/// `/ranking`.
bool hasPathPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix))
    return false;
  if (path.size() == prefix.size() || prefix.ends_with('/'))
    return true;
  return path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

const EntrySpec *Catalogue::match(std::string_view path, std::string_view owner) const {
  const EntrySpec *best = nullptr;
  for (const EntrySpec &it : Entries) {
    if (!owner.empty() && it.Owner != owner)
      continue;
    if (!hasPathPrefix(path, it.PathPrefix))
      continue;
    if (!best || it.PathPrefix.size() > best->PathPrefix.size())
      best = &it;
  }
  return best;
}

const ServiceSpec *Catalogue::service(std::string_view name) const {
  const auto it = std::ranges::find(Services, name, &ServiceSpec::Name);
  return it == Services.end() ? nullptr : &*it;
}

} // namespace wigeonlift
