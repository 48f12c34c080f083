#include <LibRoutes/RouteTable.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace wigeonlift {

namespace {

std::string hostKey(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
    host = host.substr(0, colon);
  std::string key{host};
  std::ranges::transform(key, key.begin(), [](unsigned char c) { return std::tolower(c); });
  return key;
}

} // namespace

RouteTable::RouteTable(RoutePlan plan) : Plan(std::move(plan)) {
  for (const Route &it : Plan.Routes)
    RoutesOfHost[hostKey(it.Host)].emplace(it.Prefix, &it);
  for (const ServicePlan &it : Plan.Services)
    Services.emplace(it.Name, &it);
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const {
  const auto routes = RoutesOfHost.find(hostKey(host));
  if (routes == RoutesOfHost.end())
    return nullptr;
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  while (true) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos)
      return nullptr;
    if (const auto it = routes->second.find(path.substr(0, slash + 1)); it != routes->second.end())
      return it->second;
    path = path.substr(0, slash);
  }
}

const ServicePlan *RouteTable::service(std::string_view name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : it->second;
}

bool RoutePlanStore::offer(RoutePlan plan) {
  if (InForce && plan.Version <= InForce->plan().Version)
    return false;
  InForce = std::make_shared<const RouteTable>(std::move(plan));
  return true;
}

std::size_t TrafficSplit::next(const Route &route, double start) {
  const auto isSame = [&] {
    return std::ranges::equal(route.Parts, Weights, {}, &TrafficPart::Weight);
  };
  if (!isSame()) {
    Weights.clear();
    Credits.clear();
    for (const TrafficPart &it : route.Parts) {
      Weights.push_back(it.Weight);
      // Processes that start at different points don't all send their first call to one part.
      Credits.push_back(it.Weight * start);
    }
  }
  double sum = 0;
  for (std::size_t n = 0; n < Weights.size(); ++n) {
    Credits[n] += Weights[n];
    sum += Weights[n];
  }
  const auto best = std::ranges::max_element(Credits);
  *best -= sum;
  return static_cast<std::size_t>(best - Credits.begin());
}

} // namespace wigeonlift
