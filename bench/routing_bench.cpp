// The cost of one choice of a backend, by members of a group and by number of groups.
#include <benchmark/benchmark.h>

#include "declared/routing/choice.h"
#include "declared/routing/session_token.h"
#include "declared/routing/view_builder.h"

namespace cairnhollow::declared::routing {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(100)};
constexpr Position kSeen{1, 100};
constexpr std::size_t kZones = 3;

/// A configuration in which each database has one group and one route.
struct Deployment {
  std::map<declared::config::ObjectKey, declared::config::StoredObject> objects;
  std::map<GroupName, declared::follow::GroupState> groups;
  std::set<std::string> leaving;
  ViewBuilder builder{NodeName("proxy-1")};
  BackendEstimates estimates;
  ViewPointer view;

  Deployment(std::size_t group_count, std::size_t members) {
    put({"proxy-1", {}, declared::config::ProxySpec{zone(0), Endpoint{"10.0.0.1", 1}, false}});
    for (std::size_t group = 0; group < group_count; ++group) add_database(group, members);
    view = builder.rebuild(sources());
    for (const auto& group : view->groups) observe(*group);
  }

  ViewSources sources() const { return {1, objects, groups, leaving}; }

  static ZoneName zone(std::size_t index) { return ZoneName("zone-" + std::to_string(index % kZones)); }
  static std::string database(std::size_t index) { return "database-" + std::to_string(index); }

  void put(declared::config::Object object) {
    const auto key = object.key();
    objects.insert_or_assign(key, declared::config::StoredObject{std::move(object), 1});
  }

  void add_database(std::size_t index, std::size_t members) {
    const LabelSet labels{{{"database", database(index)}}};
    for (std::size_t member = 0; member < members; ++member) {
      const auto name = database(index) + "-" + std::to_string(member);
      const Endpoint endpoint{"10.0.0.2", static_cast<std::uint16_t>(index * members + member)};
      put({name, labels, declared::config::BackendSpec{zone(member), endpoint, false}});
    }
    declared::config::DatabaseGroupSpec group;
    group.backend_selector.match_labels = labels;
    put({database(index), labels, group});
    declared::config::RouteSpec route;
    route.statement_selector.match_labels = labels;
    route.group_selector.match_labels = labels;
    put({database(index), {}, route});
    const GroupName name(database(index));
    groups[name] = declared::follow::GroupState{name, 1, BackendName(database(index) + "-0")};
  }

  void observe(const GroupView& group) {
    estimates.freshness.observe_primary(group.name, kSeen, kNow);
    for (const auto& member : group.members) {
      estimates.freshness.observe_backend(group.name, member.ordinal, kSeen, kNow);
    }
  }
};

void choose_for_read(benchmark::State& state) {
  const auto group_count = static_cast<std::size_t>(state.range(0));
  const Deployment deployment(group_count, static_cast<std::size_t>(state.range(1)));
  const ChoiceSettings settings{ZoneName("zone-1"), std::chrono::milliseconds(20)};
  Request request;
  request.database = DatabaseName(Deployment::database(group_count / 2));
  request.labels.entries["database"] = request.database.value;
  request.session_position = kSeen;
  std::size_t number = 0;
  for (auto iteration : state) {
    request.partition_key = "learner-" + std::to_string(++number % 1000);
    const auto decision = choose(request, *deployment.view, deployment.estimates, settings, kNow);
    if (decision.candidates.size() < 2) state.SkipWithError("too few candidates");
    benchmark::DoNotOptimize(decision);
  }
}
BENCHMARK(choose_for_read)->ArgNames({"groups", "members"})->Args({1, 3})->Args({1, 9})->Args({3300, 3});

void build_whole_view(benchmark::State& state) {
  Deployment deployment(static_cast<std::size_t>(state.range(0)), 3);
  for (auto iteration : state) {
    benchmark::DoNotOptimize(deployment.builder.rebuild(deployment.sources()));
  }
}
BENCHMARK(build_whole_view)->ArgName("groups")->Arg(3)->Arg(3300)->Unit(benchmark::kMillisecond);

void swap_one_primary(benchmark::State& state) {
  Deployment deployment(static_cast<std::size_t>(state.range(0)), 3);
  auto& group = deployment.groups.begin()->second;
  for (auto iteration : state) {
    ++group.term;
    benchmark::DoNotOptimize(deployment.builder.update(deployment.sources(), {{}, {group.group}, false}));
  }
}
BENCHMARK(swap_one_primary)->ArgName("groups")->Arg(3)->Arg(3300)->Unit(benchmark::kMicrosecond);

/// One object of the middle database is written again: a backend, the group's labels, or a route.
void change_one_object(benchmark::State& state) {
  const auto group_count = static_cast<std::size_t>(state.range(0));
  const auto kind = static_cast<declared::config::ObjectKind>(state.range(1));
  Deployment deployment(group_count, 3);
  const auto database = Deployment::database(group_count / 2);
  const declared::config::ObjectKey key{
      kind, kind == declared::config::ObjectKind::kBackend ? database + "-0" : database};
  auto& object = deployment.objects.at(key).object;
  std::uint64_t round = 0;
  for (auto iteration : state) {
    object.labels.entries["round"] = std::to_string(++round % 10);
    benchmark::DoNotOptimize(deployment.builder.update(deployment.sources(), {{key}, {}, false}));
  }
}
BENCHMARK(change_one_object)
    ->ArgNames({"groups", "kind"})
    ->ArgsProduct({{3, 3300}, {2, 3, 4}})
    ->Unit(benchmark::kMicrosecond);

void session_token_round_trip(benchmark::State& state) {
  SessionToken token;
  for (std::int64_t group = 0; group < state.range(0); ++group) {
    token.observe(GroupName("records-" + std::to_string(group)), Position{3, 123456});
  }
  for (auto iteration : state) {
    Reason reason;
    benchmark::DoNotOptimize(decode_session_token(encode_session_token(token), reason));
  }
}
BENCHMARK(session_token_round_trip)->ArgName("groups")->Arg(1)->Arg(3);

}  // namespace
}  // namespace cairnhollow::declared::routing
