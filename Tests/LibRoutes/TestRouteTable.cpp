#include <LibRoutes/LibRoutes.h>

#include <gtest/gtest.h>

#include <array>

namespace wigeonlift {

namespace {

Route route(std::string name, std::string host, std::string prefix) {
  return {.Name = std::move(name),
          .Host = std::move(host),
          .Prefix = std::move(prefix),
          .Class = CallClass::Idempotent,
          .Timeout = {},
          .WeightedServices = {{.Service = "rankview"}}};
}

RouteTable table() {
  RouteConfiguration configuration{.Version = 1};
  configuration.Routes = {route("wide", "a.example", "/x/"), route("narrow", "a.example", "/x/y/"),
                          route("other", "b.example", "/x/")};
  return RouteTable{std::move(configuration)};
}

std::string routeName(const Route *route) { return route ? route->Name : "none"; }

} // namespace

// Guards against a request that is matched to a route with a shorter prefix or of another host.
TEST(RouteTable, FindsTheLongestPrefixOfTheHost) {
  const RouteTable routes = table();
  EXPECT_EQ(routeName(routes.find("a.example", "/x/y/1")), "narrow");
  EXPECT_EQ(routeName(routes.find("a.example", "/x/z")), "wide");
  EXPECT_EQ(routeName(routes.find("A.Example:8080", "/x/y/")), "narrow");
  EXPECT_EQ(routeName(routes.find("b.example", "/x/y/1")), "other");
}

// Guards against a prefix that matches part of a path segment, or text in the query.
TEST(RouteTable, MatchesWholeSegmentsOfThePath) {
  const RouteTable routes = table();
  EXPECT_EQ(routeName(routes.find("a.example", "/xy/1")), "none");
  EXPECT_EQ(routeName(routes.find("a.example", "/x")), "none");
  EXPECT_EQ(routeName(routes.find("a.example", "/q?/x/y/")), "none");
  EXPECT_EQ(routeName(routes.find("c.example", "/x/1")), "none");
}

// Guards against priorities that are compared at a service that all its routes reach alike, or only
// by the first part of a split.
TEST(RouteTable, KnowsTheServicesWithSeveralPriorities) {
  RouteConfiguration configuration{.Version = 1};
  configuration.Routes = {route("urgent", "a.example", "/x/"), route("bulk", "a.example", "/y/")};
  configuration.Routes[0].WeightedServices.push_back({.Service = "gradebook"});
  configuration.Routes[1].Priority = 2;
  configuration.Routes[1].WeightedServices = {{.Service = "archivist"}, {.Service = "gradebook"}};
  const RouteTable routes{std::move(configuration)};
  EXPECT_TRUE(routes.hasSeveralPriorities("gradebook"));
  EXPECT_FALSE(routes.hasSeveralPriorities("rankview"));
  EXPECT_FALSE(routes.hasSeveralPriorities("archivist"));
  EXPECT_FALSE(routes.hasSeveralPriorities("unknown"));
}

// Guards against an older configuration that arrives late and replaces a newer one.
TEST(RouteTableStore, RejectsOlderVersions) {
  RouteTableStore store;
  EXPECT_TRUE(store.replaceIfNewer({.Version = 5}));
  EXPECT_FALSE(store.replaceIfNewer({.Version = 5}));
  EXPECT_FALSE(store.replaceIfNewer({.Version = 3}));
  EXPECT_EQ(store.current()->configuration().Version, 5U);
  EXPECT_TRUE(store.replaceIfNewer({.Version = 9}));
}

// Guards against services that receive more or fewer calls than their weights allow, and against a
// change of weights that has no effect.
TEST(WeightedRoundRobin, FollowsTheWeights) {
  Route split = route("split", "a.example", "/x/");
  split.WeightedServices = {{.Service = "one", .Weight = 90}, {.Service = "two", .Weight = 10}};
  WeightedRoundRobin roundRobin;
  const auto secondServiceShare = [&](int callCount) {
    std::array<int, 2> counts{};
    for (int n = 0; n < callCount; ++n)
      ++counts[roundRobin.next(split, 0.5)];
    return static_cast<double>(counts[1]) / callCount;
  };
  EXPECT_NEAR(secondServiceShare(300), 0.1, 0.01);
  split.WeightedServices[0].Weight = 30;
  split.WeightedServices[1].Weight = 70;
  EXPECT_NEAR(secondServiceShare(300), 0.7, 0.01);
}

} // namespace wigeonlift
