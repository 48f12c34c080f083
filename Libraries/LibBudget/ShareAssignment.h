#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wigeonlift {

/// Says which VM may use which part of something that the fleet shares, such as the rate that an
/// upstream accepts. It is divided into equal shares, each of which one VM holds.
///
/// Every VM determines the holders on its own from what it knows of the fleet, by rendezvous
/// hashing: first the data centre of a share, then the VM there, each in proportion to its weight.
/// A VM knows all VMs of its own data centre and the sizes of the others, and needs no more. When a
/// VM joins or leaves, only its own shares move.
class ShareAssignment {
public:
  struct DataCentre {
    std::string Name;
    double Weight = 1;
    bool operator==(const DataCentre &) const = default;
  };
  struct Vm {
    std::uint32_t Address = 0;
    double Weight = 1;
    bool operator==(const Vm &) const = default;
  };

  /// For a VM without others, which holds all shares.
  ShareAssignment() = default;
  /// For a VM that may not use any share.
  static ShareAssignment withoutShares();
  /// `localVms` are the VMs of the data centre of this VM, including itself.
  ShareAssignment(Vm self, std::string ownDataCentre, std::vector<DataCentre> dataCentres,
                  std::vector<Vm> localVms);

  /// How many of the shares of the thing with this key this VM holds.
  int heldShares(std::uint64_t key, int shareCount) const;
  /// The weight of this VM as a fraction of that of the fleet. Zero for a VM that may not use any
  /// share.
  double ownFraction() const;

  bool operator==(const ShareAssignment &) const = default;

private:
  Vm Self;
  std::string OwnDataCentre;
  std::vector<DataCentre> DataCentres;
  std::vector<Vm> LocalVms;
  bool HoldsNothing = false;
};

} // namespace wigeonlift
