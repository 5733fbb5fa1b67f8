// Tests the operator API over HTTP: resources, invalid requests and refusals.
#include "declared/control/operator/operator_api.h"

#include <cppunit/extensions/HelperMacros.h>
#include <boost/json.hpp>

#include "declared/control/operator/operator_json.h"
#include "http/problem.h"
#include "tests/cli/operator_fleet.h"

namespace cairnhollow::declared::control {

namespace {

const char* const kAccepted =
    R"({"changeId": "c1", "atRevision": 0, "operator": "aroha", "changes": [{"basedOn": 0, "object":
    {"kind": "Proxy", "metadata": {"name": "p"}, "spec": {"zone": "a", "endpoint": "10.0.3.1:4000"}}}]})";

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Awaitable<void> exchange(runtime::Runtime& runtime, runtime::HttpRequest request, Endpoint server,
                         std::optional<runtime::HttpResponse>& response) {
  Reason reason;
  const TimePoint deadline = runtime.now() + std::chrono::seconds(60);
  const auto connection = co_await runtime.http().connect(server, deadline, reason);
  auto sent = runtime::SendState::kNotSent;
  if (connection) response = co_await connection->exchange(std::move(request), deadline, sent, reason);
}

}  // namespace

class OperatorApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorApiTest);
  CPPUNIT_TEST(objects_are_listed_by_kind_and_selector);
  CPPUNIT_TEST(get_object_returns_it_or_not_found);
  CPPUNIT_TEST(invalid_change_reports_every_fault);
  CPPUNIT_TEST(conflict_returns_the_conflicting_object);
  CPPUNIT_TEST(refusal_of_a_non_leader_names_the_leader);
  CPPUNIT_TEST(unknown_resource_or_method_is_refused);
  CPPUNIT_TEST(request_timeout_is_applied);
  CPPUNIT_TEST(malformed_timeout_is_refused);
  CPPUNIT_TEST(events_returns_latest_or_following_events);
  CPPUNIT_TEST(serves_health_readiness_and_metrics);
  CPPUNIT_TEST(values_round_trip_through_json);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { fleet_ = std::make_unique<cli::OperatorFleet>(); }
  void tearDown() override { fleet_.reset(); }

  void objects_are_listed_by_kind_and_selector() {
    CPPUNIT_ASSERT_EQUAL(std::string("{\"accepted\":true,\"revision\":1}\n"),
                         post("/v1/changes", kAccepted).body);
    CPPUNIT_ASSERT(contains(get("/v1/objects?kind=Proxy").body, R"("name":"p")"));
    CPPUNIT_ASSERT(contains(get("/v1/objects?kind=Route").body, R"("objects":[])"));
    CPPUNIT_ASSERT(contains(get("/v1/objects?selector=!zone").body, R"("name":"p")"));
    CPPUNIT_ASSERT(contains(get("/v1/objects?selector=zone%3Da").body, R"("objects":[])"));
    CPPUNIT_ASSERT(contains(get("/v1/objects?kind=Proxy&names=x,p").body, R"("name":"p")"));
    CPPUNIT_ASSERT(contains(get("/v1/objects?names=x,y").body, R"("objects":[])"));
    CPPUNIT_ASSERT_EQUAL(400U, get("/v1/objects?kind=Shard").status);
    CPPUNIT_ASSERT_EQUAL(400U, get("/v1/objects?selector=a%20in%20b").status);
  }

  void get_object_returns_it_or_not_found() {
    post("/v1/changes", kAccepted);
    CPPUNIT_ASSERT(contains(get("/v1/objects/Proxy/p").body, R"("resourceVersion":1)"));
    const auto missing = get("/v1/objects/Proxy/q");
    CPPUNIT_ASSERT_EQUAL(404U, missing.status);
    CPPUNIT_ASSERT(contains(missing.body, "there is no Proxy/q"));
    CPPUNIT_ASSERT_EQUAL(400U, get("/v1/objects/Shard/q").status);
  }

  void invalid_change_reports_every_fault() {
    const auto detail_of = [&](const std::string& body) {
      const auto response = post("/v1/changes", body);
      CPPUNIT_ASSERT_EQUAL(400U, response.status);
      return http::parse_problem(response.body)->reason.detail;
    };
    const std::string missing = detail_of("{}");
    for (const char* part : {"changeId: is required", "atRevision: is required", "changes: is required"}) {
      CPPUNIT_ASSERT_MESSAGE(missing, contains(missing, part));
    }
    const std::string wrong = detail_of(
        R"({"changeId": 5, "atRevision": -1, "operatr": "x", "changes": [
            {"object": {"kind": "Proxy", "metadata": {"name": "p"}, "spec": {"zone": "a"}}},
            {"basedOn": "1", "delete": {"kind": "Shard", "name": "x"}},
            {"basedOn": 2, "object": {"kind": "Proxy", "metadata": {"name": "p", "resourceVersion": 3},
             "spec": {"zone": "a", "endpoint": "10.0.0.1:1"}}}]})");
    for (const char* part : {"changeId: must be a string", "atRevision: must be a whole number",
                             "operatr: unknown key", "spec.endpoint: is required", "basedOn: must be",
                             "unknown kind 'Shard'", "differs from the object's resourceVersion"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(part) + " in " + wrong, contains(wrong, part));
    }
    CPPUNIT_ASSERT(!detail_of("{\"changeId\":").empty());
    CPPUNIT_ASSERT(!detail_of("[]").empty());
    CPPUNIT_ASSERT(fleet_->log.commands.empty());
  }

  void conflict_returns_the_conflicting_object() {
    post("/v1/changes", kAccepted);
    std::string second = kAccepted;
    second.replace(second.find("c1"), 2, "c2");
    const auto conflict = post("/v1/changes", second);
    CPPUNIT_ASSERT_EQUAL(409U, conflict.status);
    CPPUNIT_ASSERT(contains(conflict.body, R"("outcome":"not_run")"));
    CPPUNIT_ASSERT(contains(conflict.body, R"("revision":1)"));
    CPPUNIT_ASSERT(contains(conflict.body, R"("conflicting":{"kind":"Proxy")"));
    CPPUNIT_ASSERT(contains(conflict.body, "written by aroha (change c1)"));
  }

  void refusal_of_a_non_leader_names_the_leader() {
    const auto refused = post("/v1/changes", kAccepted, 2);
    CPPUNIT_ASSERT(contains(refused.body, R"("code":"not_leader")"));
    CPPUNIT_ASSERT(contains(refused.body, R"("leader":"10.0.0.1:80")"));
    CPPUNIT_ASSERT(contains(refused.body, R"("outcome":"not_run")"));
    fleet_->log.answers_to_lose = 1;
    const auto lost = post("/v1/changes", kAccepted);
    CPPUNIT_ASSERT(contains(lost.body, R"("outcome":"unknown")"));
    CPPUNIT_ASSERT(lost.headers.find("retry-after"));
  }

  void unknown_resource_or_method_is_refused() {
    CPPUNIT_ASSERT_EQUAL(404U, get("/v1/nothing").status);
    CPPUNIT_ASSERT_EQUAL(404U, get("/").status);
    CPPUNIT_ASSERT_EQUAL(404U, get("/v1/objects/Proxy").status);
    CPPUNIT_ASSERT_EQUAL(405U, get("/v1/changes").status);
    CPPUNIT_ASSERT_EQUAL(405U, post("/v1/status", "{}").status);
  }

  void request_timeout_is_applied() {
    fleet_->log.has_quorum = false;
    const TimePoint begun = fleet_->world.now();
    CPPUNIT_ASSERT(contains(get("/v1/objects?timeout=700ms").body, "no_quorum"));
    CPPUNIT_ASSERT(fleet_->world.now() - begun < std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(200U, get("/v1/status").status);
  }

  void malformed_timeout_is_refused() {
    for (const char* timeout : {"soon", "5", "-1s", "5s5"}) {
      const auto response = get("/v1/status?timeout=" + std::string(timeout));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(timeout, 400U, response.status);
      CPPUNIT_ASSERT(contains(response.body, "timeout: must be"));
    }
    CPPUNIT_ASSERT_EQUAL(200U, get("/v1/status?timeout=10m").status);
  }

  void events_returns_latest_or_following_events() {
    for (int i = 0; i < 5; ++i) fleet_->node(1).sources.record(FleetEvent{});
    const auto numbers = [&](const std::string& query) {
      Reason reason;
      const auto events = events_from_json(boost::json::parse(get("/v1/events" + query).body), reason);
      std::string text;
      for (const auto& event : *events) text += std::to_string(event.number);
      return text;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("12345"), numbers(""));
    CPPUNIT_ASSERT_EQUAL(std::string("45"), numbers("?limit=2"));
    CPPUNIT_ASSERT_EQUAL(std::string("12"), numbers("?since=0&limit=2"));
    CPPUNIT_ASSERT_EQUAL(std::string("345"), numbers("?since=2"));
    CPPUNIT_ASSERT_EQUAL(std::string(""), numbers("?since=5"));
    CPPUNIT_ASSERT_EQUAL(400U, get("/v1/events?since=x").status);
  }

  void serves_health_readiness_and_metrics() {
    CPPUNIT_ASSERT_EQUAL(std::string("ok\n"), get("/healthz").body);
    CPPUNIT_ASSERT_EQUAL(200U, get("/readyz").status);
    fleet_->node(1).sources.is_ready = false;
    const auto recovering = get("/readyz");
    CPPUNIT_ASSERT_EQUAL(503U, recovering.status);
    CPPUNIT_ASSERT(contains(recovering.body, "still recovering"));
    CPPUNIT_ASSERT_EQUAL(std::string("up 1\n"), get("/metrics").body);
  }

  void values_round_trip_through_json() {
    FleetStatus status;
    status.answered_by = NodeName("control-1");
    status.consensus_term = 7;
    GroupStatus group;
    group.group = GroupName("orders");
    GroupMemberStatus member;
    member.backend = BackendName("orders-a");
    member.leaving = true;
    member.applied = Position{3, 9};
    member.last_problem = Reason{ReasonCode::kUnreachable, "probe", "10.0.0.1:1", "refused"};
    group.members = {member};
    status.groups = {group};
    status.leaving = {"machine-4"};
    Reason reason;
    const auto status_again = fleet_status_from_json(to_json(status), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.detail, status_again);
    CPPUNIT_ASSERT_EQUAL(boost::json::serialize(to_json(status)),
                         boost::json::serialize(to_json(*status_again)));
    FleetEvent event;
    event.number = 4;
    event.kind = "primary_promoted";
    event.cause = Reason{ReasonCode::kDeadlineExceeded, "probe", "orders-a", "no answer"};
    const auto events = events_from_json(to_json(std::vector<FleetEvent>{event}), reason);
    CPPUNIT_ASSERT(events);
    CPPUNIT_ASSERT_EQUAL(event.cause.to_string(), events->at(0).cause.to_string());
    InForceReport report;
    report.revision = 9;
    report.least_revision = 8;
    report.behind = {ProxyStatus{}};
    const auto report_again = in_force_report_from_json(to_json(report), reason);
    CPPUNIT_ASSERT(report_again);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, report_again->least_revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report_again->behind.size());
  }

 private:
  runtime::HttpResponse get(const std::string& target) {
    runtime::HttpRequest request;
    request.target = target;
    return ask(std::move(request), 1);
  }

  runtime::HttpResponse post(const std::string& target, const std::string& body, int node = 1) {
    runtime::HttpRequest request;
    request.method = runtime::HttpMethod::kPost;
    request.target = target;
    request.body = body;
    return ask(std::move(request), node);
  }

  runtime::HttpResponse ask(runtime::HttpRequest request, int node) {
    std::optional<runtime::HttpResponse> response;
    auto& runtime = fleet_->world.runtime("operator");
    const Endpoint server{cli::OperatorFleet::address_of(node), 80};
    runtime.spawn("exchange", exchange(runtime, std::move(request), server, response));
    fleet_->world.run_until([&] { return response.has_value(); }, std::chrono::seconds(90));
    CPPUNIT_ASSERT(response);
    return *response;
  }

  std::unique_ptr<cli::OperatorFleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiTest);

}  // namespace cairnhollow::declared::control
