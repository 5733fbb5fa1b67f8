// What operators of a large fleet see: summaries with the exceptions, selections, limits that are said.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

#include "cli/fleet_summary.h"
#include "tests/cli/operator_fleet.h"

namespace cairnhollow::cli {

namespace {

constexpr int kProxies = 1500;
constexpr int kGroups = 3300;
constexpr int kZones = 19;

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::ptrdiff_t lines_of(const std::string& text) { return std::count(text.begin(), text.end(), '\n'); }

ZoneName zone_of(int number) { return ZoneName(fmt::format("zone-{}", number % kZones)); }

declared::control::GroupStatus make_group(int number) {
  declared::control::GroupStatus group;
  group.group = GroupName(fmt::format("group-{}", number));
  group.term = 3;
  group.supervisor = NodeName("control-1");
  group.primary = BackendName(fmt::format("group-{}-0", number));
  for (int place = 0; place < 3; ++place) {
    declared::control::GroupMemberStatus member;
    member.backend = BackendName(fmt::format("group-{}-{}", number, place));
    member.zone = zone_of(number + place);
    member.is_primary = place == 0;
    member.reachable = true;
    group.members.push_back(std::move(member));
  }
  return group;
}

declared::control::ProxyStatus make_proxy(int number) {
  declared::control::ProxyStatus proxy;
  proxy.proxy = NodeName(fmt::format("proxy-{}", number));
  proxy.zone = zone_of(number);
  proxy.control_node = NodeName("control-1");
  proxy.lease_left = std::chrono::seconds(1);
  return proxy;
}

}  // namespace

class LargeFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeFleetTest);
  CPPUNIT_TEST(status_is_a_summary_with_the_exceptions);
  CPPUNIT_TEST(exceptions_are_cut_and_the_rest_counted);
  CPPUNIT_TEST(all_prints_every_line);
  CPPUNIT_TEST(names_and_selectors_choose_part_of_the_status);
  CPPUNIT_TEST(what_needs_a_look);
  CPPUNIT_TEST(get_ends_after_its_limit_and_says_so);
  CPPUNIT_TEST(events_of_named_subjects_are_found_behind_many_others);
  CPPUNIT_TEST(events_left_out_are_counted);
  CPPUNIT_TEST(describe_group_shows_what_happened_to_it);
  CPPUNIT_TEST(drains_are_events_and_a_resend_is_none);
  CPPUNIT_TEST(large_drains_leave_room_for_other_events);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    fleet_ = std::make_unique<OperatorFleet>();
    auto& sources = fleet_->node(1).sources;
    for (int number = 0; number < kGroups; ++number) sources.groups.push_back(make_group(number));
    for (int number = 0; number < kProxies; ++number) sources.proxies.push_back(make_proxy(number));
  }
  void tearDown() override { fleet_.reset(); }

  void status_is_a_summary_with_the_exceptions() {
    auto& sources = fleet_->node(1).sources;
    sources.groups[7].primary = BackendName();
    sources.groups[8].members[1].reachable = false;
    sources.groups[8].members[1].last_problem =
        Reason{ReasonCode::kUnreachable, "probe", "group-8-1", "refused"};
    sources.proxies[5].lease_left = Duration::zero();
    const auto status = fleet_->run({"status"});
    CPPUNIT_ASSERT_MESSAGE(status.errors, status.code == ExitCode::kDone);
    for (const char* part : {"3300 groups, 2 need a look", "1500 proxies, 1 need a look", "group-7-1",
                             "group-8-1", "refused", "proxy-5 ", "lease lapsed", "zone-18", "--all"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(part) + " in\n" + status.output, contains(status.output, part));
    }
    CPPUNIT_ASSERT_MESSAGE(status.output, lines_of(status.output) < 60);
  }

  void exceptions_are_cut_and_the_rest_counted() {
    for (auto& group : fleet_->node(1).sources.groups) group.supervisor = NodeName();
    const auto status = fleet_->run({"status"});
    CPPUNIT_ASSERT(contains(status.output, "3300 groups, 3300 need a look"));
    CPPUNIT_ASSERT(contains(status.output, "and 3280 more"));
    CPPUNIT_ASSERT(lines_of(status.output) < 130);
  }

  void all_prints_every_line() {
    const auto status = fleet_->run({"status", "--all"});
    CPPUNIT_ASSERT_MESSAGE(status.errors, status.code == ExitCode::kDone);
    CPPUNIT_ASSERT(lines_of(status.output) > kGroups * 4 + kProxies);
    CPPUNIT_ASSERT(!contains(status.output, "need a look"));
    // A body of more than 16 MiB is refused by the HTTP client.
    const auto document = fleet_->run({"status", "-o", "json"});
    CPPUNIT_ASSERT(document.output.size() < std::size_t{8} * 1024 * 1024);
  }

  void names_and_selectors_choose_part_of_the_status() {
    const auto named = fleet_->run({"status", "group-12", "proxy-3"});
    CPPUNIT_ASSERT(contains(named.output, "group-12-2") && contains(named.output, "proxy-3 "));
    CPPUNIT_ASSERT(!contains(named.output, "group-13-0") && !contains(named.output, "proxy-30"));
    const auto of_member = fleet_->run({"status", "group-44-1"});
    CPPUNIT_ASSERT(contains(of_member.output, "primary group-44-0"));
    fleet_->run_with_manifest("apply", kTwoProxies);
    const auto selected = fleet_->run({"status", "-l", "tier=edge", "-o", "json"});
    CPPUNIT_ASSERT(contains(selected.output, R"("proxy":"proxy-8")"));
    CPPUNIT_ASSERT(!contains(selected.output, R"("proxy":"proxy-9")"));
    CPPUNIT_ASSERT(fleet_->run({"status", "-l", "tier=none"}).code == ExitCode::kRefused);
    const auto unknown = fleet_->run({"status", "group-9999"});
    CPPUNIT_ASSERT(unknown.code == ExitCode::kRefused);
    CPPUNIT_ASSERT(contains(unknown.errors, "no group, backend or proxy of these names is known now"));
  }

  void what_needs_a_look() {
    auto group = make_group(1);
    CPPUNIT_ASSERT(!needs_a_look(group));
    group.members[2].leaving = true;
    CPPUNIT_ASSERT(!needs_a_look(group));
    group.members[2].reachable = false;
    CPPUNIT_ASSERT(needs_a_look(group));
    auto proxy = make_proxy(1);
    CPPUNIT_ASSERT(!needs_a_look(proxy, 0) && needs_a_look(proxy, 1));
    proxy.draining = true;
    CPPUNIT_ASSERT(needs_a_look(proxy, 0));
  }

  void get_ends_after_its_limit_and_says_so() {
    std::string manifests;
    for (int number = 0; number < 250; ++number) manifests += backend_manifest(number, false);
    CPPUNIT_ASSERT(fleet_->run_with_manifest("apply", manifests).code == ExitCode::kDone);
    const auto cut = fleet_->run({"get", "backend"});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{201}, lines_of(cut.output));
    CPPUNIT_ASSERT_MESSAGE(cut.errors, contains(cut.errors, "200 of 250 objects are shown"));
    const auto all = fleet_->run({"get", "backend", "--all"});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{251}, lines_of(all.output));
    CPPUNIT_ASSERT_EQUAL(std::string(), all.errors);
    CPPUNIT_ASSERT(contains(fleet_->run({"get", "backend", "-o", "json"}).output, "backend-249"));
  }

  void events_of_named_subjects_are_found_behind_many_others() {
    record("failover_started", "group-3", 1);
    for (int number = 0; number < 1500; ++number) record("noise", "group-4", 2 + number);
    record("primary_promoted", "group-3", 5000);
    const auto events = fleet_->run({"events", "group-3"});
    CPPUNIT_ASSERT_MESSAGE(events.errors, events.code == ExitCode::kDone);
    CPPUNIT_ASSERT(contains(events.output, "failover_started") &&
                   contains(events.output, "primary_promoted"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{3}, lines_of(events.output));
  }

  void events_left_out_are_counted() {
    for (int number = 0; number < 30; ++number) record("noise", "group-4", number);
    const auto events = fleet_->run({"events", "--limit", "10", "group-4"});
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{11}, lines_of(events.output));
    CPPUNIT_ASSERT_MESSAGE(events.errors,
                           contains(events.errors, "20 earlier events are left out (--limit=10)"));
  }

  void describe_group_shows_what_happened_to_it() {
    fleet_->run_with_manifest("apply", R"(kind: DatabaseGroup
metadata: {name: group-3}
spec: {backendSelector: {matchLabels: {group: three}}}
)");
    record("primary_promoted", "group-3", 1);
    record("member_redirected", "group-3-2", 2);
    record("primary_promoted", "group-30", 3);
    const auto described = fleet_->run({"describe", "databasegroup", "group-3"});
    CPPUNIT_ASSERT_MESSAGE(described.errors, described.code == ExitCode::kDone);
    CPPUNIT_ASSERT(contains(described.output, "primary_promoted"));
    CPPUNIT_ASSERT(contains(described.output, "member_redirected"));
    CPPUNIT_ASSERT(!contains(described.output, "group-30"));
  }

  void drains_are_events_and_a_resend_is_none() {
    fleet_->run_with_manifest("apply", backend_manifest(1, false) + backend_manifest(2, false));
    auto& events = fleet_->node(1).sources.events;
    CPPUNIT_ASSERT(events.empty());
    const std::vector<std::string> words{"--change-id", "drain-1", "--at-revision", "1"};
    fleet_->run_with_manifest("apply", backend_manifest(2, true), words, "aroha");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("drain_started"), events[0].kind);
    CPPUNIT_ASSERT_EQUAL(std::string("backend-2"), events[0].subject);
    CPPUNIT_ASSERT_EQUAL(std::string("cause: operator; aroha takes new work away from it by revision 2"),
                         events[0].message);
    fleet_->run_with_manifest("apply", backend_manifest(2, true), words, "aroha");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
    fleet_->run({"drain", "backend", "backend-2", "--undo"});
    CPPUNIT_ASSERT_EQUAL(std::string("drain_ended"), events.back().kind);
  }

  void large_drains_leave_room_for_other_events() {
    std::string manifests;
    for (int number = 0; number < 60; ++number) manifests += backend_manifest(number, true);
    fleet_->run_with_manifest("apply", manifests);
    const auto& events = fleet_->node(1).sources.events;
    CPPUNIT_ASSERT_EQUAL(std::size_t{21}, events.size());
    CPPUNIT_ASSERT_MESSAGE(events.back().message,
                           contains(events.back().message, "39 more objects like it in this change"));
  }

 private:
  static constexpr const char* kTwoProxies = R"(kind: Proxy
metadata: {name: proxy-8, labels: {tier: edge}}
spec: {zone: zone-8, endpoint: "10.0.3.8:4000"}
---
kind: Proxy
metadata: {name: proxy-9, labels: {tier: core}}
spec: {zone: zone-9, endpoint: "10.0.3.9:4000"}
)";

  static std::string backend_manifest(int number, bool drain) {
    return fmt::format(
        "kind: Backend\nmetadata: {{name: backend-{}}}\nspec: {{zone: kelburn, endpoint: "
        "\"10.9.{}.{}:5000\", "
        "drain: {}}}\n---\n",
        number, number / 200, number % 200 + 1, drain);
  }

  void record(const std::string& kind, const std::string& subject, std::int64_t time) {
    declared::control::FleetEvent event;
    event.kind = kind;
    event.subject = subject;
    event.wall_clock_microseconds = time;
    fleet_->node(1).sources.record(std::move(event));
  }

  std::unique_ptr<OperatorFleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeFleetTest);

}  // namespace cairnhollow::cli
