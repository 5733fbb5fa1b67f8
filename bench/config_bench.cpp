// The replicated configuration at the size aimed at: what a change, a snapshot and a follower's catching up
// cost, and the memory held. The argument is the number of database groups; 3300 is the size aimed at, with
// three backends and one route a group, and 1500 proxies.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <memory>

#include "declared/config/state_machine.h"
#include "wire/codec.h"

namespace cairnhollow::declared::config {

namespace {

constexpr int kBackendsPerGroup = 3;
constexpr int kGroupsAimedAt = 3300;
constexpr int kProxiesAimedAt = 1500;
constexpr std::size_t kChangesPerRequest = 2000;

Selector by_label(const std::string& key, const std::string& value) {
  Selector selector;
  selector.match_labels.entries[key] = value;
  return selector;
}

std::string zone_of(int number) { return fmt::format("zone-{}", number % 19); }

std::string group_name(int group) { return fmt::format("database-{:04}", group); }

Object backend_of(int group, int member) {
  const int machine = group * kBackendsPerGroup + member;
  const std::string zone = zone_of(machine);
  Object object;
  object.name = fmt::format("{}-{}", group_name(group), member);
  object.labels.entries = {{"service", "records"}, {"group", group_name(group)}, {"zone", zone}};
  const std::string address = fmt::format("10.1.{}.{}", machine / 250, machine % 250 + 1);
  object.spec = BackendSpec{ZoneName(zone), {address, 5432}, false};
  return object;
}

Object group_of(int group) {
  Object object;
  object.name = group_name(group);
  object.labels.entries = {{"service", "records"}, {"database", group_name(group)}};
  object.spec = DatabaseGroupSpec{by_label("group", group_name(group)), {0, kHashSlots - 1}, 35, 5};
  return object;
}

Object route_of(int group) {
  Object object;
  object.name = group_name(group);
  object.labels.entries = {{"service", "records"}};
  RouteSpec spec;
  spec.statement_selector = by_label("database", group_name(group));
  spec.group_selector = by_label("database", group_name(group));
  object.spec = spec;
  return object;
}

Object proxy_of(int number) {
  const std::string zone = zone_of(number);
  Object object;
  object.name = fmt::format("proxy-{:04}", number);
  object.labels.entries = {{"service", "records"}, {"zone", zone}};
  const std::string address = fmt::format("10.2.{}.{}", number / 250, number % 250 + 1);
  object.spec = ProxySpec{ZoneName(zone), {address, 4000}, false};
  return object;
}

std::vector<Object> fleet_of(int groups) {
  std::vector<Object> objects;
  for (int group = 0; group < groups; ++group) {
    for (int member = 0; member < kBackendsPerGroup; ++member) objects.push_back(backend_of(group, member));
    objects.push_back(group_of(group));
    objects.push_back(route_of(group));
  }
  const int proxies = groups * kProxiesAimedAt / kGroupsAimedAt;
  for (int proxy = 0; proxy < proxies; ++proxy) objects.push_back(proxy_of(proxy));
  return objects;
}

/// Applies changes under ids of their own.
class Applier {
 public:
  explicit Applier(StateMachine& machine) : machine_(machine) {}

  void apply(std::vector<ObjectChange> changes) {
    ChangeRequest request;
    request.change_id = fmt::format("change-{}", ++number_);
    request.at_revision = machine_.revision();
    request.operator_name = "operator";
    request.changes = std::move(changes);
    const auto outcome = machine_.apply(request);
    if (!outcome.accepted) throw std::runtime_error(outcome.reason.to_string());
  }

  void apply_all(const std::vector<Object>& objects) {
    for (std::size_t begin = 0; begin < objects.size(); begin += kChangesPerRequest) {
      std::vector<ObjectChange> changes;
      const std::size_t end = std::min(objects.size(), begin + kChangesPerRequest);
      for (std::size_t i = begin; i < end; ++i) changes.push_back({objects[i], false, std::nullopt});
      apply(std::move(changes));
    }
  }

