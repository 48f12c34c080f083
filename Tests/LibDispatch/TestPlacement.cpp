#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

// Guards against one VM queueing its calls while upstream queues are long. The VM learns only from
// its own responses that a slot is free, so later calls of other VMs would overtake its calls.
TEST(Placement, SendsCallsWhenQueuesAreLong) {
  DispatcherFixture<> it(2);
  for (int n = 0; n < 50; ++n)
    it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<StartAttempt>(), 50);
}
