#pragma once

#include <Services/Ctl/Commands.h>

#include <LibCatalogue/LibCatalogue.h>

#include <string>

namespace wigeonlift {

/// A catalogue in files: the root, and each of its parts in `KEY.yaml` beside the root.
class CatalogueFiles {
public:
  explicit CatalogueFiles(std::string rootFile) : RootFile(std::move(rootFile)) {}

  /// Judges the catalogue as the fleet does. Each broken rule is a line `FILE:LINE: KEY: RULE` on
  /// `err`; for a part with another digest than the root's, the line has the digest to write.
  /// Null when a rule is broken.
  std::shared_ptr<const Catalogue> check(std::ostream &err);

private:
  std::string compose(std::string root, std::ostream &err);
  void correctDigest(std::string &root, const CataloguePart &part, std::size_t position,
                     const ContentDigest &digest, std::ostream &err);
  std::string partFile(std::string_view key) const;

  std::string RootFile;
  bool IsComplete = true;
};

} // namespace wigeonlift
