#pragma once

#include <LibBase/Time.h>
#include <LibCatalogue/Catalogue.h>
#include <LibHttp/HttpMessage.h>

#include <string>
#include <string_view>

namespace wigeonlift {

/// Writes requests in the dialect of a group of callers.
class CallerIdentity {
public:
  explicit CallerIdentity(const DialectSpec &dialect) : Dialect(&dialect) {}

  /// A request for an entry. A zero deadline states none.
  HttpRequest request(const EntrySpec &entry, std::string_view target, std::string_view requestId,
                      Duration deadline) const;

private:
  const DialectSpec *Dialect;
};

} // namespace wigeonlift
