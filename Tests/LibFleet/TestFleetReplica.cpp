#include <Tests/Support/FakeStoreFormat.h>

#include <LibFleet/LibFleet.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
constexpr VmAddress Sender = 0x0a000001U;
constexpr VmAddress Receiver = 0x0a000002U;

constexpr Duration ms(int n) { return std::chrono::milliseconds{n}; }

FleetReplica replicaOf(VmAddress ip) {
  FleetReplica replica{FleetVm{.Ip = ip, .DataCentre = "a", .Incarnation = 1},
                       {},
                       FreshnessLimits::forChangeDeadline(std::chrono::seconds{2}),
                       1,
                       Start};
  replica.didReadStore({.Items = {}, .IsComplete = true, .AsOf = 7}, 0, Start, Start);
  return replica;
}

/// Lets two VMs know of each other by a third one.
void introduce(FleetReplica &first, FleetReplica &second) {
  FleetMessage message{.Sender = {.Ip = 0x0a000003U, .DataCentre = "a", .Incarnation = 1}};
  message.Others = {first.members().self(), second.members().self()};
  first.didReceive(message, Start);
  second.didReceive(message, Start);
}

/// Delivers messages between two VMs, and those that follow from them, each after a delay.
void exchange(FleetReplica &from, FleetReplica &to, const std::vector<FleetDatagram> &datagrams,
              TimePoint now, Duration delay) {
  const TimePoint arrival = now + delay;
  for (const FleetDatagram &it : datagrams)
    if (it.To == to.members().self().Ip)
      exchange(to, from, to.didReceive(it.Message, arrival).Datagrams, arrival, delay);
}

std::vector<FleetDatagram> announce(FleetReplica &replica, TimePoint now) {
  ReplicaUpdate update;
  replica.announceAge(update, now);
  return update.Datagrams;
}

/// A VM that doesn't reach the store sends a change.
FleetMessage changeFromADisconnectedVm(VmAddress vm, const char *dataCentre) {
  FleetMessage message{.Sender = {.Ip = vm, .DataCentre = dataCentre, .Incarnation = 1}};
  message.Sender.IsStoreDisconnected = true;
  message.Sender.Revision = 8;
  message.Delta = StoreDelta{.Items = {{.Key = "u1", .Revision = 8, .IsRemoved = true}}, .AsOf = 8};
  message.DeltaAfter = 7;
  return message;
}

} // namespace

// Guards against a VM that freezes, reads a message that arrived meanwhile, and then takes its
// replica for as young as the sender's was when the message was sent.
TEST(FleetReplica, AMessageThatWaitedDoesNotMakeTheReplicaYounger) {
  FleetReplica sender = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  introduce(sender, receiver);
  exchange(receiver, sender, announce(receiver, Start), Start, ms(1));
  sender.didConfirm(Start + ms(1000), Start + ms(1000));
  const TimePoint arrival = Start + ms(2200);
  for (const FleetDatagram &it : announce(sender, Start + ms(1000)))
    if (it.To == Receiver)
      receiver.didReceive(it.Message, arrival);
  EXPECT_NEAR(toSeconds(receiver.freshness().age(arrival)), 1.2, 0.01);
}

// Guards against a VM that knows another one only by messages that took long, and takes its replica
// for younger than it is. It then asks the store too late.
TEST(FleetReplica, SlowMessagesDoNotMakeTheReplicaYounger) {
  constexpr Duration delay = ms(1350);
  FleetReplica sender = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  introduce(sender, receiver);
  for (int n = 1; n < 20; ++n) {
    const TimePoint sentAt = Start + ms(200 * n);
    sender.didConfirm(sentAt, sentAt);
    exchange(sender, receiver, announce(sender, sentAt), sentAt, delay);
    EXPECT_GE(receiver.freshness().age(sentAt + delay), std::min(delay, sentAt + delay - Start));
  }
}

// Guards against a VM that hears that the replica of another one was confirmed, but not when, since
// that VM doesn't know its clock. It would ask the store for itself, as the others would too.
TEST(FleetReplica, VmsThatDoNotKnowThisClockAreAsked) {
  FleetReplica sender = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  introduce(sender, receiver);
  const TimePoint sentAt = receiver.freshness().questionDue();
  sender.didConfirm(sentAt, sentAt);
  exchange(sender, receiver, announce(sender, sentAt), sentAt, ms(1));
  EXPECT_LE(receiver.freshness().age(sentAt + ms(10)), ms(15));
}

