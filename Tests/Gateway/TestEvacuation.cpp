#include "GatewayFixture.h"

#include <fmt/format.h>

namespace wigeonlift {

namespace {

using namespace std::chrono_literals;

constexpr int Served = 200;
constexpr int Unavailable = 503;
// Slots of an upstream that a VM uses at a time.
constexpr std::size_t UsedSlots = 2;
constexpr auto AtOnce = 150ms;

FakeReply serve(const std::string &id) { return {sealedAnswer(id, id)}; }
FakeReply serveLate(const std::string &id) {
  return {.Bytes = sealedAnswer(id, id), .Delay = 400ms};
}
FakeReply stayHung(const std::string &) { return {}; }

class Evacuation : public GatewayFixture {
protected:
  std::shared_ptr<RawCaller> send(const std::string &request) {
    auto caller = connect();
    caller->send(request);
    return caller;
  }
  void orderEvacuation(const std::string &dataCentre) { learnEvacuations({{dataCentre, true}}); }
  void endEvacuation(const std::string &dataCentre) { learnEvacuations({{dataCentre, false}}); }
  std::shared_ptr<RawCaller> look(int n) {
    return send(callerRequest("GET", "/look/1", fmt::format("look-{}", n)));
  }
  std::shared_ptr<RawCaller> record(int n) {
    return send(callerRequest("POST", "/record/1", fmt::format("record-{}", n), "x"));
  }
  int statusOfNext() {
    return statusOf(*ask(callerRequest("GET", "/look/1", fmt::format("next-{}", ++LastId))));
  }
  const ServiceBalancer &balancer() { return Core.service("s")->balancer(); }

