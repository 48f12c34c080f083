#include <LibFleet/LibFleet.h>

#include <gtest/gtest.h>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }
constexpr FreshnessLimits Limits = FreshnessLimits::forChangeDeadline(std::chrono::seconds{2});
constexpr VmAddress Reader = 0x0a000001U;

/// A VM whose data centre has another reader, with a replica that was confirmed at `Start`.
class StoreSyncOfANonReader : public testing::Test {
protected:
  StoreSyncOfANonReader() {
    Sync.didReceiveFullCopy();
    Fleet.didReadStore({.Items = {}, .IsComplete = true, .AsOf = 7}, 0, Start, Start);
    // The heavier VM is preferred as the reader.
    const FleetVm reader{
        .Ip = Reader, .DataCentre = "a", .Incarnation = 1, .Weight = 1000, .Revision = 7};
    Fleet.didReceive({.Sender = reader}, Start);
  }

  FleetReplica Fleet{FleetVm{.Ip = 0x0a000002U, .DataCentre = "a", .Incarnation = 1, .Weight = 100},
                     {},
                     Limits,
                     1,
                     Start};
  StoreSync Sync{Fleet, 1};
};

} // namespace

// Guards against a VM that misses the message of its reader and asks the store, although the reader
// could tell it.
TEST_F(StoreSyncOfANonReader, AsksTheReaderBeforeTheStore) {
  TimePoint now = Start;
  int questions = 0;
  while (now < Start + Limits.MinAgeLimit) {
    const StoreCall call = Sync.next(now);
    ASSERT_EQ(call.Step, StoreSyncStep::WaitForPeers);
    if (call.Question) {
      EXPECT_GE(now, Start + Limits.ConfirmInterval);
      EXPECT_EQ(call.Question->To, Reader);
      ++questions;
    }
    const Duration pause = Sync.pause(now);
    ASSERT_GT(pause, Duration::zero());
    now += pause;
  }
  EXPECT_EQ(questions, 1);
  EXPECT_LE(now, Start + Limits.MaxAgeLimit);
}

// Guards against readers that all ask the store as often as one of them has to, and against a
// reader that relies on a lead reader which has fallen silent.
TEST(StoreSync, WatchesAreLongerWhileTheLeadReaderIsHeard) {
  FleetReplica fleet{FleetVm{.Ip = 1, .DataCentre = "b", .Incarnation = 1}, {}, Limits, 1, Start};
  StoreSync sync{fleet, 1};
  sync.next(Start);
  sync.didReadAll({.Items = {}, .IsComplete = true, .AsOf = 7}, Start);
  const StoreCall first = sync.next(Start);
  EXPECT_EQ(first.Step, StoreSyncStep::Watch);
  EXPECT_LE(first.Wait, Limits.ConfirmInterval);
  sync.didWatch({.Items = {}, .AsOf = 7}, Start + ms(1000));
  FleetMessage fromLead{.Sender = {.Ip = 2, .DataCentre = "a", .Incarnation = 1, .Revision = 7},
                        .IsFromLeadReader = true};
  fromLead.ReplicaConfirmedAt = ClockReading{.Incarnation = 1, .Ms = 101'000};
  fleet.didReceive(fromLead, Start + ms(1000));
  EXPECT_GT(sync.next(Start + ms(1000)).Wait, Limits.ConfirmInterval);
  sync.didWatch({.Items = {}, .AsOf = 7}, Start + ms(3400));
  EXPECT_LE(sync.next(Start + ms(3400)).Wait, Limits.ConfirmInterval);
}

namespace {

/// A reader with a replica of the first era that begins a call.
class StoreSyncAcrossEras : public testing::Test {
protected:
  StoreSyncAcrossEras() {
    Sync.next(Start);
    Sync.didReadAll({.Items = {}, .IsComplete = true, .AsOf = {1, 7}}, Start);
    EXPECT_EQ(Sync.next(Start).Step, StoreSyncStep::Watch);
  }
  StoreDelta changes(StoreRevision asOf) const {
    return {.Items = {{.Key = "a", .Value = "v", .Revision = asOf}}, .AsOf = asOf};
  }

  FleetReplica Fleet{FleetVm{.Ip = 1, .DataCentre = "b", .Incarnation = 1}, {}, Limits, 1, Start};
  StoreSync Sync{Fleet, 1};
};

} // namespace

// Guards against changes that follow the same number in another era, without those before them.
TEST_F(StoreSyncAcrossEras, AWatchAnsweredInALaterEraLeadsToACompleteRead) {
  EXPECT_TRUE(Sync.didWatch(changes({2, 9}), Start + ms(500)).Changes.empty());
  EXPECT_EQ(Fleet.revision(), StoreRevision(1, 7));
  EXPECT_EQ(Fleet.freshness().confirmedAt(), Start);
  EXPECT_EQ(Sync.next(Start + ms(500)).Step, StoreSyncStep::ReadAll);
  EXPECT_FALSE(Sync.isDisconnected());
}

// Guards against the same answer if the replica has reached the later era through another VM.
TEST_F(StoreSyncAcrossEras, AWatchAskedInAnEarlierEraIsDiscarded) {
  Fleet.didReadPeer({.Items = {}, .IsComplete = true, .AsOf = {2, 3}}, {1, 7}, 2, Start + ms(400));
  EXPECT_TRUE(Sync.didWatch(changes({2, 9}), Start + ms(500)).Changes.empty());
  EXPECT_EQ(Fleet.revision(), StoreRevision(2, 3));
  EXPECT_EQ(Sync.next(Start + ms(500)).Step, StoreSyncStep::CheckRevision);
}

// Guards against a delayed answer of an earlier era that makes the replica younger.
TEST_F(StoreSyncAcrossEras, AnswersOfAnEarlierEraAreDiscarded) {
  EXPECT_TRUE(Sync.didWatch(changes({0, 99}), Start + ms(500)).Changes.empty());
  EXPECT_EQ(Sync.next(Start + ms(500)).Step, StoreSyncStep::CheckRevision);
  Sync.didCheck({0, 99}, Start + ms(600));
  EXPECT_EQ(Fleet.revision(), StoreRevision(1, 7));
  EXPECT_EQ(Fleet.freshness().confirmedAt(), Start);
}

// Guards against a check that finds a lower number and takes the replica for current.
TEST_F(StoreSyncAcrossEras, ACheckAnsweredInALaterEraLeadsToACompleteRead) {
  Sync.didFail(StoreFailure::Unreachable, Start + ms(500));
  EXPECT_EQ(Sync.next(Start + ms(500)).Step, StoreSyncStep::CheckRevision);
  Sync.didCheck({2, 3}, Start + ms(600));
  EXPECT_EQ(Fleet.freshness().confirmedAt(), Start);
  EXPECT_EQ(Sync.next(Start + ms(600)).Step, StoreSyncStep::ReadAll);
}

} // namespace wigeonlift