// Guards against a VM that lacks a change, asks, and learns only that it does.
TEST(FleetReplica, AnswersContainTheChangesThatTheAskerLacks) {
  FleetReplica sender = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  introduce(sender, receiver);
  sender.didReadStore({.Items = {{.Key = "k", .Revision = 8}}, .AsOf = 8}, 7, Start, Start);
  exchange(receiver, sender, {receiver.members().ask(Sender, Start)}, Start, ms(1));
  EXPECT_EQ(receiver.revision(), 8U);
}

// Guards against a data centre whose VMs ask the store although the lead reader, in another one,
// has told their reader that nothing has changed.
TEST(FleetReplica, NewsOfTheLeadReaderIsPassedOn) {
  FleetReplica reader = replicaOf(Receiver);
  FleetReplica other = replicaOf(Sender);
  introduce(reader, other);
  const TimePoint confirmedAt = Start + ms(1000);
  FleetMessage message{
      .Sender = {.Ip = 0x0a000009U, .DataCentre = "0", .Incarnation = 1, .Revision = 7},
      .IsFromLeadReader = true};
  message.ReplicaConfirmedAt = ClockReading{
      .Incarnation = 1,
      .Ms = static_cast<std::uint64_t>(toMilliseconds(confirmedAt.time_since_epoch()))};
  EXPECT_FALSE(reader.hasLeadReader(confirmedAt));
  exchange(other, reader, announce(other, Start), Start, ms(1));
  exchange(reader, other, announce(reader, Start), Start, ms(1));
  exchange(reader, other, reader.didReceive(message, confirmedAt).Datagrams, confirmedAt, ms(1));
  EXPECT_LE(other.freshness().age(confirmedAt), ms(5));
  EXPECT_TRUE(reader.hasLeadReader(confirmedAt));
  EXPECT_TRUE(other.hasLeadReader(confirmedAt));
  EXPECT_FALSE(reader.hasLeadReader(confirmedAt + reader.freshness().limits().MinAgeLimit));
}

// Guards against VMs that ask each other again and again while the store confirms no replica.
TEST(FleetReplica, UnconfirmedVmsAreNotAskedAgainAtOnce) {
  FleetReplica receiver = replicaOf(Receiver);
  const FleetMessage message{.Sender = {.Ip = Sender, .DataCentre = "a", .Incarnation = 1}};
  const TimePoint due = receiver.freshness().questionDue();
  receiver.didReceive(message, Start);
  EXPECT_EQ(receiver.didReceive(message, due).Datagrams.size(), 1U);
  EXPECT_TRUE(receiver.didReceive(message, due + ms(10)).Datagrams.empty());
}

// Guards against a VM that takes the store for gone because the reader, whose watch is idle, had
// its last answer a while ago. It then goes on using upstreams whose entries were removed.
TEST(FleetReplica, AnIdleReaderReachesTheStore) {
  FleetReplica reader = replicaOf(Sender);
  FleetReplica receiver = replicaOf(Receiver);
  introduce(reader, receiver);
  const FreshnessLimits &limits = receiver.freshness().limits();
  const TimePoint answeredAt = Start + ms(100);
  reader.members().didReachStore(answeredAt);
  reader.didConfirm(answeredAt, answeredAt);
  exchange(receiver, reader, announce(receiver, Start), Start, ms(1));
  exchange(reader, receiver, announce(reader, answeredAt), answeredAt, ms(1));
  const TimePoint now = answeredAt + limits.MaxAgeLimit;
  receiver.didReceive({.Sender = {.Ip = 0x0a000004U,
                                  .DataCentre = "a",
                                  .Incarnation = 1,
                                  .IsStoreDisconnected = true}},
                      now);
  const auto update = receiver.didReceive(changeFromADisconnectedVm(0x0a000005U, "b"), now);
  ASSERT_EQ(update.Changes.size(), 1U);
  EXPECT_EQ(update.Outage, StoreOutage::Possible);
}

