#pragma once

#include <Services/Gateway/CallerSession.h>
#include <Services/Gateway/Gateway.h>
#include <Tests/Support/FakeUpstream.h>
#include <Tests/Support/RawCaller.h>

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wigeonlift {

/// An upstream as the platform describes it: answers health checks as idle, and other requests by
/// a script of the test.
class PlatformUpstream {
public:
  using Script = std::function<FakeReply(const std::string &attemptId)>;

  PlatformUpstream(boost::asio::io_context &context, std::string id, Script script);

  const std::string &id() const { return Id; }
  std::string address() const { return Server.address(); }
  /// Requests other than health checks, as they arrived.
  std::vector<std::string> requests() const;
  int closedConnections() const { return Server.Closed; }
  FakeUpstream &server() { return Server; }

  /// Data centre that the upstream's entry in the store names.
  std::string DataCentre = "a";
  /// Further fields of all answers to health checks, each with its line end.
  std::string HealthFields;
  /// Announced length and body of all answers to health checks.
  std::size_t HealthLength = 0;
  std::string HealthBody;

private:
  FakeReply answer(const std::string &request);

  std::string Id;
  Script Answer;
  FakeUpstream Server;
};

/// The data path of one gateway, with callers and upstreams on loopback. Everything runs on one
/// thread.
class GatewayFixture : public testing::Test {
protected:
  /// With a process that may use so much memory.
  explicit GatewayFixture(int memoryMb = 8);

  /// Puts a configuration with the routes `/look/` (safe), `/record/` (unsafe), `/bulk/`
  /// (download) and `/brief/` (safe, its timeout shorter than its objective) of `h.example` in
  /// force, and the upstreams that serve all of them.
  void configure(const std::vector<const PlatformUpstream *> &upstreams,
                 const EntryRemoval &removals = {});
  /// Writes (true) or removes (false) orders to evacuate data centres, in one update.
  void learnEvacuations(const std::map<std::string, bool> &isOrdered);
  /// Limits the requests to cold upstreams of a configured gateway that is the only one.
  void limitWarmups(double requestsPerSecond);
  /// The entry of a configured upstream is written with this remaining warm-up and time of start.
  void rewrite(const PlatformUpstream &upstream, std::string_view warmupRemaining, int born = 1);
  /// The entry of a configured upstream is removed.
  void removeEntry(const PlatformUpstream &upstream);
  std::shared_ptr<RawCaller> connect();
  /// Sends bytes on a connection of its own and waits for the whole answer or the end.
  std::shared_ptr<RawCaller> ask(const std::string &request);
  /// Runs until the condition holds; fails after some seconds.
  void runUntil(const std::function<bool()> &condition);

  boost::asio::io_context Context{1};
  EventLog Log;
  Gateway Core;
  CallerServer Callers;
  std::uint64_t LastRevision = 100;
};

/// A request with an attempt id, a deadline of 2 s and a body if there is one.
std::string callerRequest(const std::string &method, const std::string &target,
                          const std::string &attemptId, const std::string &body = "",
                          const std::string &fields = "");
/// The sealed answer of an upstream to an attempt.
std::string sealedAnswer(const std::string &attemptId, const std::string &body, int status = 200,
                         const std::string &fields = "");
/// An upstream's statement that it did not run the request.
std::string notExecutedAnswer(const std::string &attemptId);
/// The status of an answer; 0 when there is none.
int statusOf(const RawCaller &caller);

} // namespace wigeonlift
