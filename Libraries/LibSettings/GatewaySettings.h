#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonlift {

/// Bounds that the platform sets for the fleet.
struct FleetBounds {
  /// Repeats a service may get in any window, as a share of the requests for it.
  double RepeatRatio = 0.2;
  /// Repeats beyond that share, over all VMs.
  double RepeatExtra = 0;
  Duration RepeatWindow = std::chrono::seconds{10};
  /// Time between SIGTERM and SIGKILL.
  Duration StopGrace = std::chrono::seconds{6};
  /// Longest time for which callers may keep a directory answer.
  Duration MaxDirectoryLifetime = std::chrono::seconds{5};
  /// Probes an upstream and second, over all VMs.
  double ProbesPerUpstreamSecond = 60;
  /// Time after which an upstream that leaves must get no new requests.
  Duration DrainTimeout = std::chrono::seconds{2};
  /// Time after an outage of the store from which on such bounds hold again.
  Duration StoreSettleTime = std::chrono::seconds{3};
  /// Time after which a new configuration must be in force.
  Duration ConfigurationDeadline = std::chrono::seconds{2};
  /// Time after which upstreams of a data centre that is being evacuated must get no new requests.
  /// Empty if the platform sets none.
  std::optional<Duration> EvacuationDeadline{};

  /// In any second, a cold upstream tolerates the rate that its service names times this factor,
  /// plus `WarmupTolerance` requests, from all VMs. The rate is limited only if both are set.
  std::optional<double> WarmupOverage;
  std::optional<double> WarmupTolerance;

  bool limitsWarmup() const { return WarmupOverage && WarmupTolerance; }
  /// Time within which each VM must know a change of the store.
  Duration changeDeadline() const {
    const Duration deadline = std::min(DrainTimeout, ConfigurationDeadline);
    return std::min(deadline, EvacuationDeadline.value_or(deadline));
  }
};

/// Settings of one gateway daemon. Addresses are `IP:PORT`; an address that isn't served is empty.
struct GatewaySettings {
  std::string Name;
  std::string DataCentre;
  std::string Region;
  /// This VM's own address without a port.
  std::string Ip;
  std::string CallersAddress;
  std::string ReadinessAddress;
  std::string DirectoryAddress;
  /// Where other VMs reach this one, over TCP and UDP.
  std::string PeerAddress;
  std::string StoreAddress;
  std::vector<std::string> SeedPeers;
  int FirstInternalPort = 0;
  /// Share of a processor core; callers are sent to VMs in proportion.
  double CpuShare = 1;
  /// Bandwidth of this VM's link in Mbit/s.
  double LinkMbps = 1000;
  int MemoryMb = 0;
  int FileDescriptors = 1024;
  /// The whole fleet starts for the first time; callers come some seconds later.
  bool IsFirstStart = false;
  /// Whether less urgent requests give way to more urgent ones at other VMs when a service is short
  /// of room.
  bool HasPriorityAdmission = false;
  FleetBounds Bounds;
};

} // namespace wigeonlift
