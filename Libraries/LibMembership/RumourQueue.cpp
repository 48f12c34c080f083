#include <LibMembership/RumourQueue.h>

#include <algorithm>
#include <bit>

namespace wigeonlift {

namespace {

/// More sends only cost traffic while many VMs start; what a lost rumour leaves out is repaired by
/// the member that each message carries in turn.
constexpr int MinSends = 2;

} // namespace

void RumourQueue::add(const std::string &member, std::size_t fleetSize) {
  Left[member] = MinSends + static_cast<int>(std::bit_width(fleetSize));
}

std::vector<std::string> RumourQueue::take(std::size_t count) {
  std::vector<std::pair<int, std::string>> order;
  for (const auto &[name, left] : Left)
    order.emplace_back(-left, name);
  std::ranges::sort(order);
  order.resize(std::min(order.size(), count));
  std::vector<std::string> names;
  for (auto &[left, name] : order) {
    if (--Left[name] <= 0)
      Left.erase(name);
    names.push_back(std::move(name));
  }
  return names;
}

} // namespace wigeonlift