  int LastId = 0;
};

} // namespace

// Guards against running requests that an evacuation cuts off, and against queued ones that wait
// until their time is over when no other data centre has upstreams of the service.
TEST_F(Evacuation, EndsRunningRequestsAndRefusesQueuedOnesAtOnce) {
  PlatformUpstream upstream{Context, "i-1", serveLate};
  configure({&upstream});
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (std::size_t n = 0; n < 2 * UsedSlots; ++n)
    callers.push_back(n % 2 == 0 ? look(static_cast<int>(n)) : record(static_cast<int>(n)));
  runUntil([&] {
    return upstream.requests().size() == UsedSlots && balancer().queuedRequests() == UsedSlots;
  });
  orderEvacuation("a");
  const auto orderedAt = std::chrono::steady_clock::now();
  const auto answers = [&] { return std::ranges::count_if(callers, &RawCaller::hasAnswer); };
  runUntil([&] { return answers() >= static_cast<long>(UsedSlots); });
  EXPECT_LT(std::chrono::steady_clock::now() - orderedAt, AtOnce);
  for (const auto &it : callers)
    if (it->hasAnswer()) {
      EXPECT_EQ(statusOf(*it), Unavailable);
      EXPECT_FALSE(it->header("Retry-After").empty());
    }
  runUntil([&] { return answers() == static_cast<long>(callers.size()); });
  EXPECT_EQ(std::ranges::count(callers, Served, [](const auto &it) { return statusOf(*it); }),
            static_cast<long>(UsedSlots));
  EXPECT_EQ(upstream.requests().size(), UsedSlots);
  EXPECT_EQ(statusOfNext(), Unavailable);
}

// Guards against hedges and queued requests that reach an evacuated data centre, and against
// requests there that are never hedged elsewhere.
TEST_F(Evacuation, HedgesAndQueuedRequestsGoElsewhere) {
  PlatformUpstream first{Context, "i-1", stayHung};
  PlatformUpstream second{Context, "i-2", stayHung};
  PlatformUpstream other{Context, "i-3", serve};
  // Has free slots, unlike the first two.
  PlatformUpstream late{Context, "i-4", stayHung};
  other.DataCentre = "b";
  orderEvacuation("b");
  configure({&first, &second, &other});
  const auto sent = [&] { return first.requests().size() + second.requests().size(); };
  std::vector<std::shared_ptr<RawCaller>> callers;
  for (std::size_t n = 0; n < 3 * UsedSlots; ++n)
    callers.push_back(look(static_cast<int>(n)));
  const auto unsafe = record(0);
  runUntil([&] { return sent() == 2 * UsedSlots && balancer().queuedRequests() > 0; });
  // One update ends an evacuation and orders another.
  learnEvacuations({{"a", true}, {"b", false}});
  configure({&first, &second, &other, &late});
  const auto isServed = [](const auto &it) { return it->hasAnswer(); };
  runUntil([&] { return std::ranges::all_of(callers, isServed) && unsafe->hasAnswer(); });
  for (const auto &it : callers)
    EXPECT_EQ(statusOf(*it), Served);
  EXPECT_EQ(sent(), 2 * UsedSlots);
  EXPECT_TRUE(late.requests().empty());
  EXPECT_GE(other.requests().size(), callers.size());
}

// Guards against a request that reaches an evacuated data centre on a connection that was being
// opened when the order became known.
TEST_F(Evacuation, ConnectionsThatAreBeingOpenedCarryNoRequest) {
  PlatformUpstream upstream{Context, "i-1", serveLate};
  configure({&upstream});
  const std::vector<std::shared_ptr<RawCaller>> callers{record(0), record(1)};
  runUntil([&] { return balancer().runningAttempts() == callers.size(); });
  ASSERT_LT(upstream.requests().size(), callers.size());
  const auto running = balancer().runningAttempts();
  orderEvacuation("a");
  EXPECT_LT(balancer().runningAttempts(), running);
  runUntil([&] { return std::ranges::all_of(callers, [](auto &it) { return it->hasAnswer(); }); });
  long served = 0;
  for (const auto &it : callers) {
    served += statusOf(*it) == Served ? 1 : 0;
    EXPECT_TRUE(statusOf(*it) == Served || statusOf(*it) == Unavailable);
  }
  EXPECT_EQ(upstream.requests().size(), static_cast<std::size_t>(served));
  EXPECT_LT(served, 2);
}

// Guards against the end of one order that ends others, and against traffic that doesn't return.
TEST_F(Evacuation, SeveralDataCentresAreEvacuatedAtOnce) {
  PlatformUpstream near{Context, "i-1", serve};
  PlatformUpstream far{Context, "i-2", serve};
  far.DataCentre = "b";
  configure({&near, &far});
  orderEvacuation("a");
  EXPECT_EQ(statusOfNext(), Served);
  EXPECT_TRUE(near.requests().empty());
  orderEvacuation("b");
  orderEvacuation("c");
  EXPECT_EQ(statusOfNext(), Unavailable);
  EXPECT_EQ(far.requests().size(), 1U);
  endEvacuation("a");
  EXPECT_EQ(statusOfNext(), Served);
  EXPECT_EQ(near.requests().size(), 1U);
  learnEvacuations({{"a", true}, {"b", false}});
  EXPECT_EQ(statusOfNext(), Served);
  EXPECT_EQ(far.requests().size(), 2U);
}

// Guards against a VM that starts and sends requests before it applies an order of its first copy,
// and against upstreams that register in an evacuated data centre and are used.
TEST_F(Evacuation, AppliesToUpstreamsThatAreLearntLater) {
  PlatformUpstream upstream{Context, "i-1", serve};
  orderEvacuation("a");
  configure({&upstream});
  EXPECT_EQ(statusOfNext(), Unavailable);
  EXPECT_TRUE(upstream.requests().empty());
}

// Guards against a key that can't be read and evacuates something or ends the process.
TEST_F(Evacuation, UnreadableOrdersAreIgnored) {
  PlatformUpstream upstream{Context, "i-1", serve};
  configure({&upstream});
  orderEvacuation("");
  orderEvacuation("a\n");
  endEvacuation("");
  EXPECT_EQ(statusOfNext(), Served);
  EXPECT_TRUE(Core.evacuated().all().empty());
}

} // namespace wigeonlift
