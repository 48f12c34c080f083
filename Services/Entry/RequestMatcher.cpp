#include "RequestMatcher.h"

#include "EntryHeaders.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace wigeonlift {

namespace {

// One retry and one hedge at this level and one attempt below; the dispatchers' budgets of retries
// bound the sum over many calls.
constexpr int DefaultExtraAttempts = 3;
constexpr int MaxExtraAttempts = 64;
constexpr double MaxDeadlineUnits = 1e9;

const DialectSpec *dialectOf(const Catalogue &catalogue, const HttpRequestHead &head) {
  const auto it = std::ranges::find_if(
      catalogue.Dialects, [&](const auto &dialect) { return head.count(dialect.OwnerHeader) > 0; });
  return it == catalogue.Dialects.end() ? nullptr : &*it;
}

bool isDotSegment(std::string_view segment) {
  std::string decoded;
  while (!segment.empty()) {
    const bool isEncodedDot = segment.starts_with("%2e") || segment.starts_with("%2E");
    decoded += isEncodedDot ? '.' : segment.front();
    segment.remove_prefix(isEncodedDot ? 3 : 1);
  }
  return decoded == "." || decoded == "..";
}

/// An upstream that resolves dot segments would run a path that another entry admits.
bool isAcceptablePath(std::string_view target) {
  if (!target.starts_with('/'))
    return false;
  const auto segments = split(target.substr(0, target.find('?')), '/');
  return std::ranges::none_of(segments, isDotSegment);
}

bool readDeadline(std::string_view text, Duration unit, Duration &deadline) {
  if (text.empty())
    return true;
  const auto value = parseNumber<double>(text);
  if (!value || !std::isfinite(*value) || *value <= 0)
    return false;
  const double seconds = std::min(*value, MaxDeadlineUnits) * toSeconds(unit);
  if (seconds < toSeconds(deadline))
    deadline = fromSeconds(seconds);
  return true;
}

bool readExtraAttempts(std::string_view text, int &attempts) {
  if (text.empty())
    return true;
  const auto value = parseNumber<int>(text);
  if (!value || *value < 0)
    return false;
  attempts = std::min(*value, MaxExtraAttempts);
  return true;
}

/// A caller that expects another class than the catalogue's would misread the answers.
bool hasOtherClass(const DialectSpec *dialect, const HttpRequestHead &head, CallClass callClass) {
  const std::string_view text =
      dialect ? headerValue(head, dialect->ClassHeader) : std::string_view{};
  return !text.empty() && callClassFromString(text) != callClass;
}

bool readDialect(const DialectSpec &dialect, const HttpRequestHead &head, MatchedRequest &match) {
  match.RequestId = headerValue(head, dialect.RequestIdHeader);
  return readDeadline(headerValue(head, dialect.DeadlineHeader), dialect.DeadlineUnit,
                      match.Deadline);
}

} // namespace

std::variant<MatchedRequest, Failure> matchRequest(const Catalogue &catalogue,
                                                   const HttpRequestHead &head) {
  const Failure badRequest{.Kind = FailureKind::BadRequest};
  const std::string_view target = head.target();
  const DialectSpec *dialect = dialectOf(catalogue, head);
  const std::string_view owner =
      dialect ? headerValue(head, dialect->OwnerHeader) : std::string_view{};
  if (!isAcceptablePath(target) || (dialect && owner.empty()))
    return badRequest;
  MatchedRequest match;
  match.Entry = catalogue.match(target, owner);
  if (!match.Entry || hasOtherClass(dialect, head, match.Entry->Class))
    return Failure{.Kind = FailureKind::NoEntry};
  match.EntryIndex = static_cast<std::uint32_t>(match.Entry - catalogue.Entries.data());
  match.Deadline = match.Entry->Limits.Deadline;
  match.ExtraAttempts = DefaultExtraAttempts;
  if (dialect && !readDialect(*dialect, head, match))
    return badRequest;
  if (!readDeadline(headerValue(head, DeadlineHeader), std::chrono::milliseconds{1},
                    match.Deadline) ||
      !readExtraAttempts(headerValue(head, ExtraAttemptsHeader), match.ExtraAttempts))
    return badRequest;
  return match;
}

} // namespace wigeonlift
