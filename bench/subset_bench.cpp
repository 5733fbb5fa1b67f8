// Which proxies serve which groups, at the sizes of docs/CAPACITY.md: the time to work all subsets out, and
// as counters how many proxies a group and how many groups a proxy has.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <map>

#include "declared/backend/pool_share.h"
#include "subset/subset.h"

namespace cairnhollow::subset {
namespace {

constexpr std::uint32_t kGroups = 3300;
constexpr std::uint32_t kSlots = 5;

std::vector<ProxyPointer> make_proxies(std::uint32_t count) {
  const std::uint32_t zones = count < 100 ? 3 : 19;
  std::vector<ProxyPointer> proxies;
  for (std::uint32_t number = 0; number < count; ++number) {
    const ZoneName zone("zone-" + std::to_string(number % zones));
    const NodeName name("proxy-" + std::to_string(number));
    proxies.push_back(std::make_shared<ProxyView>(ProxyView{name, zone, Endpoint{"10.0.0.1", 1}}));
  }
  return proxies;
}

std::vector<GroupName> make_groups() {
  std::vector<GroupName> groups;
  for (std::uint32_t number = 0; number < kGroups; ++number) {
    groups.emplace_back("records-" + std::to_string(number));
  }
  return groups;
}

/// Arguments: proxies, connections of a backend.
void subsets_of_all_groups(benchmark::State& state) {
  const auto proxies = make_proxies(static_cast<std::uint32_t>(state.range(0)));
  const auto connections = static_cast<std::uint32_t>(state.range(1));
  const auto groups = make_groups();
  const auto size = subset_size(connections, proxies.size());
  std::map<const ProxyView*, std::uint32_t> served;
  for (auto iteration : state) {
    const SubsetTable table(proxies);
    for (const auto& group : groups) benchmark::DoNotOptimize(table.serving(group, size));
  }
  const SubsetTable table(proxies);
  for (const auto& group : groups) {
    for (const auto& proxy : table.serving(group, size)) ++served[proxy.get()];
  }
  std::vector<std::uint32_t> counts;
  counts.reserve(proxies.size());
  for (const auto& proxy : proxies) counts.push_back(served[proxy.get()]);
  const auto share = declared::backend::connection_share({connections, kSlots, size});
  state.counters["proxies_a_group"] = size;
  state.counters["groups_a_proxy_least"] = *std::min_element(counts.begin(), counts.end());
  state.counters["groups_a_proxy_most"] = *std::max_element(counts.begin(), counts.end());
  state.counters["connections_a_proxy"] = share;
  state.counters["connections_a_backend"] = share * size;
}
BENCHMARK(subsets_of_all_groups)
    ->ArgNames({"proxies", "connections"})
    ->ArgsProduct({{3, 100, 300, 1000, 1500}, {35, 60}})
    ->Unit(benchmark::kMillisecond);

/// What a request pays that is forwarded.
void order_of_forwarding(benchmark::State& state) {
  const auto proxies = make_proxies(1500);
  const auto subset = SubsetTable(proxies).serving(GroupName("records-1"), 11);
  const NodeName from("proxy-7");
  const ZoneName zone("zone-7");
  for (auto iteration : state) benchmark::DoNotOptimize(forwarding_order(subset, from, zone));
}
BENCHMARK(order_of_forwarding);

}  // namespace
}  // namespace cairnhollow::subset
