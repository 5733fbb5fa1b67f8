// Tests how proxies and control nodes answer heartbeats and deregistrations.
#include <cppunit/extensions/HelperMacros.h>

#include "platform/control_calls.h"
#include "simulation/world.h"

namespace cairnhollow::platform {

namespace {

const std::string kReady =
    R"({"Service":"huvo11a","Addr":"10.128.0.9:8080","Zone":"hafn-a","Version":"v1","Slots":2,)"
    R"("State":"ready","ColdRemainingMs":0,"DbRole":"replica","Seq":4})";

/// Knows one backend, in the state "ready".
class SingleBackendRelay : public registered::registry::RegistrationRelay {
 public:
  [[nodiscard]] bool knows(const registered::registry::BackendEntry& entry) const override {
    return entry.name.value == "i-7f3a91c2" && !entry.leaving;
  }
  [[nodiscard]] std::optional<Endpoint> control_endpoint() const override { return control; }
  void record_refused(const registered::registry::RefusedRegistration& refusal) const override {
    refused.push_back(refusal);
  }

  mutable std::vector<registered::registry::RefusedRegistration> refused;
  std::optional<Endpoint> control = Endpoint{"10.0.0.4", 8782};
};

/// Accepts every registration and names a proxy for subsequent heartbeats, or fails with `failure`.
class FakeControlService : public registered::registry::ControlService {
 public:
  Awaitable<bool> replace_document(registered::registry::ConfigurationDocument, Reason&) override {
    co_return false;
  }
  Awaitable<std::optional<std::string>> read_document(Reason&) override { co_return std::nullopt; }
  Awaitable<std::optional<registered::registry::Registration>> register_backend(
      registered::registry::BackendEntry, Reason& reason) override {
    ++accepted_count;
    if (failure == ReasonCode::kNone)
      co_return registered::registry::Registration{Endpoint{"10.1.0.8", 7441}};
    reason = Reason{failure, "register_backend", "", "refused"};
    co_return std::nullopt;
  }
  Awaitable<bool> deregister_backend(BackendName, Reason&) override {
    ++accepted_count;
    co_return true;
  }
  void record_refused(const registered::registry::RefusedRegistration& refusal) override {
    refused.push_back(refusal);
  }

  Awaitable<bool> begin_evacuation(ZoneName, Reason&) override { co_return false; }
  Awaitable<bool> end_evacuation(ZoneName, Reason&) override { co_return false; }