 private:
  StateMachine& machine_;
  std::uint64_t number_ = 0;
};

std::size_t heap_in_use() { return mallinfo2().uordblks; }

/// One backend gets a label.
void label_backend(benchmark::State& state) {
  const int groups = static_cast<int>(state.range(0));
  StateMachine machine;
  Applier applier(machine);
  applier.apply_all(fleet_of(groups));
  int number = 0;
  for (auto _ : state) {
    Object backend = backend_of(number % groups, 0);
    backend.labels.entries["round"] = std::to_string(number++);
    applier.apply({{std::move(backend), false, std::nullopt}});
  }
}
BENCHMARK(label_backend)->Arg(330)->Arg(1000)->Arg(kGroupsAimedAt)->Unit(benchmark::kMicrosecond);

/// One group changes its limits.
void change_group(benchmark::State& state) {
  const int groups = static_cast<int>(state.range(0));
  StateMachine machine;
  Applier applier(machine);
  applier.apply_all(fleet_of(groups));
  int number = 0;
  for (auto _ : state) {
    Object group = group_of(number % groups);
    std::get<DatabaseGroupSpec>(group.spec).connections_per_backend = 36 + number++ % 20;
    applier.apply({{std::move(group), false, std::nullopt}});
  }
}
BENCHMARK(change_group)->Arg(330)->Arg(1000)->Arg(kGroupsAimedAt)->Unit(benchmark::kMicrosecond);

/// One proxy drains.
void drain_proxy(benchmark::State& state) {
  const int groups = static_cast<int>(state.range(0));
  StateMachine machine;
  Applier applier(machine);
  applier.apply_all(fleet_of(groups));
  int number = 0;
  for (auto _ : state) {
    Object proxy = proxy_of(number++ % 150);
    std::get<ProxySpec>(proxy.spec).drain = number % 2 == 0;
    applier.apply({{std::move(proxy), false, std::nullopt}});
  }
}
BENCHMARK(drain_proxy)->Arg(330)->Arg(1000)->Arg(kGroupsAimedAt)->Unit(benchmark::kMicrosecond);

/// The dearest single change: a group that one route selects together with every other group.
void change_group_of_a_route_over_all(benchmark::State& state) {
  const int groups = static_cast<int>(state.range(0));
  auto objects = fleet_of(groups);
  const int slots_each = static_cast<int>(kHashSlots) / groups;
  int next = 0;
  for (auto& object : objects) {
    auto* spec = std::get_if<DatabaseGroupSpec>(&object.spec);
    if (spec == nullptr) continue;
    const auto first = static_cast<std::uint32_t>(next++ * slots_each);
    spec->hash_slots = {first, first + static_cast<std::uint32_t>(slots_each) - 1};
  }
  RouteSpec route;
  route.group_selector = by_label("service", "records");
  objects.push_back(Object{"all", {}, route});
  StateMachine machine;
  Applier applier(machine);
  applier.apply_all(objects);
  int number = 0;
  for (auto _ : state) {
    Object group = *std::find_if(objects.begin(), objects.end(), [](const Object& each) {
      return each.kind() == ObjectKind::kDatabaseGroup;
    });
    std::get<DatabaseGroupSpec>(group.spec).connections_per_backend = 36 + number++ % 20;
    applier.apply({{std::move(group), false, std::nullopt}});
  }
}
BENCHMARK(change_group_of_a_route_over_all)
    ->Arg(330)
    ->Arg(1000)
    ->Arg(kGroupsAimedAt)
    ->Unit(benchmark::kMicrosecond);

void take_snapshot(benchmark::State& state) {
  StateMachine machine;
  Applier(machine).apply_all(fleet_of(static_cast<int>(state.range(0))));
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string snapshot = machine.take_snapshot();
    bytes = snapshot.size();
    benchmark::DoNotOptimize(snapshot.data());
  }
  state.counters["snapshot_bytes"] = static_cast<double>(bytes);
  state.counters["objects"] = static_cast<double>(machine.list(std::nullopt).size());
}
BENCHMARK(take_snapshot)->Arg(330)->Arg(1000)->Arg(kGroupsAimedAt)->Unit(benchmark::kMillisecond);

void restore_snapshot(benchmark::State& state) {
  StateMachine machine;
  Applier(machine).apply_all(fleet_of(static_cast<int>(state.range(0))));
  const std::string snapshot = machine.take_snapshot();
  for (auto _ : state) {
    StateMachine restored;
    Reason reason;
    if (!restored.restore_snapshot(snapshot, reason)) state.SkipWithError(reason.detail.c_str());
    benchmark::DoNotOptimize(restored.revision());
  }
}
BENCHMARK(restore_snapshot)->Arg(330)->Arg(1000)->Arg(kGroupsAimedAt)->Unit(benchmark::kMillisecond);

/// Heap held by a state machine: the objects alone, and with all memories of changes full.
void memory_held(benchmark::State& state) {
  const auto objects = fleet_of(static_cast<int>(state.range(0)));
  double of_objects = 0;
  double with_memories = 0;
  for (auto _ : state) {
    const std::size_t before = heap_in_use();
    auto machine = std::make_unique<StateMachine>();
    Applier applier(*machine);
    applier.apply_all(objects);
    of_objects = static_cast<double>(heap_in_use() - before);
    for (std::size_t i = 0; i < ChangeMemory::kMaximumAccepted; ++i) {
      applier.apply({{backend_of(static_cast<int>(i) % 330, 0), false, std::nullopt}});
    }
    with_memories = static_cast<double>(heap_in_use() - before);
    state.counters["snapshot_bytes_with_memories"] = static_cast<double>(machine->take_snapshot().size());
  }
  state.counters["objects"] = static_cast<double>(objects.size());
  state.counters["heap_bytes"] = of_objects;
  state.counters["heap_bytes_per_object"] = of_objects / static_cast<double>(objects.size());
  state.counters["heap_bytes_with_memories"] = with_memories;
}
BENCHMARK(memory_held)->Arg(330)->Arg(1000)->Arg(kGroupsAimedAt)->Iterations(1);

/// What a follower that is one change, or a day's 2200 changes, behind is sent.
void changes_since(benchmark::State& state) {
  StateMachine machine;
  Applier applier(machine);
  applier.apply_all(fleet_of(kGroupsAimedAt));
  const auto behind = static_cast<std::uint64_t>(state.range(0));
  for (std::uint64_t i = 0; i < behind; ++i) {
    applier.apply({{backend_of(static_cast<int>(i), 1), false, std::nullopt}});
  }
  std::size_t bytes = 0;
  for (auto _ : state) {
    const auto changes = machine.changes_since(machine.revision() - behind);
    bytes = wire::encode(*changes).size();
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(changes_since)->Arg(1)->Arg(2200)->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace cairnhollow::declared::config
