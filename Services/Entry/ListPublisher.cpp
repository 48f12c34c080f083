#include "ListPublisher.h"

#include <algorithm>

namespace wigeonlift {

namespace {

std::map<std::string, std::vector<UpstreamSpec>> byService(const VmList &list) {
  std::map<std::string, std::vector<UpstreamSpec>> services;
  for (const ListedVm &it : list)
    if (it.Role != EntryRole)
      services[it.Role].push_back({it.Name, it.Address, it.DataCentre, it.IsLeaving});
  for (auto &[name, upstreams] : services)
    std::ranges::sort(upstreams, {}, &UpstreamSpec::Name);
  return services;
}

} // namespace

void ListPublisher::didReadList(const VmList &list) {
  std::map<std::string, std::vector<UpstreamSpec>> services = byService(list);
  for (const auto &[name, upstreams] : Services)
    services.try_emplace(name);
  for (const auto &[name, upstreams] : services) {
    const auto it = Services.find(name);
    if (it == Services.end() || it->second != upstreams)
      ToData(UpstreamsChanged{name, upstreams});
  }
  Services = std::move(services);
}

std::size_t ListPublisher::upstreams() const {
  std::size_t count = 0;
  for (const auto &[name, upstreams] : Services)
    count += upstreams.size();
  return count;
}

} // namespace wigeonlift