// Guards against a VM that drops upstreams at once whose leases expired because no VM reached the
// store.
TEST(FleetReplica, AStoreThatNobodyReachedIsGone) {
  FleetReplica receiver = replicaOf(Receiver);
  receiver.members().didReachStore(Start);
  const TimePoint now = Start + receiver.freshness().limits().MaxStoreSilence + ms(1);
  receiver.members().setStoreDisconnected(true, now);
  const auto update = receiver.didReceive(changeFromADisconnectedVm(0x0a000005U, "b"), now);
  EXPECT_EQ(update.Outage, StoreOutage::Certain);
}

namespace {

/// A VM that has just started, is refused by the store, and hears other VMs.
class RestartedVm : public testing::Test {
protected:
  /// Another VM, which has missed all changes since `confirmedAt`, is heard and read from.
  ReplicaUpdate readFromPeer(VmAddress peer, const StoreDelta &copy, TimePoint confirmedAt,
                             TimePoint now) {
    Replica.didReceive(heard(peer, copy.AsOf, confirmedAt), now);
    return Replica.didReadPeer(copy, 0, peer, now);
  }
  FleetMessage heard(VmAddress peer, StoreRevision revision, TimePoint confirmedAt) {
    FleetMessage message{
        .Sender = {.Ip = peer, .DataCentre = "a", .Incarnation = 1, .Revision = revision}};
    message.ReplicaConfirmedAt = ClockReading{
        .Incarnation = 1,
        .Ms = static_cast<std::uint64_t>(toMilliseconds(confirmedAt.time_since_epoch()))};
    return message;
  }
  static std::vector<std::string> keysOf(const ReplicaUpdate &update) {
    std::vector<std::string> keys;
    for (const StoreItem &it : update.Changes)
      keys.push_back(it.Key);
    return keys;
  }

  const StoreDelta OldCopy{
      .Items = {{.Key = "config", .Revision = 3}, {.Key = "u1", .Revision = 5}},
      .IsComplete = true,
      .AsOf = 7};
  const StoreDelta LaterCopy{
      .Items = {{.Key = "config", .Revision = 8}}, .IsComplete = true, .AsOf = 9};
  static constexpr VmAddress Lagging = 0x0a000003U;
  static constexpr VmAddress Current = 0x0a000004U;
  FleetReplica Replica{FleetVm{.Ip = Receiver, .DataCentre = "a", .Incarnation = 1},
                       {},
                       FreshnessLimits::forChangeDeadline(std::chrono::seconds{2}),
                       1,
                       Start};
};

} // namespace

// Guards against a restarted VM that uses an upstream which has left, or a configuration that was
// replaced, because the first VM that it hears has missed that.
TEST_F(RestartedVm, DoesNotUseTheCopyOfALaggingVm) {
  EXPECT_TRUE(keysOf(readFromPeer(Lagging, OldCopy, Start - ms(5000), Start + ms(50))).empty());
  EXPECT_TRUE(keysOf(Replica.tick(Start + ms(500))).empty());
  // A VM that is ahead is heard; the read from it takes a while.
  Replica.didReceive(heard(Current, 9, Start), Start + ms(900));
  EXPECT_TRUE(keysOf(Replica.tick(Start + ms(1000))).empty());
  EXPECT_EQ(keysOf(Replica.didReadPeer(LaterCopy, 0, Current, Start + ms(1100))),
            std::vector<std::string>{"config"});
}

// Guards against VMs that wait for a store that is down before they serve again.
TEST_F(RestartedVm, UsesTheLatestCopyThatCanBeHad) {
  readFromPeer(Lagging, OldCopy, Start - ms(5000), Start + ms(50));
  EXPECT_EQ(keysOf(Replica.tick(Start + ms(1000))), (std::vector<std::string>{"config", "u1"}));
  EXPECT_TRUE(keysOf(Replica.tick(Start + ms(1500))).empty());
}

