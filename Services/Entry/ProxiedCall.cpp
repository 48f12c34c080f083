#include "ProxiedCall.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);

} // namespace

ProxiedCall::ProxiedCall(const asio::any_io_executor &executor, const CallSpec &spec,
                         HttpRequestHead head, std::string body)
    : Spec(spec), Head(std::move(head)), Body(std::move(body)),
      Wakeup(executor, asio::steady_timer::time_point::max()) {}

asio::awaitable<CallDecision> ProxiedCall::nextDecision() {
  while (Decisions.empty())
    co_await Wakeup.async_wait(Completion);
  CallDecision decision = std::move(Decisions.front());
  Decisions.pop_front();
  co_return decision;
}

void ProxiedCall::post(CallDecision decision) {
  Decisions.push_back(std::move(decision));
  Wakeup.cancel();
}

bool ProxiedCall::isHeadRequest() const { return Head.method() == boost::beast::http::verb::head; }

} // namespace wigeonlift
