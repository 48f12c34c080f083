#include <LibRoutes/RouteTable.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace wigeonlift {

namespace {

/// Removes the port and converts the name to lower case. Colons inside the brackets of an IPv6
/// address don't start a port.
std::string normalizedHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
    host = host.substr(0, colon);
  std::string result{host};
  std::ranges::transform(result, result.begin(), [](unsigned char c) { return std::tolower(c); });
  return result;
}

} // namespace

RouteTable::RouteTable(RouteConfiguration configuration) : Configuration(std::move(configuration)) {
  for (const Route &it : Configuration.Routes) {
    RoutesByHost[normalizedHost(it.Host)].emplace(it.Prefix, &it);
    for (const WeightedService &part : it.WeightedServices)
      PrioritiesByService[part.Service].insert(it.Priority);
  }
  for (const ServiceConfiguration &it : Configuration.Services)
    Services.emplace(it.Name, &it);
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const {
  const auto hostRoutes = RoutesByHost.find(normalizedHost(host));
  if (hostRoutes == RoutesByHost.end())
    return nullptr;
  std::string_view path = target.substr(0, target.find_first_of("?#"));
  while (true) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos)
      return nullptr;
    if (const auto it = hostRoutes->second.find(path.substr(0, slash + 1));
        it != hostRoutes->second.end())
      return it->second;
    path = path.substr(0, slash);
  }
}

const ServiceConfiguration *RouteTable::service(std::string_view name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : it->second;
}

bool RouteTable::hasSeveralPriorities(std::string_view service) const {
  const auto it = PrioritiesByService.find(service);
  return it != PrioritiesByService.end() && it->second.size() > 1;
}

bool RouteTableStore::replaceIfNewer(RouteConfiguration configuration) {
  if (Current && configuration.Version <= Current->configuration().Version)
    return false;
  Current = std::make_shared<const RouteTable>(std::move(configuration));
  return true;
}

std::size_t WeightedRoundRobin::next(const Route &route, double initialFraction) {
  const auto isUnchanged = [&] {
    return std::ranges::equal(route.WeightedServices, Weights, {}, &WeightedService::Weight);
  };
  if (!isUnchanged()) {
    Weights.clear();
    CurrentWeights.clear();
    for (const WeightedService &it : route.WeightedServices) {
      Weights.push_back(it.Weight);
      // The service with the highest weight is selected first in any case. With different
      // fractions, processes that start together select the other services at different calls.
      CurrentWeights.push_back(it.Weight * initialFraction);
    }
  }
  double totalWeight = 0;
  for (std::size_t n = 0; n < Weights.size(); ++n) {
    CurrentWeights[n] += Weights[n];
    totalWeight += Weights[n];
  }
  const auto selectedWeight = std::ranges::max_element(CurrentWeights);
  *selectedWeight -= totalWeight;
  return static_cast<std::size_t>(selectedWeight - CurrentWeights.begin());
}

} // namespace wigeonlift
