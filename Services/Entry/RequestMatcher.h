#pragma once

#include <LibCatalogue/LibCatalogue.h>
#include <LibHttp/HttpMessage.h>

#include <string>
#include <variant>

namespace wigeonlift {

/// What the catalogue says about a request.
struct MatchedRequest {
  const EntrySpec *Entry = nullptr;
  /// Position of the entry in the catalogue.
  std::uint32_t EntryIndex = 0;
  /// Time that the caller grants, at most the entry's limit.
  Duration Deadline{};
  /// Attempts that may be added in the whole tree of calls below.
  int ExtraAttempts = 0;
  std::string RequestId;
};

/// Finds the entry that admits a request and reads what the caller's dialect says. Fails with
/// NoEntry, also when the caller expects another class than the entry's, or with BadRequest, in
/// both cases as not-run.
std::variant<MatchedRequest, Failure> matchRequest(const Catalogue &catalogue,
                                                   const HttpRequestHead &head);

} // namespace wigeonlift
