// Verifies the effect of each command and the deltas sent to followers.
#include "registered/registry/state_machine.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::registered::registry {

namespace {

RouteRule route(const std::string& name, const std::string& group = "records") {
  RouteRule rule;
  rule.name = RouteName("r-" + name);
  rule.database = DatabaseName(name);
  rule.group = GroupName(group);
  rule.timeout_ms = 800;
  return rule;
}

ConfigurationDocument document(std::uint64_t version, std::vector<RouteRule> routes) {
  ConfigurationDocument whole;
  whole.version = version;
  whole.text = "text of " + std::to_string(version);
  whole.routes = std::move(routes);
  whole.groups = {GroupRule{GroupName("records"), 30, 1}};
  return whole;
}

BackendEntry backend(const std::string& name, std::uint16_t port, std::uint64_t sequence) {
  BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = GroupName("records");
  entry.endpoint = {"10.0.0.9", port};
  entry.sequence = sequence;
  return entry;
}

}  // namespace

class FleetStateMachineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStateMachineTest);
  CPPUNIT_TEST(the_highest_version_holds);
  CPPUNIT_TEST(late_registrations_are_old);
  CPPUNIT_TEST(turning_cold_or_warm_is_news);
  CPPUNIT_TEST(proxies_count_together_for_tenants_and_cold_backends);
  CPPUNIT_TEST(an_address_belongs_to_who_registered_last);
  CPPUNIT_TEST(a_deregistered_backend_stays_away);
  CPPUNIT_TEST(a_group_opens_and_closes_by_epoch);
  CPPUNIT_TEST(an_opening_for_a_former_close_has_no_effect);
  CPPUNIT_TEST(a_replaced_proxy_may_have_acknowledged_unknown_commits);
  CPPUNIT_TEST(a_follower_is_told_what_it_lacks);
  CPPUNIT_TEST(a_snapshot_restores_everything);
  CPPUNIT_TEST(a_batch_is_one_change);
  CPPUNIT_TEST(members_follow_every_way_a_backend_comes_and_goes);
  CPPUNIT_TEST(the_later_incarnation_holds_in_whichever_order_both_arrive);
  CPPUNIT_TEST(a_removal_ends_one_incarnation);
  CPPUNIT_TEST(what_tells_no_start_displaces_nothing_that_does);
  CPPUNIT_TEST(an_address_belongs_to_who_started_there_last);
  CPPUNIT_TEST(ended_incarnations_are_forgotten_with_their_names);
  CPPUNIT_TEST(the_last_order_for_a_zone_holds);
  CPPUNIT_TEST(evacuations_reach_followers_and_survive_a_snapshot);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    machine_ = std::make_unique<FleetStateMachine>(world_->start_bare({"node", "10.0.0.1", ZoneName("a")}));
  }
  void tearDown() override {
    machine_.reset();
    world_.reset();
  }

  void the_highest_version_holds() {
    apply(ReplaceDocument{document(5, {route("decks")})});
    const std::uint64_t revision = machine_->revision();
    apply(ReplaceDocument{document(4, {route("other")})});
    apply(ReplaceDocument{document(5, {route("other")})});
    CPPUNIT_ASSERT_EQUAL(revision, machine_->revision());
    CPPUNIT_ASSERT_EQUAL(std::string("text of 5"), machine_->document_text());
    apply(ReplaceDocument{document(9, {route("other")})});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, machine_->document_version());
  }

  void the_last_order_for_a_zone_holds() {
    const ZoneName erie("erie");
    apply(BeginEvacuation{erie});
    CPPUNIT_ASSERT(machine_->is_evacuated(erie));
    CPPUNIT_ASSERT(!machine_->is_evacuated(ZoneName("huron")));
    const std::uint64_t begun = machine_->revision();
    apply(BeginEvacuation{erie});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a repeated begin has no effect", begun, machine_->revision());
    apply(EndEvacuation{erie});
    CPPUNIT_ASSERT(!machine_->is_evacuated(erie));
    CPPUNIT_ASSERT_MESSAGE("the zone remains known", machine_->was_evacuated(erie));
    apply(EndEvacuation{erie});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("a repeated end has no effect", begun + 1, machine_->revision());
    apply(BeginEvacuation{erie});
    CPPUNIT_ASSERT(machine_->is_evacuated(erie));
  }

  void evacuations_reach_followers_and_survive_a_snapshot() {
    apply(BeginEvacuation{ZoneName("erie")});
    const std::uint64_t before = machine_->revision();
    apply(EndEvacuation{ZoneName("erie")});
    apply(BeginEvacuation{ZoneName("huron")});
    Reason reason;
    CPPUNIT_ASSERT(machine_->restore_snapshot(machine_->take_snapshot(), reason));
    const FleetDelta delta = machine_->delta_since(before);
    CPPUNIT_ASSERT(delta.evacuations == std::vector<Evacuation>{{ZoneName("huron")}});
    CPPUNIT_ASSERT(delta.ended_evacuations == std::vector<ZoneName>{ZoneName("erie")});
    const FleetDelta whole = machine_->delta_since(0);
    CPPUNIT_ASSERT(whole.is_whole && whole.evacuations == delta.evacuations);
    const auto sent = wire::decode<FleetDelta>(wire::encode_from(whole, wire::kWrittenFormat), reason);
    CPPUNIT_ASSERT_MESSAGE("round trip through the wire format",
                           sent && sent->evacuations == delta.evacuations);
  }

  void turning_cold_or_warm_is_news() {
    BackendEntry entry = backend("b1", 1, 1);
    entry.cold_ms = 5000;
    apply(RegisterBackend{entry});
    const std::uint64_t before = machine_->revision();
    entry.sequence = 2;
    entry.cold_ms = 4600;
    apply(RegisterBackend{entry});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the remaining cold time is not a change", before, machine_->revision());
    entry.sequence = 3;
    entry.cold_ms = 0;
    apply(RegisterBackend{entry});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, machine_->find_backend(entry.name)->cold_ms);
    BackendEntry late = entry;
    late.sequence = 2;
    late.cold_ms = 4600;
    apply(RegisterBackend{late});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, machine_->find_backend(entry.name)->cold_ms);
    entry.sequence = 9;
    entry.cold_ms = 3000;
    apply(RegisterBackend{entry});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("cold again without a restart", std::uint64_t{3000},
                                 machine_->find_backend(entry.name)->cold_ms);
  }

  void proxies_count_together_for_tenants_and_cold_backends() {
    ConfigurationDocument sent = document(1, {route("decks")});
    apply(ReplaceDocument{sent});
    CPPUNIT_ASSERT(!machine_->has_shared_limits());
    sent.version = 2;
    sent.groups[0].cold_rate_per_s = 4;
    apply(ReplaceDocument{sent});
    CPPUNIT_ASSERT(machine_->has_shared_limits());
    Reason reason;
    const std::string snapshot = machine_->take_snapshot();
    sent.version = 3;
    sent.groups[0].cold_rate_per_s = 0;
    apply(ReplaceDocument{sent});
    CPPUNIT_ASSERT(!machine_->has_shared_limits());
    CPPUNIT_ASSERT(machine_->restore_snapshot(snapshot, reason));
    CPPUNIT_ASSERT(machine_->has_shared_limits());
    sent.version = 4;
    sent.requires_keys = true;
    apply(ReplaceDocument{sent});
    CPPUNIT_ASSERT(machine_->has_shared_limits());
  }

  void a_batch_is_one_change() {
    apply(RegisterBackend{backend("b0", 9, 1)});
    const std::uint64_t before = machine_->revision();
    CommandBatch batch;
    batch.commands = {RegisterBackend{backend("b1", 1, 5)}, RegisterBackend{backend("b1", 1, 4)},
                      RegisterBackend{backend("b2", 2, 1)}, DeregisterBackend{BackendName("b0")}};
    apply(batch);
    CPPUNIT_ASSERT_EQUAL(before + 1, machine_->revision());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, machine_->find_backend(BackendName("b1"))->sequence);
    CPPUNIT_ASSERT(machine_->find_backend(BackendName("b2")) != nullptr);
    CPPUNIT_ASSERT(machine_->is_deregistered(BackendName("b0")));
    const FleetDelta delta = machine_->delta_since(before);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, delta.backends.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.removed_backends.size());
    apply(batch);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no change", before + 1, machine_->revision());
  }

  void members_follow_every_way_a_backend_comes_and_goes() {
    const GroupName records("records");
    apply(RegisterBackend{backend("b1", 1, 1)});
    apply(RegisterBackend{backend("b2", 2, 1)});
    apply(RegisterBackend{backend("b3", 2, 1)});
    BackendEntry moved = backend("b1", 4, 2);
    apply(RegisterBackend{moved});
    apply(RegisterBackend{backend("b4", 1, 1)});
    const std::set<BackendName> expected{BackendName("b1"), BackendName("b3"), BackendName("b4")};
    CPPUNIT_ASSERT_MESSAGE("a moved backend releases its address", machine_->members_of(records) == expected);
    moved.group = GroupName("other");
    moved.sequence = 3;
    apply(RegisterBackend{moved});
    apply(DeregisterBackend{BackendName("b4")});
    Reason reason;
    CPPUNIT_ASSERT(machine_->restore_snapshot(machine_->take_snapshot(), reason));
    CPPUNIT_ASSERT(machine_->members_of(records) == std::set<BackendName>{BackendName("b3")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, machine_->backends_of(GroupName("other")).size());
    CPPUNIT_ASSERT(machine_->members_of(GroupName("nobody")).empty());
  }

  void late_registrations_are_old() {
    BackendEntry leaving = backend("b1", 1, 5);
    leaving.leaving = true;
    apply(RegisterBackend{leaving});
    apply(RegisterBackend{backend("b1", 1, 4)});
    CPPUNIT_ASSERT(machine_->find_backend(BackendName("b1"))->leaving);
    const std::uint64_t revision = machine_->revision();
    leaving.sequence = 6;
    apply(RegisterBackend{leaving});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no change", revision, machine_->revision());
  }

  void an_address_belongs_to_who_registered_last() {
    apply(RegisterBackend{backend("b1", 1, 5)});
    apply(RegisterBackend{backend("b2", 1, 1)});
    CPPUNIT_ASSERT(machine_->find_backend(BackendName("b1")) == nullptr);
    CPPUNIT_ASSERT(machine_->find_backend(BackendName("b2")) != nullptr);
  }

  void a_deregistered_backend_stays_away() {
    apply(RegisterBackend{backend("b1", 1, 5)});
    apply(DeregisterBackend{BackendName("b1")});
    apply(RegisterBackend{backend("b1", 1, 6)});
    CPPUNIT_ASSERT(machine_->find_backend(BackendName("b1")) == nullptr);
    CPPUNIT_ASSERT(machine_->is_deregistered(BackendName("b1")));
  }

  void the_later_incarnation_holds_in_whichever_order_both_arrive() {
    const BackendName b1("b1");
    apply(RegisterBackend{incarnation("b1", 1, 70, 1000)});
    const std::uint64_t revision = machine_->revision();
    apply(RegisterBackend{incarnation("b1", 1, 1, 2000)});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("its sequence starts anew", std::uint64_t{2000}, born(b1));
    CPPUNIT_ASSERT_MESSAGE("followers receive the change", machine_->backend_revision(b1) > revision);
    BackendEntry late = incarnation("b1", 1, 99, 1000);
    late.leaving = true;
    apply(RegisterBackend{late});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, born(b1));
    CPPUNIT_ASSERT(!machine_->find_backend(b1)->leaving);
    const std::set<BackendIncarnation> expected{{b1, 2000}};
    CPPUNIT_ASSERT(machine_->incarnations_of(GroupName("records")) == expected);
    late = incarnation("b1", 1, 2, 2000);
    late.leaving = true;
    apply(RegisterBackend{late});
    CPPUNIT_ASSERT_MESSAGE("the sequence decides within one incarnation",
                           machine_->find_backend(b1)->leaving);
  }

  void a_removal_ends_one_incarnation() {
    const BackendName b1("b1");
    apply(RegisterBackend{incarnation("b1", 1, 5, 2000)});
    apply(DeregisterBackend{b1, 1000});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the command referred to an earlier incarnation", std::uint64_t{2000},
                                 born(b1));
    apply(DeregisterBackend{b1});
    CPPUNIT_ASSERT(machine_->is_deregistered(b1, 2000));
    CPPUNIT_ASSERT(!machine_->is_deregistered(b1, 2001));
    for (const std::uint64_t over : {std::uint64_t{0}, std::uint64_t{1000}, std::uint64_t{2000}}) {
      apply(RegisterBackend{incarnation("b1", 1, 9, over)});
      CPPUNIT_ASSERT_MESSAGE(std::to_string(over), machine_->find_backend(b1) == nullptr);
    }
    FleetStateMachine other(world_->runtime("node"));
    Reason reason;
    CPPUNIT_ASSERT(other.restore_snapshot(machine_->take_snapshot(), reason));
    CPPUNIT_ASSERT_MESSAGE("restored from the snapshot", other.is_deregistered(b1, 2000));
    apply(RegisterBackend{incarnation("b1", 1, 1, 3000)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, born(b1));
    CPPUNIT_ASSERT(!machine_->is_deregistered(b1, 3000));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("superseded by the registered entry", std::uint64_t{0},
                                 machine_->ended_birth(b1));
  }

  void what_tells_no_start_displaces_nothing_that_does() {
    const BackendName b1("b1");
    apply(RegisterBackend{incarnation("b1", 1, 5, 0)});
    apply(RegisterBackend{incarnation("b1", 1, 2, 1000)});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("it now reports its start time", std::uint64_t{1000}, born(b1));
    BackendEntry untold = incarnation("b1", 1, 9, 0);
    untold.leaving = true;
    apply(RegisterBackend{untold});
    CPPUNIT_ASSERT(!machine_->find_backend(b1)->leaving);
    apply(RegisterBackend{incarnation("b2", 1, 1, 0)});
    CPPUNIT_ASSERT_MESSAGE("does not take over the address either",
                           machine_->find_backend(BackendName("b2")) == nullptr);
  }

  void an_address_belongs_to_who_started_there_last() {
    apply(RegisterBackend{incarnation("b1", 1, 1, 2000)});
    apply(RegisterBackend{incarnation("former", 1, 50, 1000)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, born(BackendName("b1")));
    CPPUNIT_ASSERT(machine_->find_backend(BackendName("former")) == nullptr);
    apply(RegisterBackend{incarnation("next", 1, 1, 3000)});
    CPPUNIT_ASSERT(machine_->find_backend(BackendName("b1")) == nullptr);
    CPPUNIT_ASSERT_MESSAGE("displaced permanently", machine_->is_deregistered(BackendName("b1"), 2000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, born(BackendName("next")));
  }

  void ended_incarnations_are_forgotten_with_their_names() {
    constexpr std::uint64_t kMany = 4098;
    for (std::uint64_t number = 1; number <= kMany; ++number) {
      const std::string name = "b" + std::to_string(number);
      apply(RegisterBackend{incarnation(name, 1, 1, number)});
      apply(DeregisterBackend{BackendName(name)});
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, machine_->ended_birth(BackendName("b1")));
    CPPUNIT_ASSERT_EQUAL(kMany, machine_->ended_birth(BackendName("b" + std::to_string(kMany))));
  }

  void a_group_opens_and_closes_by_epoch() {
    const GroupName group("records");
    apply(OpenGroup{group, 0, 3, BackendName("b1")});
    CPPUNIT_ASSERT(machine_->find_term(group)->open);
    apply(OpenGroup{group, 1, 4, BackendName("b2")});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("already open", std::uint64_t{3}, machine_->find_term(group)->term);
    apply(CloseGroup{group, 7});
    CPPUNIT_ASSERT_MESSAGE("another epoch", machine_->find_term(group)->open);
    apply(CloseGroup{group, 1});
    CPPUNIT_ASSERT(!machine_->find_term(group)->open);
    apply(OpenGroup{group, 2, 2, BackendName("b2")});
    CPPUNIT_ASSERT_MESSAGE("an older term", !machine_->find_term(group)->open);
    apply(OpenGroup{group, 2, 4, BackendName("b2")});
    CPPUNIT_ASSERT_EQUAL(std::string("b2"), machine_->find_term(group)->primary.value);
  }

  void an_opening_for_a_former_close_has_no_effect() {
    const GroupName group("records");
    apply(OpenGroup{group, 0, 3, BackendName("b1")});
    apply(CloseGroup{group, 1});
    apply(OpenGroup{group, 2, 3, BackendName("b1")});
    apply(CloseGroup{group, 3});
    apply(OpenGroup{group, 2, 4, BackendName("b2")});
    CPPUNIT_ASSERT(!machine_->find_term(group)->open);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, machine_->find_term(group)->epoch);
  }

  void a_replaced_proxy_may_have_acknowledged_unknown_commits() {
    apply(AdmitProxy{{NodeName("p1"), 1, ZoneName("a"), {}, false}});
    apply(OpenGroup{GroupName("records"), 0, 1, BackendName("b1")});
    CPPUNIT_ASSERT(machine_->knows_all_acknowledgers(*machine_->find_term(GroupName("records"))));
    apply(AdmitProxy{{NodeName("p1"), 2, ZoneName("a"), {}, false}});
    CPPUNIT_ASSERT(!machine_->knows_all_acknowledgers(*machine_->find_term(GroupName("records"))));
  }

  void a_follower_is_told_what_it_lacks() {
    apply(ReplaceDocument{document(1, {route("decks"), route("answers")})});
    apply(RegisterBackend{backend("b1", 1, 1)});
    const FleetDelta whole = machine_->delta_since(0);
    CPPUNIT_ASSERT(whole.is_whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, whole.routes.size());
    apply(ReplaceDocument{document(2, {route("decks"), route("new")})});
    const FleetDelta delta = machine_->delta_since(whole.revision);
    CPPUNIT_ASSERT(!delta.is_whole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.routes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("new"), delta.routes[0].database.value);
    CPPUNIT_ASSERT_EQUAL(std::string("r-answers"), delta.removed_routes.at(0).value);
    CPPUNIT_ASSERT(delta.backends.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, delta.document_version);
  }

  void a_snapshot_restores_everything() {
    apply(ReplaceDocument{document(3, {route("decks")})});
    apply(RegisterBackend{backend("b1", 1, 1)});
    apply(OpenGroup{GroupName("records"), 0, 3, BackendName("b1")});
    apply(AdmitProxy{{NodeName("p1"), 1, ZoneName("a"), {}, false}});
    apply(DeregisterBackend{BackendName("b1")});
    const std::string snapshot = machine_->take_snapshot();
    FleetStateMachine other(world_->runtime("node"));
    Reason reason;
    CPPUNIT_ASSERT(other.restore_snapshot(snapshot, reason));
    CPPUNIT_ASSERT_EQUAL(snapshot, other.take_snapshot());
    CPPUNIT_ASSERT(other.is_deregistered(BackendName("b1")));
    CPPUNIT_ASSERT(!other.restore_snapshot(snapshot.substr(1), reason));
  }

 private:
  static BackendEntry incarnation(const std::string& name, std::uint16_t port, std::uint64_t sequence,
                                  std::uint64_t born_ms) {
    BackendEntry entry = backend(name, port, sequence);
    entry.born_ms = born_ms;
    return entry;
  }
  std::uint64_t born(const BackendName& name) {
    const BackendEntry* held = machine_->find_backend(name);
    CPPUNIT_ASSERT_MESSAGE(name.value + " is not registered", held != nullptr);
    return held->born_ms;
  }

  void apply(Command command) {
    LoggedCommand logged{std::move(command)};
    machine_->apply(++index_, wire::encode_from(logged, wire::kWrittenFormat));
  }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<FleetStateMachine> machine_;
  std::uint64_t index_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStateMachineTest);

}  // namespace cairnhollow::registered::registry
