#include "ListReader.h"

#include "Reachability.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace wigeonlift {

namespace {

namespace asio = boost::asio;

constexpr auto Completion = asio::as_tuple(asio::use_awaitable);
constexpr Duration CheckInterval = std::chrono::milliseconds{100};

TimePoint currentTime() { return TimePoint::clock::now(); }

ListRow rowOf(const ListedVm &vm) {
  return {vm.Role,
          vm.Name,
          vm.Address,
          vm.PeerAddress,
          vm.DataCentre,
          vm.Region,
          vm.IsLeaving ? ListRowState::Leaving : ListRowState::Live};
}

ListedVm vmOf(const ListRow &row) {
  return {.Name = row.Name,
          .Address = row.Address,
          .PeerAddress = row.PeerAddress,
          .Role = row.Role,
          .DataCentre = row.DataCentre,
          .Region = row.Region,
          .IsLeaving = row.State == ListRowState::Leaving};
}

std::vector<ListedPeer> entryPeers(const VmList &list) {
  std::vector<ListedPeer> peers;
  for (const ListedVm &it : list)
    if (it.Role == EntryRole && !it.IsLeaving)
      peers.push_back({it.Name, it.PeerAddress, it.Address, it.DataCentre, it.Region});
  return peers;
}

} // namespace

ListReader::ListReader(asio::io_context &context, FleetNode &node, PlatformState &platform,
                       std::function<void(DataTaskMessage)> toData, Runner runner,
                       std::uint64_t seed, bool hasSeeds)
    : Context(context), Node(node), Platform(platform), Publisher(std::move(toData)),
      Run(std::move(runner)), Schedule(seed, hasSeeds, currentTime()) {}

asio::awaitable<void> ListReader::loop(asio::ip::tcp::endpoint endpoint) {
  VmListClient client{std::move(endpoint)};
  asio::steady_timer timer{Context};
  while (true) {
    if (Schedule.isDue(fleetSize(), Node.table().usable() > 0, currentTime()))
      co_await readOnce(client);
    timer.expires_after(CheckInterval);
    co_await timer.async_wait(Completion);
  }
}

asio::awaitable<void> ListReader::readOnce(VmListClient &client) {
  const TimePoint askedAt = currentTime();
  const absl::StatusOr<VmList> list = client.handleResponse(co_await client.request());
  const TimePoint answeredAt = currentTime();
  ++Platform.ListReads;
  Platform.ListBytes += PlatformState::HttpBytes + (list.ok() ? client.listBytes() : 0);
  Platform.ListFailures += list.ok() ? 0 : 1;
  logReachability("VM list", list.status(), IsReachable);
  if (list.ok()) {
    std::vector<ListRow> rows;
    rows.reserve(list->size());
    for (const ListedVm &it : *list)
      rows.push_back(rowOf(it));
    Run([&](TimePoint, FleetOutput &) { Node.didReadList(rows, {askedAt, answeredAt}); });
    // The members that are listed are confirmed even if no row changed.
    publish();
  }
  Schedule.didRead(list.ok(), VmListClient::readInterval(fleetSize(), client.listBytes()),
                   answeredAt);
}

/// VMs that can't be reached count too, because they read the list as well.
std::size_t ListReader::fleetSize() const {
  return std::max(Node.table().usable() + 1, ListedEntryVms);
}

void ListReader::didStep(const std::vector<FleetEvent> &events) {
  for (const FleetEvent &it : events)
    if (std::holds_alternative<PauseNoticed>(it))
      Schedule.didPause(currentTime());
  if (Node.list().revision() != PublishedRevision)
    publish();
}

void ListReader::publish() {
  // First, because the step below ends here again.
  PublishedRevision = Node.list().revision();
  VmList list;
  for (const ListRow &it : Node.list().rows())
    list.push_back(vmOf(it));
  Publisher.didReadList(list);
  Platform.Upstreams = Publisher.upstreams();
  for (const auto &[service, upstreams] : Publisher.services()) {
    std::vector<std::string> names;
    for (const UpstreamSpec &it : upstreams)
      names.push_back(it.Name);
    Node.setUpstreams(service, names);
  }
  const std::vector<ListedPeer> peers = entryPeers(list);
  ListedEntryVms = peers.size();
  Run([&](TimePoint now, FleetOutput &output) { Node.setListed(peers, now, output); });
}

} // namespace wigeonlift
