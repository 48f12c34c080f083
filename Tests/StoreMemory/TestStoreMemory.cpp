#include "HeapMeter.h"

#include <platform/Platform.h>

#include <LibFleet/LibFleet.h>

#include <absl/strings/escaping.h>

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace wigeonlift {

namespace {

constexpr TimePoint Start{std::chrono::seconds{100}};
// The smallest VM has 160 MB for everything. docs/design/store-content.md states this bound for
// what others write into the store, on all ways together; each way alone must keep to it.
constexpr std::size_t MaxBytes = 16 * 1024 * 1024;

std::string base64(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view{bytes.data(), bytes.size()});
}

std::string record(std::string_view service, std::size_t moreBytes = 0) {
  return fmt::format(
      R"({{"service":"{}","address":"10.0.0.1:80","zone":"a","version":"v1","capacity-slots":3,)"
      R"("state":"ready","warmup-remaining":"0ms","sequence":1,"born":1,"notes":"{}"}})",
      service, std::string(moreBytes, 'x'));
}

std::string item(std::string_view key, const std::string &value, std::uint64_t revision) {
  return fmt::format(R"({{"key":"{}","value":"{}","revision":{}}})", key, base64(value), revision);
}

FleetReplica startedReplica(VmAddress ip = 0x0a000001U) {
  return FleetReplica{FleetVm{.Ip = ip, .DataCentre = "a", .Incarnation = 1},
                      {},
                      FreshnessLimits::forChangeDeadline(std::chrono::seconds{2}),
                      1,
                      Start,
                      &platform::platformStoreFormat()};
}

/// An answer of the store that is read while it is made.
class Answer {
public:
  Answer(std::string_view arrayName, StoreIntake &intake)
      : Intake(intake), Reader(arrayName, 0, intake) {
    Result = Reader.write(fmt::format(R"({{"{}":[)", arrayName));
    add(item("op/config", R"({"version":1,"services":[{"name":"used"}]})", 1));
    add(item("servers/u", record("used"), 2));
  }

  void add(const std::string &text) {
    if (Result.ok() && Items++ > 0)
      Result = Reader.write(",");
    if (Result.ok())
      Result = Reader.write(text);
  }
  absl::Status finish() {
    if (Result.ok())
      Result = Reader.write(R"(],"as-of":9})");
    return Result.ok() ? Reader.finish() : Result;
  }
  const absl::Status &status() const { return Result; }

private:
  StoreIntake &Intake;
  platform::StoreAnswerReader Reader;
  absl::Status Result;
  int Items = 0;
};

std::size_t usedIn(const ReplicaUpdate &update) {
  return static_cast<std::size_t>(std::ranges::count(update.Changes, "used", &StoreItem::Service));
}

/// What other writers put into the store.
struct Content {
  const char *Name;
  int Entries;
  std::string (*Entry)(int n);
};

const Content Contents[] = {
    {"long entries of a service that isn't named", 60,
     [](int n) { return item(fmt::format("servers/{}", n), record("elsewhere", 1'000'000), 3); }},
    {"long entries of a service that is named", 60,
     [](int n) { return item(fmt::format("servers/{}", n), record("used", 1'000'000), 3); }},
    {"many entries of a service that isn't named", 50'000,
     [](int n) { return item(fmt::format("servers/{}", n), record("elsewhere"), 3); }},
    {"many services", 30'000,
     [](int n) { return item(fmt::format("servers/{}", n), record(fmt::format("s-{}", n)), 3); }},
    {"many entries that can't be read", 30'000,
     [](int n) { return item(fmt::format("servers/{}-{}", n, std::string(180, 'k')), "{", 3); }},
    {"long names", 60,
     [](int n) {
       return item(fmt::format("servers/{}", n), record(std::string(1'000'000, 's')), 3);
     }},
    {"deep entries", 60,
     [](int n) { return item(fmt::format("servers/{}", n), std::string(1'000'000, '['), 3); }},
    {"many elements", 60,
     [](int n) {
       std::string list = "[0";
       while (list.size() < 900'000)
         list += ",[],{}";
       return item(fmt::format("servers/{}", n), R"({"notes":)" + list + "]}", 3);
     }},
    {"other keys", 60,
     [](int n) { return item(fmt::format("notes/{}", n), std::string(1'000'000, 'n'), 3); }},
};

} // namespace

// Guards against what others write into the store, how much, in how many entries and in which
// fields, that sets the memory of a VM: the review's case 11, on the first read.
TEST(StoreMemory, OfAFirstRead) {
  for (const Content &it : Contents) {
    FleetReplica replica = startedReplica();
    std::size_t longest = 0;
    for (int n = 0; n < std::min(it.Entries, 100); ++n)
      longest = std::max(longest, it.Entry(n).capacity());
    const HeapMeter meter;
    StoreIntake intake = replica.intake(IntakeKind::Copy);
    Answer answer{"items", intake};
    for (int n = 0; n < it.Entries && answer.status().ok(); ++n)
      answer.add(it.Entry(n));
    ASSERT_TRUE(answer.finish().ok()) << it.Name << answer.status();
    const auto update = replica.didReadStore(intake.take(true, 9), 0, Start, Start);
    EXPECT_GE(usedIn(update), 1U) << it.Name;
    // The entry itself is made here, in copies.
    EXPECT_LT(meter.peak(), MaxBytes + 6 * longest) << it.Name;
  }
}

// The same for a watch that brings everything at once, and for those that follow each other.
TEST(StoreMemory, OfAWatch) {
  for (const Content &it : Contents) {
    FleetReplica replica = startedReplica();
    replica.didReadStore({.IsComplete = true, .AsOf = 1}, 0, Start, Start);
    std::size_t longest = 0;
    for (int n = 0; n < std::min(it.Entries, 100); ++n)
      longest = std::max(longest, it.Entry(n).capacity());
    const HeapMeter meter;
    {
      StoreIntake intake = replica.intake(IntakeKind::Changes);
      Answer answer{"events", intake};
      for (int n = 0; n < it.Entries && answer.status().ok(); ++n)
        answer.add(it.Entry(n));
      const absl::Status status = answer.finish();
      ASSERT_TRUE(status.ok() || absl::IsOutOfRange(status)) << it.Name << status;
      if (status.ok())
        replica.didReadStore(intake.take(false, 9), 1, Start, Start);
    }
    for (int n = 0; n < it.Entries; ++n) {
      StoreIntake intake = replica.intake(IntakeKind::Changes);
      Answer answer{"events", intake};
      answer.add(it.Entry(n));
      ASSERT_TRUE(answer.finish().ok()) << it.Name;
      StoreDelta delta = intake.take(false, static_cast<std::uint64_t>(10 + n));
      for (StoreItem &change : delta.Items)
        change.Revision = delta.AsOf;
      replica.didReadStore(delta, static_cast<std::uint64_t>(9 + n), Start, Start);
    }
    EXPECT_LT(meter.peak(), MaxBytes + 6 * longest) << it.Name;
  }
}

// The same for the copy of another VM, of an older version that passes on all that it has.
TEST(StoreMemory, OfAnotherVmsCopy) {
  for (const Content &it : Contents) {
    StoreDelta delta{.IsComplete = true, .AsOf = 9};
    for (int n = 0; n < it.Entries; ++n) {
      const std::string text = it.Entry(n);
      const std::size_t key = text.find("\"key\":\"") + 7;
      const std::size_t value = text.find("\"value\":\"") + 9;
      StoreItem sent{.Key = text.substr(key, text.find('"', key) - key), .Revision = 3};
      absl::Base64Unescape(text.substr(value, text.find('"', value) - value), &sent.Value);
      delta.Items.push_back(std::move(sent));
    }
    const std::string compressed = compress(encodeStoreDelta(delta, 0));
    FleetReplica replica = startedReplica();
    const HeapMeter meter;
    StoreIntake intake = replica.intake(IntakeKind::Changes);
    StoreDeltaReader reader{intake};
    bool isValid = true;
    for (std::size_t at = 0; at < compressed.size() && isValid; at += 32'768)
      isValid = reader.write(std::string_view{compressed}.substr(at, 32'768));
    const auto received = isValid ? reader.finish() : std::nullopt;
    // A copy with more removals than any VM remembers isn't accepted.
    if (received)
      replica.didReadPeer(*received, 0, 0x0a000002U, Start);
    EXPECT_LT(meter.peak(), MaxBytes) << it.Name;
  }
}

// The same for what a VM passes on itself.
TEST(StoreMemory, OfTheCopyForAnotherVm) {
  for (const Content &it : Contents) {
    FleetReplica replica = startedReplica();
    {
      StoreIntake intake = replica.intake(IntakeKind::Copy);
      Answer answer{"items", intake};
      for (int n = 0; n < it.Entries; ++n)
        answer.add(it.Entry(n));
      ASSERT_TRUE(answer.finish().ok()) << it.Name;
      replica.didReadStore(intake.take(true, 9), 0, Start, Start);
    }
    const HeapMeter meter;
    const std::string copy = compress(encodeStoreDelta(replica.replica().changesSince(0), 0));
    EXPECT_LT(meter.peak(), MaxBytes) << it.Name;
    EXPECT_LT(copy.size(), BoundedItems::MaxUnusedBytes) << it.Name;
  }
}

} // namespace wigeonlift
