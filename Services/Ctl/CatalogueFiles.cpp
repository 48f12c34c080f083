#include <Services/Ctl/CatalogueFiles.h>

#include <LibSettings/LibSettings.h>

#include <fmt/ostream.h>

#include <filesystem>

namespace wigeonlift {

namespace {

/// Position of the first byte of a line, counted from 1.
std::size_t startOfLine(std::string_view text, int line) {
  std::size_t at = 0;
  for (int n = 1; n < line; ++n)
    at = text.find('\n', at) + 1;
  return at;
}

} // namespace

std::shared_ptr<const Catalogue> CatalogueFiles::check(std::ostream &err) {
  std::optional<std::string> root = readFile(RootFile);
  if (!root) {
    fmt::print(err, "{}\n", describe({0, "", DocumentRule::Readable}, RootFile));
    return nullptr;
  }
  const ParsedCatalogue parsed = parseCatalogue(compose(std::move(*root), err));
  for (DocumentError it : parsed.Errors) {
    const std::string file = it.Part.empty() ? RootFile : partFile(it.Part);
    it.Part.clear();
    // A file that is missing has been reported with its name.
    if (it.Rule != DocumentRule::HasPart)
      fmt::print(err, "{}\n", describe(it, file));
  }
  return IsComplete ? parsed.Value : nullptr;
}

/// Joins the root and the files of its parts. Wrong digests are reported and corrected, so that the
/// contents of all parts can be judged at once.
std::string CatalogueFiles::compose(std::string root, std::ostream &err) {
  const PartList list = readPartList(root);
  if (list.Items.empty() || !list.Errors.empty())
    return root;
  std::vector<std::string> texts;
  std::vector<CatalogueSection> sections;
  texts.reserve(list.Items.size());
  for (std::size_t n = 0; n < list.Items.size(); ++n) {
    const CataloguePart &part = list.Items[n];
    std::optional<std::string> text = readFile(partFile(part.Key));
    if (!text) {
      IsComplete = false;
      fmt::print(err, "{}:{}: parts[{}].key: the file {} of this part can't be read\n", RootFile,
                 part.Line, n, partFile(part.Key));
      continue;
    }
    const ContentDigest digest = ContentDigest::of(*text);
    if (digest != part.Digest)
      correctDigest(root, part, n, digest, err);
    sections.push_back({part.Key, texts.emplace_back(std::move(*text))});
  }
  return composeCatalogue(root, sections);
}

void CatalogueFiles::correctDigest(std::string &root, const CataloguePart &part,
                                   std::size_t position, const ContentDigest &digest,
                                   std::ostream &err) {
  IsComplete = false;
  fmt::print(err, "{}:{}: parts[{}].digest: the digest of {} is {}\n", RootFile, part.Line,
             position, partFile(part.Key), digest.toText());
  const std::string written = part.Digest.toText();
  const std::size_t at = root.find(written, startOfLine(root, part.Line));
  if (at != std::string::npos)
    root.replace(at, written.size(), digest.toText());
}

std::string CatalogueFiles::partFile(std::string_view key) const {
  const std::filesystem::path folder = std::filesystem::path{RootFile}.parent_path();
  return (folder / fmt::format("{}.yaml", key)).string();
}

} // namespace wigeonlift
