#pragma once

#include "Gateway.h"

#include <LibFleet/LibFleet.h>
#include <LibHttp/LibHttp.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace wigeonlift {

/// Talks to the other VMs: datagrams about members and changes, and reads of a replica over HTTP by
/// VMs that have fallen behind.
class FleetTask {
public:
  FleetTask(Gateway &gateway, std::uint64_t seed);

  /// Fails with kUnavailable when a port can't be bound.
  absl::Status start();
  /// Tells all VMs that this one gets no more callers.
  void stop();

  /// Whether other VMs turn to this one when they start.
  bool isSeed() const { return IsSeed; }
  std::vector<std::string> callersAddresses(std::string_view dataCentre);
  /// Sends the messages of an update and tells the gateway of its changes.
  void publish(const ReplicaUpdate &update, std::string_view source);
  void send(const std::vector<FleetDatagram> &sends);
  FleetReplica &fleet() { return Fleet; }
  const FleetMembership &members() const { return Fleet.members(); }
  const StoreReplica &replica() const { return Fleet.replica(); }
  std::uint64_t bytesSent() const { return BytesSent; }
  std::uint64_t pulls() const { return Pulls; }
  /// How often the replica became older than its limit.
  std::uint64_t oldReplicas() const { return OldReplicas; }

private:
  boost::asio::awaitable<void> beatRegularly();
  boost::asio::awaitable<void> receive();
  boost::asio::awaitable<HttpResponse> answer(HttpRequest request);
  const std::string &changesSince(StoreRevision after);
  /// Reads from other VMs as long as some are ahead of this one.
  boost::asio::awaitable<void> catchUp();
  /// Returns whether the VM answered.
  boost::asio::awaitable<bool> pull(VmAddress from);
  /// Begins to read from other VMs, unless this VM does so already.
  void beginToCatchUp();
  /// Logs when upstreams that nobody uses begin to be left out, and when a copy has all of them.
  void logLeftOut();
  void handle(const FleetMessage &message);
  /// Logs when the replica has become older than its limit, and when it is current again.
  void logReplicaAge(TimePoint now);
  /// Tells the services which parts of what the fleet shares this VM may use.
  void shareOut(TimePoint now);
  /// Logs that the store was restored from an older copy.
  void logRestore(const ReplicaUpdate &update, std::string_view source);
  void sendOne(const FleetDatagram &send);

  Gateway &Owner;
  FleetReplica Fleet;
  int CallersPort = 0;
  bool IsSeed = false;
  boost::asio::ip::udp::socket Socket;
  HttpServer Server;
  /// The answer to the VM that asked last; VMs that fall behind together ask for the same.
  std::string AnswerBody;
  StoreRevision AnswerAfter = 0;
  std::uint64_t AnswerVersion = 0;
  PeerReads Reads;
  bool IsCatchingUp = false;
  std::uint64_t BytesSent = 0;
  std::uint64_t Pulls = 0;
  bool WasReplicaOld = false;
  bool HadLeftOut = false;
  bool WasLacking = false;
  /// Whether this VM held shares of what the fleet divides.
  bool HadShares = false;
  std::uint64_t OldReplicas = 0;
};

} // namespace wigeonlift
