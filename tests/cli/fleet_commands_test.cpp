// Commands that look at the fleet or act on it: status, events, wait, members, switchover, explain.
#include <cppunit/extensions/HelperMacros.h>

#include "tests/cli/operator_fleet.h"

namespace cairnhollow::cli {

namespace {

const char* const kProxy = R"(kind: Proxy
metadata: {name: proxy-1, labels: {zone: kelburn}}
spec: {zone: kelburn, endpoint: "10.0.3.1:4000"}
)";

const char* const kGroups = R"(kind: DatabaseGroup
metadata: {name: orders, labels: {service: shop}}
spec: {backendSelector: {matchLabels: {group: orders}}, hashSlots: {first: 0, last: 9}}
---
kind: DatabaseGroup
metadata: {name: stock, labels: {service: shop}}
spec: {backendSelector: {matchLabels: {group: stock}}, hashSlots: {first: 10, last: 19}}
)";

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

declared::control::ProxyStatus proxy_status(const std::string& name, const std::string& follows,
                                            std::uint64_t revision) {
  declared::control::ProxyStatus status;
  status.proxy = NodeName(name);
  status.zone = ZoneName("kelburn");
  status.control_node = NodeName(follows);
  status.revision = revision;
  status.lease_left = std::chrono::seconds(1);
  return status;
}

/// A proxy of which only /v1/explain is there.
class ExplainingProxy : public runtime::Role, public runtime::HttpHandler {
 public:
  explicit ExplainingProxy(runtime::Runtime& runtime) : runtime_(runtime) {}
  Awaitable<bool> start(Reason& reason) override {
    server_ = runtime_.http().serve(OperatorFleet::proxy_endpoint(1), *this, reason);
    co_return server_ != nullptr;
  }
  Awaitable<void> drain() override { co_return; }
  Awaitable<runtime::HttpResponse> handle(runtime::HttpRequest request, runtime::HttpConnectionId) override {
    targets.push_back(request.target);
    runtime::HttpResponse response;
    response.body = R"({"group": "orders", "route": "all", "term": 4,
      "forwarded_to": {"proxy": "proxy-2", "endpoint": "10.0.3.2:4000", "detail": "it serves the group"},
      "hold_ms": 40, "primary_read": "too_old", "candidates": [{"backend": "orders-a", "endpoint": "10.0.2.1:5000", "is_primary": true}],
      "passed_over": [{"backend": "orders-b", "code": "too_stale", "step": "choose", "detail": "2 behind"}]})";
    co_return response;
  }

  std::vector<std::string> targets;

 private:
  runtime::Runtime& runtime_;
  std::unique_ptr<runtime::HttpServer> server_;
};

}  // namespace

class FleetCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetCommandsTest);
  CPPUNIT_TEST(status_puts_all_nodes_together);
  CPPUNIT_TEST(status_and_events_ask_relays_as_well);
  CPPUNIT_TEST(status_names_a_node_that_is_silent);
  CPPUNIT_TEST(status_in_json_is_one_document);
  CPPUNIT_TEST(what_a_node_answered_is_told_rather_than_a_dead_one);
  CPPUNIT_TEST(events_of_all_nodes_by_time);
  CPPUNIT_TEST(wait_returns_once_leases_vouch_for_the_revision);
  CPPUNIT_TEST(wait_names_who_is_behind_and_gives_up);
  CPPUNIT_TEST(members_are_listed_added_replaced_removed);
  CPPUNIT_TEST(switchover_of_selected_groups);
  CPPUNIT_TEST(explain_asks_a_selected_proxy);
  CPPUNIT_TEST(describe_shows_what_is_known_now);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { fleet_ = std::make_unique<OperatorFleet>(); }
  void tearDown() override { fleet_.reset(); }

  void status_puts_all_nodes_together() {
    fleet_->node(1).sources.proxies = {proxy_status("proxy-1", "control-1", 4)};
    fleet_->node(3).sources.proxies = {proxy_status("proxy-2", "control-3", 4)};
    declared::control::GroupStatus known;
    known.group = GroupName("orders");
    known.term = 4;
    fleet_->node(1).sources.groups = {known};
    known.supervisor = NodeName("control-3");
    known.primary = BackendName("orders-a");
    declared::control::GroupMemberStatus member;
    member.backend = BackendName("orders-a");
    member.is_primary = true;
    member.reachable = true;
    member.applied = Position{4, 17};
    known.members = {member};
    fleet_->node(3).sources.groups = {known};
    const auto status = fleet_->run({"status"});
    CPPUNIT_ASSERT_MESSAGE(status.errors, status.code == ExitCode::kDone);
    for (const char* part : {"leader control-1", "voter, leader", "proxy-1", "proxy-2", "primary orders-a",
                             "probed by control-3", "4/17", "disk-2"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(part) + " in\n" + status.output, contains(status.output, part));
    }
  }

  void status_and_events_ask_relays_as_well() {
    // The second node is none of the members that the first names: what a relay is to a voter.
    std::erase_if(fleet_->node(1).consensus.members,
                  [](const auto& member) { return member.node.value == "control-2"; });
    fleet_->node(2).sources.proxies = {proxy_status("proxy-7", "control-2", 4)};
    declared::control::FleetEvent event;
    event.kind = "primary_promoted";
    fleet_->node(2).sources.record(event);
    const auto status = fleet_->run({"status", "-s", "10.0.0.1:80"});
    CPPUNIT_ASSERT_MESSAGE(status.output, contains(status.output, "RELAY-OR-STANDBY"));
    CPPUNIT_ASSERT_MESSAGE(status.output, contains(status.output, "proxy-7"));
    CPPUNIT_ASSERT(contains(fleet_->run({"events", "-s", "10.0.0.1:80"}).output, "primary_promoted"));
    // Asked first, it knows no members; the voters that it names do.
    fleet_->node(2).consensus.members.clear();
    const auto by_relay = fleet_->run({"status", "-s", "10.0.0.2:80"});
    CPPUNIT_ASSERT_MESSAGE(by_relay.output, contains(by_relay.output, "leader control-1"));
    CPPUNIT_ASSERT_MESSAGE(by_relay.output, contains(by_relay.output, "disk-3"));
  }

  void status_names_a_node_that_is_silent() {
    fleet_->world.vanish("control-3");
    const auto status = fleet_->run({"status"});
    CPPUNIT_ASSERT(status.code == ExitCode::kDone);
    CPPUNIT_ASSERT_MESSAGE(status.errors,
                           contains(status.errors, "no answer from the control node at 10.0.0.3:80"));
  }

  void status_in_json_is_one_document() {
    const auto status = fleet_->run({"status", "-o", "json"});
    CPPUNIT_ASSERT(contains(status.output, R"("answeredBy":"control-1")"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, static_cast<std::size_t>(
                                             std::count(status.output.begin(), status.output.end(), '\n')));
  }

  void what_a_node_answered_is_told_rather_than_a_dead_one() {
    fleet_->log.leader = NodeName("control-9");
    fleet_->world.vanish("control-3");
    const auto applied = fleet_->run_with_manifest("apply", kProxy, {"--timeout", "20s"});
    CPPUNIT_ASSERT(applied.code == ExitCode::kUnavailable);
    CPPUNIT_ASSERT_MESSAGE(applied.errors, contains(applied.errors, "another node leads"));
  }

  void events_of_all_nodes_by_time() {
    const auto record = [&](int node, const std::string& kind, std::int64_t time) {
      declared::control::FleetEvent event;
      event.kind = kind;
      event.wall_clock_microseconds = time;
      fleet_->node(node).sources.record(event);
    };
    record(1, "second", 2'000'000);
    record(2, "first", 1'000'000);
    record(2, "third", 3'000'000);
    const auto events = fleet_->run({"events"});
    CPPUNIT_ASSERT_MESSAGE(events.errors, events.code == ExitCode::kDone);
    const auto first = events.output.find("first");
    const auto second = events.output.find("second");
    const auto third = events.output.find("third");
    CPPUNIT_ASSERT(first < second && second < third && third != std::string::npos);
    CPPUNIT_ASSERT(contains(events.output, "1970-01-01T00:00:02.000Z"));
    const auto later = fleet_->run({"events", "--since", "1"});
    CPPUNIT_ASSERT(!contains(later.output, "first") && contains(later.output, "third"));
  }

  void wait_returns_once_leases_vouch_for_the_revision() {
    // The other nodes tell nothing of the new revision: the lease alone decides.
    const TimePoint begun = fleet_->world.now();
    const auto applied = fleet_->run_with_manifest("apply", kProxy, {"--wait"});
    CPPUNIT_ASSERT_MESSAGE(applied.errors, applied.code == ExitCode::kDone);
    CPPUNIT_ASSERT(contains(applied.output, "revision 1 is in force on every proxy that may serve"));
    CPPUNIT_ASSERT(contains(applied.errors, "followers of control-2 (has 0)"));
    CPPUNIT_ASSERT(fleet_->world.now() - begun >= fleet_->node(1).sources.lease);
    CPPUNIT_ASSERT(fleet_->world.now() - begun < fleet_->node(1).sources.lease * 2);
  }

  void wait_names_who_is_behind_and_gives_up() {
    for (int number = 1; number <= 3; ++number) {
      fleet_->node(number).sources.lease = std::chrono::hours(1);
      fleet_->node(number).sources.proxies = {proxy_status("proxy-9", "control-1", 0)};
      for (auto& peer : fleet_->node(number).sources.peers) peer.revision = 1;
    }
    const auto applied = fleet_->run_with_manifest("apply", kProxy, {"--wait", "--timeout", "2s"});
    CPPUNIT_ASSERT(applied.code == ExitCode::kNotInForce);
    CPPUNIT_ASSERT(contains(applied.output, "Proxy/proxy-1 created"));
    CPPUNIT_ASSERT_MESSAGE(applied.errors, contains(applied.errors, "behind: proxy-9 (has 0)"));
    for (int number = 1; number <= 3; ++number) fleet_->node(number).sources.proxies.clear();
    CPPUNIT_ASSERT(fleet_->run({"wait", "1"}).code == ExitCode::kDone);
    CPPUNIT_ASSERT(fleet_->run({"wait", "2", "--timeout", "1s"}).code == ExitCode::kNotInForce);
  }

  void members_are_listed_added_replaced_removed() {
    CPPUNIT_ASSERT(contains(fleet_->run({"member", "list"}).output, "control-2"));
    const auto added =
        fleet_->run({"member", "add", "control-4", "--endpoint", "10.0.0.4:90", "--zone", "petone"});
    CPPUNIT_ASSERT_MESSAGE(added.errors, added.code == ExitCode::kDone);
    const auto& member = fleet_->node(1).consensus.members.back();
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.4:90"), member.endpoint.to_string());
    CPPUNIT_ASSERT_EQUAL(std::string("member_added"), fleet_->node(1).sources.events.back().kind);
    const auto replaced = fleet_->run(
        {"member", "replace", "control-4", "control-5", "--endpoint", "10.0.0.5:90", "--zone", "petone"});
    CPPUNIT_ASSERT_MESSAGE(replaced.errors, replaced.code == ExitCode::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("control-5"), fleet_->node(1).consensus.members.back().node.value);
    const auto removed = fleet_->run({"member", "remove", "control-5"});
    CPPUNIT_ASSERT(removed.code == ExitCode::kDone);
    const auto missing = fleet_->run({"member", "remove", "control-9"});
    CPPUNIT_ASSERT(missing.code == ExitCode::kRefused);
    CPPUNIT_ASSERT(contains(missing.errors, "no such member"));
  }

  void switchover_of_selected_groups() {
    fleet_->run_with_manifest("apply", kGroups);
    const auto done = fleet_->run({"switchover", "-l", "service=shop", "--to", "zone=petone"});
    CPPUNIT_ASSERT_MESSAGE(done.errors, done.code == ExitCode::kDone);
    CPPUNIT_ASSERT_EQUAL(
        std::string("orders: orders-b is primary in term 8\nstock: orders-b is primary in term 8\n"),
        done.output);
    const auto& requests = fleet_->node(1).sources.switchovers;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
    CPPUNIT_ASSERT(requests[0].target.match_labels.find("zone") == "petone");
  }

  void explain_asks_a_selected_proxy() {
    fleet_->run_with_manifest("apply", kProxy);
    simulation::ProcessSettings settings;
    settings.name = "proxy-1";
    settings.address = OperatorFleet::proxy_endpoint(1).address;
    settings.zone = ZoneName("kelburn");
    fleet_->world.start(settings,
                        [](runtime::Runtime& runtime) { return std::make_unique<ExplainingProxy>(runtime); });
    fleet_->world.run_for(std::chrono::milliseconds(10));
    const auto explained =
        fleet_->run({"explain", "orders", "key&1", "--write", "--label", "app=till", "-l", "zone=kelburn"});
    CPPUNIT_ASSERT_MESSAGE(explained.errors, explained.code == ExitCode::kDone);
    for (const char* part : {"group orders, route all, term 4", "1 (primary)", "too_stale: 2 behind",
                             "goes one hop to proxy proxy-2 at 10.0.3.2:4000: it serves the group",
                             "held for at most 40 ms", "the primary serves the read, because: too_old"}) {
      CPPUNIT_ASSERT_MESSAGE(explained.output, contains(explained.output, part));
    }
    const auto& proxy = dynamic_cast<ExplainingProxy&>(fleet_->world.role("proxy-1"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("/v1/explain?database=orders&partition_key=key%261&kind=write&label.app=till"),
        proxy.targets.at(0));
    fleet_->run({"explain", "--request-id", "till-7/12", "--proxy", "10.0.3.1:4000"});
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/explain?session=till-7&number=12"), proxy.targets.at(1));
    CPPUNIT_ASSERT(fleet_->run({"explain", "orders", "k", "-l", "zone=nowhere"}).code == ExitCode::kRefused);
  }

  void describe_shows_what_is_known_now() {
    fleet_->run_with_manifest("apply", kProxy);
    CPPUNIT_ASSERT(
        contains(fleet_->run({"describe", "proxy", "proxy-1"}).output, "nothing is known of it now"));
    fleet_->node(2).sources.proxies = {proxy_status("proxy-1", "control-2", 1)};
    const auto described = fleet_->run({"describe", "proxy", "proxy-1"});
    CPPUNIT_ASSERT(contains(described.output, "kind: Proxy"));
    CPPUNIT_ASSERT(contains(described.output, "control-2"));
    CPPUNIT_ASSERT(contains(described.output, "serving"));
  }

 private:
  std::unique_ptr<OperatorFleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetCommandsTest);

}  // namespace cairnhollow::cli