// Guards against VMs that serve late although the copy that they got is current.
TEST_F(RestartedVm, UsesACurrentCopyAtOnce) {
  const TimePoint now = Start + ms(50);
  EXPECT_TRUE(keysOf(readFromPeer(Current, LaterCopy, now, now)).empty());
  EXPECT_EQ(keysOf(Replica.didReceive(heard(Current, 9, now), now)),
            std::vector<std::string>{"config"});
  // Changes that follow are used at once.
  const StoreDelta next{.Items = {{.Key = "u2", .Revision = 10}}, .AsOf = 10};
  EXPECT_EQ(keysOf(Replica.didReadPeer(next, 9, Current, now)), std::vector<std::string>{"u2"});
}

// Guards against a VM that waits for other VMs although the store has answered it.
TEST_F(RestartedVm, UsesWhatTheStoreAnswersAtOnce) {
  EXPECT_EQ(keysOf(Replica.didReadStore(LaterCopy, 0, Start, Start + ms(20))),
            std::vector<std::string>{"config"});
}

namespace {

StoreDelta copyOfEra(std::uint64_t era, bool isComplete = true) {
  return {.Items = {{.Key = "a", .Value = "w", .Revision = {era, 2}}},
          .IsComplete = isComplete,
          .AsOf = {era, 3}};
}

FleetMessage messageOfEra(std::uint64_t era, bool isComplete) {
  FleetMessage message{.Sender = {.Ip = Sender, .DataCentre = "a", .Incarnation = 1}};
  message.Sender.Revision = {era, 3};
  message.Delta = copyOfEra(era, isComplete);
  return message;
}

} // namespace

