#include <LibTicket/LibTicket.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>

using namespace wigeonlift;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{};
const RequestDigest PromotionDigest = RequestDigest::of("POST", "/rank/7/promotions", "grade=3");

class TicketTableTest : public testing::Test {
protected:
  template <typename Result> Result begin(std::string_view ticket, TimePoint now) {
    const BeginResult result = Table.begin(ticket, PromotionDigest, now);
    EXPECT_TRUE(std::holds_alternative<Result>(result)) << result.index();
    return std::holds_alternative<Result>(result) ? std::get<Result>(result) : Result{};
  }

  TicketKey Key = randomTicketKey();
  TicketTable Table{BootId{{1}}, Key, 2, 120s};
};

} // namespace

// Guards against starting a call again while it is running or after it has ended, and against
// overwriting a recorded outcome.
TEST_F(TicketTableTest, StartsOnceAndKeepsTheFirstOutcome) {
  const std::string ticket = *Table.issue(Start);
  const TicketId id = begin<TicketStarted>(ticket, Start).Id;
  EXPECT_EQ(begin<TicketRunning>(ticket, Start + 1s).Id, id);
  const auto refused = TicketOutcome::ofFailure(FailureKind::Overloaded, Execution::NotRun);
  Table.finish(id, refused, Start + 2s);
  Table.finish(id, TicketOutcome{Execution::Run, {}, 200, {}, "done", false}, Start + 3s);
  EXPECT_EQ(*begin<TicketFinished>(ticket, Start + 4s).Outcome, refused);
}

// Guards against accepting a ticket for a request other than the one of its first use.
TEST_F(TicketTableTest, RefusesTicketForAnotherRequest) {
  const std::string ticket = *Table.issue(Start);
  begin<TicketStarted>(ticket, Start);
  const auto otherDigest = RequestDigest::of("POST", "/rank/7/promotions", "grade=4");
  const BeginResult result = Table.begin(ticket, otherDigest, Start);
  EXPECT_EQ(std::get<Failure>(result),
            (Failure{FailureKind::TicketMismatch, Execution::NotRun, {}}));
}

// Guards against starting a call with an expired ticket, and against reporting `not-run` for it:
// the call may have run before the ticket expired.
TEST_F(TicketTableTest, ReportsUnknownExecutionAfterExpiry) {
  const std::string ticket = *Table.issue(Start);
  begin<TicketStarted>(ticket, Start + 120s - 1ns);
  const Failure expired{FailureKind::TicketExpired, Execution::Unknown, {}};
  EXPECT_EQ(begin<Failure>(ticket, Start + 120s), expired);
  Table.expire(Start + 120s);
  EXPECT_EQ(begin<Failure>(ticket, Start + 120s), expired);
  EXPECT_EQ(begin<Failure>(ticket, Start), expired);
}

// Guards against a table that grows without bound when many tickets are requested.
TEST_F(TicketTableTest, IssuesUpToItsCapacityUntilTicketsExpire) {
  EXPECT_TRUE(Table.issue(Start));
  EXPECT_TRUE(Table.issue(Start + 1s));
  EXPECT_FALSE(Table.issue(Start + 119s));
  EXPECT_TRUE(Table.issue(Start + 120s));
  EXPECT_FALSE(Table.issue(Start + 120s));
}

// Guards against accepting forged tickets, and tickets that an earlier incarnation at the same
// address issued.
TEST_F(TicketTableTest, RejectsForgedAndForeignTickets) {
  const std::string ticket = *Table.issue(Start);
  const Failure invalid{FailureKind::TicketInvalid, Execution::NotRun, {}};
  // The first 22 characters encode the boot ID. Changing them makes the ticket foreign, not
  // invalid.
  for (std::size_t n = 22; n < ticket.size(); ++n) {
    std::string forged = ticket;
    forged[n] = forged[n] == 'A' ? 'B' : 'A';
    EXPECT_EQ(begin<Failure>(forged, Start), invalid) << forged;
  }
  for (const std::string &text :
       {std::string{}, ticket + "A", ticket.substr(1), std::string(64, '='), std::string(64, '\0')})
    EXPECT_EQ(begin<Failure>(text, Start), invalid) << text;
  TicketTable successor(BootId{{2}}, Key, 2, 120s);
  const auto result = successor.begin(ticket, PromotionDigest, Start);
  EXPECT_EQ(std::get<TicketForeign>(result).Boot, BootId{{1}});
}

// Guards against characters in a ticket that proxies or header parsers could alter or truncate.
TEST_F(TicketTableTest, EncodesTicketsWithHeaderSafeCharacters) {
  const std::string ticket = *Table.issue(Start);
  EXPECT_EQ(ticket.size(), Ticket::TextLength);
  EXPECT_TRUE(std::ranges::all_of(
      ticket, [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; }));
}

// Guards against recorded responses that exhaust memory, and against replaying connection headers.
TEST_F(TicketTableTest, RecordsBoundedResponsesWithContentHeaders) {
  const std::string small = *Table.issue(Start);
  const std::string large = *Table.issue(Start);
  const std::vector<RecordedHeader> headers{{"Content-Type", "a"}, {"Connection", "close"}};
  const std::string maxBody(MaxRecordedResponseBytes - std::string_view{"Content-Typea"}.size(),
                            'x');
  Table.finish(begin<TicketStarted>(small, Start).Id,
               {Execution::Run, {}, 201, headers, maxBody, false}, Start);
  Table.finish(begin<TicketStarted>(large, Start).Id,
               {Execution::Run, {}, 201, headers, maxBody + "x", false}, Start);
  const TicketOutcome withContent{Execution::Run, {}, 201, {{"Content-Type", "a"}}, maxBody, false};
  EXPECT_EQ(*begin<TicketFinished>(small, Start).Outcome, withContent);
  const TicketOutcome withoutContent{Execution::Run, {}, 201, {}, "", true};
  EXPECT_EQ(*begin<TicketFinished>(large, Start).Outcome, withoutContent);
  Table.expire(Start + 120s);
  EXPECT_EQ(Table.recordedBytes(), 0U);
}

// Guards against a digest of the plain concatenation, which is the same wherever the parts are
// split.
TEST(RequestDigest, DependsOnPartBoundaries) {
  EXPECT_NE(RequestDigest::of("POST", "/a", "b"), RequestDigest::of("POST", "/ab", ""));
  EXPECT_EQ(RequestDigest::of("POST", "/a", "b"), RequestDigest::of("POST", "/a", "b"));
}
