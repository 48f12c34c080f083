#include <StandIns/Load/CallerIdentity.h>

#include <fmt/format.h>

namespace wigeonlift {

namespace http = boost::beast::http;

HttpRequest CallerIdentity::request(const EntrySpec &entry, std::string_view target,
                                    std::string_view requestId, Duration deadline) const {
  const bool hasEffect = entry.Class == CallClass::NonIdempotent;
  HttpRequest request{
      hasEffect ? http::verb::post : http::verb::get, {target.data(), target.size()}, 11};
  request.set(http::field::host, "wigeonlift");
  request.set(Dialect->OwnerHeader, entry.Owner);
  request.set(Dialect->RequestIdHeader, fmt::to_string(requestId));
  request.set(Dialect->ClassHeader, fmt::to_string(toString(entry.Class)));
  if (deadline > Duration::zero())
    request.set(Dialect->DeadlineHeader, fmt::to_string(deadline / Dialect->DeadlineUnit));
  if (hasEffect)
    request.body() = fmt::format("target={}\n", target);
  return request;
}

} // namespace wigeonlift
