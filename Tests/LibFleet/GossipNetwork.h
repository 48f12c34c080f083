#pragma once

#include <LibFleet/LibFleet.h>

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace wigeonlift {

inline constexpr TimePoint GossipStart{std::chrono::seconds{100}};

inline VmAddress ip(int n) { return 0x0a000000U + static_cast<VmAddress>(n); }

/// A simulated fleet whose VMs exchange datagrams without delay.
class GossipNetwork {
public:
  GossipNetwork(int vms, int dataCentres) {
    for (int n = 1; n <= vms; ++n)
      add(n, n % dataCentres);
  }

  void add(int n, int dataCentre, std::uint32_t weight = 100) {
    FleetVm self{.Ip = ip(n),
                 .DataCentre = std::string(1, static_cast<char>('a' + dataCentre)),
                 .Incarnation = static_cast<std::uint64_t>(++Starts),
                 .Weight = weight};
    Vms[ip(n)] = std::make_unique<FleetMembership>(self, Seeds, static_cast<std::uint64_t>(n), Now);
    Vms[ip(n)]->setReady(true);
    Vms[ip(n)]->setRevision(1);
  }

  void run(Duration duration) {
    const Duration step = FleetMembership::GossipInterval / static_cast<int>(Phases);
    for (const TimePoint end = Now + duration; Now < end; Now += step, ++Steps)
      for (auto &[address, vm] : Vms)
        if (!UnreachableVms.contains(address) && address % Phases == Steps % Phases)
          deliver(address, vm->tick(Now));
  }

  void deliver(VmAddress from, const std::vector<FleetDatagram> &datagrams) {
    for (const FleetDatagram &it : datagrams)
      if (Vms.contains(it.To) && !UnreachableVms.contains(it.To) && partOf(from) == partOf(it.To)) {
        const auto decoded = decodeFleetMessage(encodeFleetMessage(it.Message));
        ASSERT_TRUE(decoded);
        deliver(it.To, Vms[it.To]->didReceive(*decoded, Now));
      }
  }

  /// Ends processes for good.
  void lose(const std::set<VmAddress> &vms) {
    for (const VmAddress it : vms)
      Vms.erase(it);
  }

  FleetMembership &vm(int n) { return *Vms.at(ip(n)); }

  std::map<VmAddress, std::unique_ptr<FleetMembership>> Vms;
  std::set<VmAddress> UnreachableVms;
  /// VMs of different parts don't reach each other.
  int partOf(VmAddress vm) const {
    const auto it = Parts.find(vm);
    return it == Parts.end() ? 0 : it->second;
  }

  std::map<VmAddress, int> Parts;
  std::vector<VmAddress> Seeds{ip(1), ip(2)};
  int Starts = 0;
  TimePoint Now = GossipStart;
  /// At how many different times of an interval the VMs send.
  VmAddress Phases = 1;
  VmAddress Steps = 0;
};

} // namespace wigeonlift
