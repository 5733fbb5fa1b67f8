// Tests backend selection: the candidates, their order, and the reason why each other backend is skipped.
#include "declared/routing/choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "declared/routing/route_table.h"

namespace cairnhollow::declared::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr Position kSeen{1, 100};

class ChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChoiceTest);
  CPPUNIT_TEST(test_write_goes_to_the_primary_only);
  CPPUNIT_TEST(test_transaction_goes_to_the_primary_only);
  CPPUNIT_TEST(test_read_without_token_goes_to_the_primary);
  CPPUNIT_TEST(test_read_prefers_own_zone_then_other_zones_then_the_primary);
  CPPUNIT_TEST(test_read_prefers_the_less_loaded_replica);
  CPPUNIT_TEST(test_keys_spread_over_equal_replicas);
  CPPUNIT_TEST(test_replica_without_the_position_is_skipped);
  CPPUNIT_TEST(test_replica_expected_to_catch_up_ranks_after_current_ones);
  CPPUNIT_TEST(test_read_is_held_for_the_replica_expected_to_catch_up_first);
  CPPUNIT_TEST(test_read_is_not_held_beyond_its_limits);
  CPPUNIT_TEST(test_held_read_is_sent_when_its_hold_ends);
  CPPUNIT_TEST(test_replica_exceeding_the_routes_staleness_is_skipped);
  CPPUNIT_TEST(test_replica_of_unknown_age_is_skipped);
  CPPUNIT_TEST(test_leaving_backends_are_skipped);
  CPPUNIT_TEST(test_failed_replica_is_skipped_until_it_answers_a_probe);
  CPPUNIT_TEST(test_replica_not_selected_by_the_route_is_skipped);
  CPPUNIT_TEST(test_route_without_replica_reads_uses_the_primary);
  CPPUNIT_TEST(test_reports_why_a_read_uses_the_primary);
  CPPUNIT_TEST(test_group_without_primary_refuses_writes);
  CPPUNIT_TEST(test_statement_without_route_is_refused);
  CPPUNIT_TEST(test_slot_without_group_is_refused);
  CPPUNIT_TEST(test_route_of_highest_precedence_wins);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    routes_.clear();
    estimates_ = BackendEstimates{};
    settings_ = ChoiceSettings{ZoneName("zone-0"), milliseconds(20)};
    group_ = GroupView{};
    auto& group = group_;
    group.name = GroupName("records");
    group.term = 4;
    group.primary = BackendName("database-0");
    for (std::uint32_t index = 0; index < 3; ++index) group.members.push_back(member(index));
    config::RouteSpec route;
    route.max_staleness_milliseconds = 2000;
    add_route("decks", route);
    estimates_.freshness.observe_primary(group.name, kSeen, kNow - milliseconds(100));
    for (std::uint32_t index = 0; index < 3; ++index) {
      estimates_.freshness.observe_backend(group.name, index, kSeen, kNow - milliseconds(100));
    }
  }

  void test_write_goes_to_the_primary_only() {
    auto request = read();
    request.kind = backend::StatementKind::kWrite;
    const auto decision = decide(request);
    assert_candidates(decision, {"database-0"});
    CPPUNIT_ASSERT(decision.candidates.front().is_primary);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, decision.term);
    assert_passed_over(decision, "database-1", ReasonCode::kNotPrimary, "writes");
    assert_passed_over(decision, "database-2", ReasonCode::kNotPrimary, "writes");
  }

  void test_transaction_goes_to_the_primary_only() {
    auto request = read();
    request.in_transaction = true;
    const auto decision = decide(request);
    assert_candidates(decision, {"database-0"});
    assert_passed_over(decision, "database-1", ReasonCode::kNotPrimary, "transactions");
  }

  void test_read_without_token_goes_to_the_primary() {
    auto request = read();
    request.session_position.reset();
    const auto decision = decide(request);
    assert_candidates(decision, {"database-0"});
    assert_passed_over(decision, "database-1", ReasonCode::kNotPrimary, "token");
  }

  void test_read_prefers_own_zone_then_other_zones_then_the_primary() {
    settings_.zone = ZoneName("zone-2");
    assert_candidates(decide(read()), {"database-2", "database-1", "database-0"});
    settings_.zone = ZoneName("zone-1");
    assert_candidates(decide(read()), {"database-1", "database-2", "database-0"});
  }

  void test_read_prefers_the_less_loaded_replica() {
    estimates_.load.statement_started(1);
    assert_candidates(decide(read()), {"database-2", "database-1", "database-0"});
    estimates_.load.statement_started(2);
    estimates_.load.statement_started(2);
    assert_candidates(decide(read()), {"database-1", "database-2", "database-0"});
  }

  void test_keys_spread_over_equal_replicas() {
    int first = 0;
    constexpr int kKeys = 400;
    for (int key = 0; key < kKeys; ++key) {
      auto request = read();
      request.partition_key = "learner-" + std::to_string(key);
      if (decide(request).candidates.front().backend.value == "database-1") ++first;
    }
    CPPUNIT_ASSERT(first > kKeys / 3);
    CPPUNIT_ASSERT(first < 2 * kKeys / 3);
  }

  void test_replica_without_the_position_is_skipped() {
    auto request = read();
    request.session_position = Position{1, 200};
    estimates_.freshness.observe_primary(group().name, Position{1, 200}, kNow);
    // Both replicas lag by far more than replica_wait.
    for (std::uint32_t index = 1; index < 3; ++index) {
      for (int repeat = 0; repeat < 30; ++repeat) {
        estimates_.freshness.observe_backend(group().name, index, kSeen, kNow + seconds(1));
      }
    }
    const auto decision = decide(request);
    assert_candidates(decision, {"database-0"});
    assert_passed_over(decision, "database-1", ReasonCode::kTooStale, "the session has seen 1.200");
  }

  void test_replica_expected_to_catch_up_ranks_after_current_ones() {
    auto request = read();
    request.session_position = Position{1, 200};
    estimates_.freshness.observe_primary(group().name, Position{1, 200}, kNow - milliseconds(5));
    estimates_.freshness.observe_backend(group().name, 2, Position{1, 200}, kNow);
    settings_.zone = ZoneName("zone-1");
    assert_candidates(decide(request), {"database-2", "database-1", "database-0"});
  }

  void test_read_is_held_for_the_replica_expected_to_catch_up_first() {
    const auto request = read_after_write(seconds(1));
    // database-1 lags by 140 ms and database-2 by 120 ms; the write was sent 10 ms ago.
    const auto decision = decide(request);
    assert_candidates(decision, {"database-2", "database-1", "database-0"});
    // 10 ms before the replica is expected to have the position.
    CPPUNIT_ASSERT(decision.hold == milliseconds(100));
    CPPUNIT_ASSERT(decision.primary_read == PrimaryReadCause::kNone);
    // A replica known to have the position needs no hold.
    estimates_.freshness.observe_backend(group().name, 1, Position{1, 200}, kNow);
    const auto up_to_date = decide(request);
    assert_candidates(up_to_date, {"database-1", "database-2", "database-0"});
    CPPUNIT_ASSERT(up_to_date.hold == Duration(0));
  }

  void test_read_is_not_held_beyond_its_limits() {
    const auto little_time = decide(read_after_write(milliseconds(80)));
    assert_candidates(little_time, {"database-0"});
    CPPUNIT_ASSERT(little_time.hold == Duration(0));
    CPPUNIT_ASSERT(little_time.primary_read == PrimaryReadCause::kPosition);
    config::RouteSpec route;
    route.precedence = 5;
    route.replica_wait_milliseconds = 0;
    add_route("at-once", route);
    const auto never = decide(read_after_write(seconds(1)));
    assert_candidates(never, {"database-0"});
    CPPUNIT_ASSERT(never.hold == Duration(0));
  }

  void test_held_read_is_sent_when_its_hold_ends() {
    auto request = read_after_write(seconds(1));
    request.first_choice_at = kNow;
    CPPUNIT_ASSERT(decide(request, kNow + milliseconds(60)).hold == milliseconds(40));
    const auto due = decide(request, kNow + milliseconds(100));
    assert_candidates(due, {"database-2", "database-1", "database-0"});
    CPPUNIT_ASSERT(due.hold == Duration(0));
    // A position that this proxy has not seen at the primary is expected one lag after the read arrived.
    request.session_position = Position{1, 900};
    CPPUNIT_ASSERT(decide(request).hold == milliseconds(110));
    CPPUNIT_ASSERT(decide(request, kNow + milliseconds(110)).hold == Duration(0));
    // A replica that fails in the meantime is not waited for.
    estimates_.load.failed(1, kNow + milliseconds(50));
    estimates_.load.failed(2, kNow + milliseconds(50));
    const auto failed = decide(request, kNow + milliseconds(50));
    assert_candidates(failed, {"database-0"});
    CPPUNIT_ASSERT(failed.hold == Duration(0));
  }

  void test_replica_exceeding_the_routes_staleness_is_skipped() {
    estimates_.freshness.observe_primary(group().name, Position{1, 300}, kNow + seconds(5));
    const auto decision = decide(read(), kNow + seconds(6));
    assert_candidates(decision, {"database-0"});
    assert_passed_over(decision, "database-1", ReasonCode::kTooStale, "the route allows 2000 ms");
  }

  void test_replica_of_unknown_age_is_skipped() {
    estimates_ = BackendEstimates{};
    const auto decision = decide(read());
    assert_candidates(decision, {"database-0"});
    assert_passed_over(decision, "database-1", ReasonCode::kTooStale, "age unknown");
  }

  void test_leaving_backends_are_skipped() {
    group_.members[1].leaving = true;
    const auto replica_leaves = decide(read());
    assert_candidates(replica_leaves, {"database-2", "database-0"});
    assert_passed_over(replica_leaves, "database-1", ReasonCode::kDraining, "leaving");
    group_.members[0].leaving = true;
    const auto primary_leaves = decide(read());
    assert_candidates(primary_leaves, {"database-2"});
    assert_passed_over(primary_leaves, "database-0", ReasonCode::kDraining, "leaving");
    auto write = read();
    write.kind = backend::StatementKind::kWrite;
    const auto no_write = decide(write);
    assert_candidates(no_write, {});
    CPPUNIT_ASSERT(no_write.refusal.code == ReasonCode::kNoBackend);
  }

  void test_failed_replica_is_skipped_until_it_answers_a_probe() {
    estimates_.load.failed(1, kNow);
    assert_passed_over(decide(read()), "database-1", ReasonCode::kUnreachable, "failed");
    const auto later = kNow + kHoldOffLimit;
    assert_passed_over(decide(read(), later), "database-1", ReasonCode::kUnreachable, "failed");
    estimates_.load.probe_answered(1);
    const auto decision = decide(read(), kNow + milliseconds(101));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decision.candidates.size());
  }

  void test_replica_not_selected_by_the_route_is_skipped() {
    config::RouteSpec route;
    route.precedence = 5;
    route.replica_selector.match_labels.entries["index"] = "2";
    add_route("selective", route);
    const auto decision = decide(read());
    assert_candidates(decision, {"database-2", "database-0"});
    assert_passed_over(decision, "database-1", ReasonCode::kNoRoute, "does not select");
  }

  void test_route_without_replica_reads_uses_the_primary() {
    config::RouteSpec route;
    route.precedence = 5;
    route.replica_reads = false;
    add_route("primary-reads", route);
    const auto decision = decide(read());
    assert_candidates(decision, {"database-0"});
    assert_passed_over(decision, "database-1", ReasonCode::kNotPrimary, "the route sends reads");
  }

  void test_reports_why_a_read_uses_the_primary() {
    CPPUNIT_ASSERT(decide(read()).primary_read == PrimaryReadCause::kNone);
    auto write = read();
    write.kind = backend::StatementKind::kWrite;
    CPPUNIT_ASSERT(decide(write).primary_read == PrimaryReadCause::kNone);
    auto without_token = read();
    without_token.session_position.reset();
    CPPUNIT_ASSERT(decide(without_token).primary_read == PrimaryReadCause::kNoToken);
    for (std::uint32_t index = 1; index < 3; ++index) group_.members[index].leaving = true;
    CPPUNIT_ASSERT(decide(read()).primary_read == PrimaryReadCause::kNoReplica);
    // With different causes, that of the replica closest to serving the read is reported.
    group_.members[1].leaving = false;
    estimates_.load.failed(1, kNow);
    CPPUNIT_ASSERT(decide(read()).primary_read == PrimaryReadCause::kUnreachable);
    group_.members[2].leaving = false;
    CPPUNIT_ASSERT(decide(read(), kNow + seconds(5)).primary_read == PrimaryReadCause::kTooOld);
    auto far_ahead = read();
    far_ahead.session_position = Position{2, 1};
    estimates_.freshness.observe_primary(group().name, Position{1, 300}, kNow - milliseconds(50));
    estimates_.freshness.observe_backend(group().name, 2, kSeen, kNow + seconds(1));
    CPPUNIT_ASSERT(decide(far_ahead).primary_read == PrimaryReadCause::kPosition);
    config::RouteSpec route;
    route.precedence = 5;
    route.replica_reads = false;
    add_route("primary-reads", route);
    CPPUNIT_ASSERT(decide(read()).primary_read == PrimaryReadCause::kRoute);
  }

  void test_group_without_primary_refuses_writes() {
    group_.primary = BackendName();
    assert_candidates(decide(read()), {"database-1", "database-2", "database-0"}, true);
    auto write = read();
    write.kind = backend::StatementKind::kWrite;
    const auto decision = decide(write);
    assert_candidates(decision, {});
    CPPUNIT_ASSERT(decision.refusal.code == ReasonCode::kNoPrimary);
    CPPUNIT_ASSERT_EQUAL(std::string("records"), decision.refusal.peer);
    CPPUNIT_ASSERT(!decision.refusal.step.empty());
  }

  void test_statement_without_route_is_refused() {
    auto request = read();
    request.database = DatabaseName("other");
    request.labels.entries["database"] = "other";
    const auto decision = decide(request);
    CPPUNIT_ASSERT(decision.candidates.empty());
    CPPUNIT_ASSERT(decision.refusal.code == ReasonCode::kNoRoute);
  }

  void test_slot_without_group_is_refused() {
    group_.spec.hash_slots = config::HashSlotRange{0, 0};
    const auto decision = decide(read());
    CPPUNIT_ASSERT(decision.candidates.empty());
    CPPUNIT_ASSERT(decision.refusal.code == ReasonCode::kNoRoute);
  }

  void test_route_of_highest_precedence_wins() {
    config::RouteSpec route;
    route.precedence = 7;
    add_route("urgent", route);
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"), decide(read()).route.value);
  }

 private:
  static BackendView member(std::uint32_t index) {
    BackendView backend;
    backend.name = BackendName("database-" + std::to_string(index));
    backend.zone = ZoneName("zone-" + std::to_string(index));
    backend.labels.entries["index"] = std::to_string(index);
    backend.ordinal = index;
    return backend;
  }
  static Request read() {
    Request request;
    request.partition_key = "learner-1";
    request.database = DatabaseName("decks");
    request.labels.entries["database"] = "decks";
    request.session_position = kSeen;
    return request;
  }
  /// A read in a session whose write got position 200 and was sent 10 ms ago. Neither replica has it;
  /// database-1 lags by 140 ms and database-2 by 120 ms.
  Request read_after_write(Duration hold_limit) {
    estimates_ = BackendEstimates{};
    auto& freshness = estimates_.freshness;
    freshness.observe_primary(group().name, kSeen, kNow - milliseconds(500));
    freshness.observe_primary(group().name, Position{1, 150}, kNow - milliseconds(300));
    freshness.observe_backend(group().name, 1, kSeen, kNow - milliseconds(160));
    freshness.observe_backend(group().name, 2, kSeen, kNow - milliseconds(180));
    freshness.observe_write(group().name, Position{1, 200}, kNow - milliseconds(10));
    freshness.observe_primary(group().name, Position{1, 200}, kNow - milliseconds(10));
    auto request = read();
    request.session_position = Position{1, 200};
    request.hold_limit = hold_limit;
    return request;
  }
  void add_route(const std::string& name, config::RouteSpec route) {
    route.statement_selector.match_labels.entries["database"] = "decks";
    routes_.push_back(RouteView{RouteName(name), std::move(route), {}});
  }
  Decision decide(const Request& request, TimePoint now = kNow) const {
    RoutingView view;
    view.groups.put(std::make_shared<GroupView>(group_));
    RouteTable table;
    for (auto route : routes_) {
      if (route.spec.group_selector.matches(group_.labels)) {
        route.slots = {SlotEntry{group_.spec.hash_slots, group_.name}};
      }
      routing::add_route(table, std::make_shared<RouteView>(std::move(route)));
    }
    view.routes = std::make_shared<RouteTable>(std::move(table));
    return choose(request, view, estimates_, settings_, now);
  }
  const GroupView& group() const { return group_; }

  static void assert_candidates(const Decision& decision, std::vector<std::string> expected,
                                bool any_order = false) {
    std::vector<std::string> names;
    for (const auto& candidate : decision.candidates) names.push_back(candidate.backend.value);
    if (any_order) {
      std::sort(names.begin(), names.end());
      std::sort(expected.begin(), expected.end());
    }
    CPPUNIT_ASSERT(names == expected);
  }
  static void assert_passed_over(const Decision& decision, const std::string& backend, ReasonCode code,
                                 const std::string& words) {
    for (const auto& entry : decision.passed_over) {
      if (entry.backend.value != backend) continue;
      CPPUNIT_ASSERT_EQUAL(std::string(reason_code_name(code)),
                           std::string(reason_code_name(entry.reason.code)));
      CPPUNIT_ASSERT_EQUAL(backend, entry.reason.peer);
      CPPUNIT_ASSERT(!entry.reason.step.empty());
      CPPUNIT_ASSERT_MESSAGE(entry.reason.detail, entry.reason.detail.find(words) != std::string::npos);
      return;
    }
    CPPUNIT_FAIL(backend + " was not skipped");
  }

  GroupView group_;
  std::vector<RouteView> routes_;
  BackendEstimates estimates_;
  ChoiceSettings settings_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChoiceTest);

}  // namespace
}  // namespace cairnhollow::declared::routing