// Guards against changes of a restored store that a VM of the earlier era merges into its replica
// without what was lost, and against a VM that doesn't notice that it is behind.
TEST(RestoredStore, OnlyACompleteCopyCrossesTheEra) {
  FleetReplica replica = replicaOf(Receiver);
  FleetMessage changes = messageOfEra(1, false);
  changes.ReplicaConfirmedAt = ClockReading{.Incarnation = 1, .Ms = 100'500};
  const ReplicaUpdate ignored = replica.didReceive(changes, Start + ms(600));
  EXPECT_TRUE(ignored.Changes.empty());
  EXPECT_EQ(replica.revision(), 7U);
  EXPECT_EQ(replica.freshness().confirmedAt(), Start);
  EXPECT_TRUE(replica.members().isBehind(Start + ms(600)));
  const ReplicaUpdate update = replica.didReceive(messageOfEra(1, true), Start + ms(600));
  EXPECT_TRUE(update.IsRestored);
  EXPECT_EQ(update.RevisionBefore, 7U);
  EXPECT_EQ(update.removals().Kind, RemovalKind::StoreRestored);
  EXPECT_EQ(replica.revision(), StoreRevision(1, 3));
}

// Guards against a VM of the earlier era whose confirmations or copies count for the new one.
TEST(RestoredStore, VmsOfAnEarlierEraProveNothing) {
  FleetReplica replica = replicaOf(Receiver);
  replica.didReadStore(copyOfEra(1), 7, Start, Start);
  FleetMessage message = messageOfEra(0, true);
  message.ReplicaConfirmedAt = ClockReading{.Incarnation = 1, .Ms = 100'500};
  EXPECT_FALSE(replica.didReceive(message, Start + ms(600)).IsRestored);
  EXPECT_EQ(replica.revision(), StoreRevision(1, 3));
  EXPECT_EQ(replica.freshness().confirmedAt(), Start);
}

// Guards against a VM that has just started and whose first keys count as those of a restore.
TEST(RestoredStore, TheFirstCopyOfAVmIsNoRestore) {
  FleetReplica replica{FleetVm{.Ip = Receiver, .DataCentre = "a", .Incarnation = 1},
                       {},
                       FreshnessLimits::forChangeDeadline(std::chrono::seconds{2}),
                       1,
                       Start};
  replica.didReceive(messageOfEra(1, true), Start);
  const ReplicaUpdate update = replica.didReadStore(copyOfEra(2), {1, 3}, Start, Start);
  EXPECT_FALSE(update.IsRestored);
  EXPECT_EQ(update.Changes.size(), 1U);
}

// Guards against messages that lose the era, and against ones that differ on platforms without.
TEST(RestoredStore, MessagesCarryTheEra) {
  FleetMessage message = messageOfEra(1, true);
  message.DeltaAfter = {1, 2};
  for (const std::uint64_t era : {0U, 1U, 2U})
    message.Others.push_back({.Ip = Receiver, .DataCentre = "a", .Revision = {era, 9}});
  const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
  ASSERT_TRUE(decoded && decoded->Delta);
  EXPECT_EQ(decoded->Sender.Revision, StoreRevision(1, 3));
  EXPECT_EQ(decoded->Delta->AsOf, StoreRevision(1, 3));
  EXPECT_EQ(decoded->Delta->Items, message.Delta->Items);
  EXPECT_EQ(decoded->DeltaAfter, StoreRevision(1, 2));
  EXPECT_EQ(decoded->Others, message.Others);
}

namespace {

const FakeStoreFormat Format;

FleetReplica formattedReplicaOf(VmAddress ip) {
  return FleetReplica{FleetVm{.Ip = ip, .DataCentre = "a", .Incarnation = 1},
                      {},
                      FreshnessLimits::forChangeDeadline(std::chrono::seconds{2}),
                      1,
                      Start,
                      &Format};
}

StoreItem upstream(const std::string &id, const std::string &service, StoreRevision revision) {
  return FakeStoreFormat::upstream(id, service, revision);
}

/// Upstreams of a service, more than are kept of services that nobody uses.
void addFlood(StoreDelta &delta, const std::string &service, StoreRevision revision) {
  for (int n = 0; n < 20'000; ++n)
    delta.Items.push_back(upstream(service + std::to_string(n), service, revision));
}

std::size_t upstreamsIn(const ReplicaUpdate &update, std::string_view service) {
  return static_cast<std::size_t>(std::ranges::count(update.Changes, service, &StoreItem::Service));
}

/// Has read a store that has more upstreams of `late` than are kept, and whose configuration names
/// `used`.
FleetReplica floodedReplicaOf(VmAddress ip) {
  FleetReplica replica = formattedReplicaOf(ip);
  StoreDelta copy{
      .Items = {FakeStoreFormat::configuration("used,", 3)}, .IsComplete = true, .AsOf = 7};
  addFlood(copy, "late", 4);
  copy.Items.push_back(upstream("u", "used", 5));
  replica.didReadStore(copy, 0, Start, Start);
  return replica;
}

/// The same store once its configuration names `late`.
StoreDelta copyThatNamesLate() {
  StoreDelta copy{
      .Items = {FakeStoreFormat::configuration("used,late,", 8)}, .IsComplete = true, .AsOf = 8};
  addFlood(copy, "late", 4);
  copy.Items.push_back(upstream("u", "used", 5));
  return copy;
}

const StoreDelta NamesLate{.Items = {FakeStoreFormat::configuration("used,late,", 8)}, .AsOf = 8};

} // namespace

// Guards against a service whose upstreams are missing when a configuration names it, and against
// upstreams of services that nobody uses and that a VM would have to hold and act upon.
TEST(FleetReplica, AServiceThatIsNamedHasItsUpstreamsAtOnce) {
  FleetReplica replica = formattedReplicaOf(Receiver);
  const auto first =
      replica.didReadStore({.Items = {FakeStoreFormat::configuration("used,", 3),
                                      upstream("1", "used", 4), upstream("2", "late", 5)},
                            .IsComplete = true,
                            .AsOf = 7},
                           0, Start, Start);
  EXPECT_EQ(upstreamsIn(first, "used"), 1U);
  EXPECT_EQ(upstreamsIn(first, "late"), 0U);
  const auto second = replica.didReadStore(NamesLate, 7, Start, Start);
  EXPECT_EQ(upstreamsIn(second, "late"), 1U);
  EXPECT_FALSE(replica.isLacking());
  EXPECT_TRUE(std::ranges::is_sorted(second.Changes, {}, &StoreItem::Revision));
}

// Guards against upstreams that gave way and that nobody asks for when their service is named.
TEST(FleetReplica, UpstreamsThatGaveWayAreReadWhenTheyAreNamed) {
  FleetReplica replica = floodedReplicaOf(Receiver);
  EXPECT_TRUE(replica.replica().hasLeftOut());
  EXPECT_FALSE(replica.isLacking());
  const std::size_t atOnce = upstreamsIn(replica.didReadStore(NamesLate, 7, Start, Start), "late");
  EXPECT_GT(atOnce, 1000U);
  EXPECT_TRUE(replica.isLacking());
  StoreSync sync{replica, 1};
  EXPECT_EQ(sync.next(Start).Step, StoreSyncStep::ReadAll);
  const auto update = sync.didReadAll(copyThatNamesLate(), Start);
  EXPECT_EQ(upstreamsIn(update, "late") + atOnce, 20'000U);
  EXPECT_FALSE(replica.isLacking());
  EXPECT_NE(sync.next(Start).Step, StoreSyncStep::ReadAll);
}

// Guards against the copy of a VM that lacks upstreams, which takes them from one that has them,
// and against a VM that doesn't take what it lacks from another one.
TEST(FleetReplica, ALackingCopyTakesNothingFromOthers) {
  FleetReplica lacking = floodedReplicaOf(Sender);
  lacking.didReadStore(NamesLate, 7, Start, Start);
  FleetReplica whole = formattedReplicaOf(Receiver);
  whole.didReadStore(copyThatNamesLate(), 0, Start, Start);
  ASSERT_FALSE(whole.isLacking());
  lacking.didReadStore({.Items = {upstream("u", "used", 9)}, .AsOf = 9}, 8, Start, Start);
  whole.didReadPeer(lacking.replica().changesSince(0), 0, Sender, Start);
  EXPECT_EQ(whole.replica().bounded().itemsOf("late").size(), 20'000U);
  whole.didReadStore(copyThatNamesLate(), 0, Start, Start);
  lacking.didReadPeer(whole.replica().changesSince(0), 0, Receiver, Start);
  EXPECT_EQ(lacking.replica().bounded().itemsOf("late").size(), 20'000U);
}

// Guards against a VM that starts with another VM's copy, from which unused upstreams were left
// out, and reads the store for nothing.
TEST(FleetReplica, ACopyWithAllUpstreamsInUseIsEnough) {
  FleetReplica sender = floodedReplicaOf(Sender);
  FleetReplica receiver = formattedReplicaOf(Receiver);
  receiver.didReadPeer(sender.replica().changesSince(0), 0, Sender, Start);
  EXPECT_TRUE(receiver.replica().hasLeftOut());
  EXPECT_FALSE(receiver.isLacking());
}

// Guards against messages that each hold a copy of changes which no datagram can carry: a change of
// the store would take the memory of the copy times the number of VMs.
TEST(FleetReplica, LargeChangesAreNotCopiedToMessages) {
  FleetReplica replica = formattedReplicaOf(Receiver);
  FleetMessage message{.Sender = {.Ip = Sender, .DataCentre = "a", .Incarnation = 1}};
  replica.didReceive(message, Start);
  StoreDelta delta{.AsOf = 9};
  addFlood(delta, "used", 9);
  const auto large = replica.didReadStore(delta, 0, Start, Start);
  ASSERT_FALSE(large.Datagrams.empty());
  for (const FleetDatagram &it : large.Datagrams)
    EXPECT_FALSE(it.Message.Delta);
  const auto small =
      replica.didReadStore({.Items = {upstream("x", "used", 10)}, .AsOf = 10}, 9, Start, Start);
  ASSERT_FALSE(small.Datagrams.empty());
  for (const FleetDatagram &it : small.Datagrams)
    EXPECT_TRUE(it.Message.Delta);
}

// Guards against what a VM of an older version passes on: fields and keys that nobody reads.
TEST(FleetReplica, WhatNobodyReadsIsNotTakenFromOthers) {
  FleetReplica replica = formattedReplicaOf(Receiver);
  FleetMessage message{.Sender = {.Ip = Sender, .DataCentre = "a", .Incarnation = 1}};
  message.Sender.Revision = 8;
  message.Delta = StoreDelta{.Items = {{.Key = "u/1", .Value = "used|text", .Revision = 7},
                                       {.Key = "notes", .Value = "text", .Revision = 8}},
                             .IsComplete = true,
                             .AsOf = 8};
  replica.didReceive(message, Start);
  EXPECT_EQ(replica.replica().items().size(), 1U);
  EXPECT_EQ(replica.replica().find("u/1")->Value, "used");
}

} // namespace wigeonlift
