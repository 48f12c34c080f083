#include "DispatcherFixture.h"

using namespace wigeonlift;
using namespace wigeonlift::test;

// Guards against calls of one VM waiting in its queue behind later calls of others when queues are
// long: a VM learns that a slot is free only from its own replies.
TEST(Placement, SendsCallsWhenQueuesAreLong) {
  DispatcherFixture<> it(2);
  for (int n = 0; n < 50; ++n)
    it.arrive(CallClass::Idempotent);
  EXPECT_EQ(it.count<StartAttempt>(), 50);
}
