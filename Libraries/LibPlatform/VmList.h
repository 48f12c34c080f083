#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace wigeonlift {

/// One VM in the platform's VM list.
struct ListedVm {
  std::string Name;
  /// `IP:PORT` at which an entry VM accepts callers, or an upstream accepts calls.
  std::string Address;
  /// `IP:PORT` at which an entry VM accepts its peers. Not required for upstreams.
  std::string PeerAddress;
  /// `entry` or the name of a service.
  std::string Role;
  std::string DataCentre;
  std::string Region;
  bool IsLeaving = false;

  bool operator==(const ListedVm &) const = default;
};

/// Role of entry VMs in the list.
inline constexpr std::string_view EntryRole = "entry";

using VmList = std::vector<ListedVm>;

/// Parses the platform's VM list. Skips VMs without a name, an address or a role, and entry VMs
/// without a peer address, so that one invalid element doesn't hide the others. Fails with
/// kInvalidArgument when the text is not a JSON object with the array `vms`.
absl::StatusOr<VmList> parseVmList(std::string_view text);

} // namespace wigeonlift
