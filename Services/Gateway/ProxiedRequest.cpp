#include "ProxiedRequest.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace wigeonlift {

namespace asio = boost::asio;

ProxiedRequest::ProxiedRequest(const asio::any_io_executor &executor, RequestSpec spec,
                               HttpRequestHead head, std::string body)
    : Spec(spec), Head(std::move(head)), Body(std::move(body)),
      Event(executor, asio::steady_timer::time_point::max()) {}

void ProxiedRequest::deliver(RequestOutcome outcome) {
  if (Outcome)
    return;
  Outcome = std::move(outcome);
  Event.cancel();
}

std::size_t ProxiedRequest::heldBytes() const {
  if (!Outcome)
    return 0;
  if (const auto *whole = std::get_if<WholeAnswer>(&*Outcome))
    return whole->Body.Bytes.size();
  const auto *open = std::get_if<OpenAnswer>(&*Outcome);
  return open ? open->Begun.Bytes.size() : 0;
}

asio::awaitable<RequestOutcome> ProxiedRequest::nextOutcome() {
  while (!Outcome)
    co_await Event.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return std::move(*Outcome);
}

} // namespace wigeonlift