  ReasonCode failure = ReasonCode::kNone;
  int accepted_count = 0;
  std::vector<registered::registry::RefusedRegistration> refused;
};

}  // namespace

class RegistrationCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationCallsTest);
  CPPUNIT_TEST(answers_known_heartbeat);
  CPPUNIT_TEST(redirects_changes_and_deregistrations_to_control);
  CPPUNIT_TEST(answers_503_to_changes_without_control);
  CPPUNIT_TEST(refuses_unreadable_calls);
  CPPUNIT_TEST(control_names_proxy_for_next_heartbeat);
  CPPUNIT_TEST(control_refuses_malformed_calls);
  CPPUNIT_TEST(proxy_refuses_malformed_calls);
  CPPUNIT_TEST(status_distinguishes_invalid_from_unavailable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"node", "10.0.0.1", ZoneName("a")});
    calls_ = make_registration_handler(relay_);
  }
  void tearDown() override { world_.reset(); }

  void answers_known_heartbeat() {
    CPPUNIT_ASSERT_EQUAL(200U, call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", kReady).status);
  }

  void redirects_changes_and_deregistrations_to_control() {
    std::string leaving = kReady;
    leaving.replace(leaving.find("ready"), 5, "draining");
    const auto news = call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", leaving);
    CPPUNIT_ASSERT_EQUAL(307U, news.status);
    CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.4:8782/instances/i-7f3a91c2"),
                         news.headers.find("location").value_or(""));
    CPPUNIT_ASSERT_EQUAL(307U, call(runtime::HttpMethod::kPut, "/instances/i-other", kReady).status);
    CPPUNIT_ASSERT_EQUAL(307U, call(runtime::HttpMethod::kDelete, "/instances/i-7f3a91c2", "").status);
  }

  void answers_503_to_changes_without_control() {
    relay_.control.reset();
    CPPUNIT_ASSERT_EQUAL(503U, call(runtime::HttpMethod::kPut, "/instances/i-other", kReady).status);
    CPPUNIT_ASSERT_EQUAL(200U, call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", kReady).status);
  }

  void refuses_unreadable_calls() {
    CPPUNIT_ASSERT_EQUAL(400U, call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", "{}").status);
    CPPUNIT_ASSERT_EQUAL(404U, call(runtime::HttpMethod::kPut, "/config", "{}").status);
  }

  void control_refuses_malformed_calls() {
    FakeControlService service;
    calls_ = make_control_handler(service);
    assert_malformed_is_refused(service.refused);
    CPPUNIT_ASSERT_EQUAL(0, service.accepted_count);
  }

  void proxy_refuses_malformed_calls() { assert_malformed_is_refused(relay_.refused); }

  void status_distinguishes_invalid_from_unavailable() {
    FakeControlService service;
    calls_ = make_control_handler(service);
    const std::vector<std::pair<ReasonCode, unsigned>> statuses = {
        {ReasonCode::kNotFound, 404}, {ReasonCode::kConflict, 409}, {ReasonCode::kNoQuorum, 503}};
    for (const auto& [code, status] : statuses) {
      service.failure = code;
      CPPUNIT_ASSERT_EQUAL(status, call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", kReady).status);
    }
  }

  void control_names_proxy_for_next_heartbeat() {
    FakeControlService service;
    calls_ = make_control_handler(service);
    const auto response = call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", kReady);
    CPPUNIT_ASSERT_EQUAL(200U, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"HeartbeatAddr":"10.1.0.8:7441"})"), response.body);
    CPPUNIT_ASSERT_MESSAGE("the connection closes, so that the next heartbeat goes to the named proxy",
                           response.close_connection);
  }

 private:
  /// Asserts that malformed calls are refused with the status of their fault and recorded in `refused`.
  void assert_malformed_is_refused(const std::vector<registered::registry::RefusedRegistration>& refused) {
    using registered::registry::RegistrationFault;
    using runtime::HttpMethod;
    std::string malformed = kReady;
    malformed.replace(malformed.find("ready"), 5, "bored");
    CPPUNIT_ASSERT_EQUAL(400U, call(HttpMethod::kPut, "/instances/i-7f3a91c2", malformed).status);
    CPPUNIT_ASSERT_EQUAL(400U, call(HttpMethod::kPut, "/instances/i-7f3a91c2", "\xff").status);
    CPPUNIT_ASSERT_EQUAL(413U,
                         call(HttpMethod::kPut, "/instances/i-7f3a91c2", std::string(20'000, ' ')).status);
    CPPUNIT_ASSERT_EQUAL(400U, call(HttpMethod::kPut, "/instances/", kReady).status);
    CPPUNIT_ASSERT_EQUAL(400U, call(HttpMethod::kDelete, "/instances/i%0A7", "").status);
    const std::vector<RegistrationFault> faults = {
        RegistrationFault::kUnknownWord, RegistrationFault::kUnreadable, RegistrationFault::kTooLarge,
        RegistrationFault::kBadName, RegistrationFault::kBadName};
    CPPUNIT_ASSERT_EQUAL(faults.size(), refused.size());
    for (std::size_t i = 0; i < faults.size(); ++i) CPPUNIT_ASSERT(faults[i] == refused[i].fault);
    CPPUNIT_ASSERT_EQUAL(std::string("State: is not a known value"), refused[0].reason.detail);
    CPPUNIT_ASSERT_EQUAL(std::string("i-7f3a91c2"), refused[0].backend);
  }

  runtime::HttpResponse call(runtime::HttpMethod method, const std::string& target, const std::string& body) {
    runtime::HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    std::optional<runtime::HttpResponse> response;
    const auto handle = [&]() -> Awaitable<void> { response = co_await calls_->handle(request, 1); };
    runtime_->spawn("handle", handle());
    world_->run_for(std::chrono::milliseconds(10));
    CPPUNIT_ASSERT(response);
    return *response;
  }

  SingleBackendRelay relay_;
  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<runtime::HttpHandler> calls_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationCallsTest);

}  // namespace cairnhollow::platform
