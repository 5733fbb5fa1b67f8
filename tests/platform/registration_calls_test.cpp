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
class OneBackend : public registered::registry::RegistrationRelay {
 public:
  [[nodiscard]] bool knows(const registered::registry::BackendEntry& entry) const override {
    return entry.name.value == "i-7f3a91c2" && !entry.leaving;
  }
  [[nodiscard]] std::optional<Endpoint> control_endpoint() const override { return control; }
  void record_refused(const registered::registry::RefusedRegistration& said) const override {
    refused.push_back(said);
  }

  mutable std::vector<registered::registry::RefusedRegistration> refused;
  std::optional<Endpoint> control = Endpoint{"10.0.0.4", 8782};
};

/// Accepts every registration and names a proxy for subsequent heartbeats, or fails with `refuses_as`.
class NamingService : public registered::registry::ControlService {
 public:
  Awaitable<bool> replace_document(registered::registry::ConfigurationDocument, Reason&) override {
    co_return false;
  }
  Awaitable<std::optional<std::string>> read_document(Reason&) override { co_return std::nullopt; }
  Awaitable<std::optional<registered::registry::Registration>> register_backend(
      registered::registry::BackendEntry, Reason& reason) override {
    ++taken;
    if (refuses_as == ReasonCode::kNone)
      co_return registered::registry::Registration{Endpoint{"10.1.0.8", 7441}};
    reason = Reason{refuses_as, "register_backend", "", "refused"};
    co_return std::nullopt;
  }
  Awaitable<bool> deregister_backend(BackendName, Reason&) override {
    ++taken;
    co_return true;
  }
  void record_refused(const registered::registry::RefusedRegistration& said) override {
    refused.push_back(said);
  }

  Awaitable<bool> begin_evacuation(ZoneName, Reason&) override { co_return false; }
  Awaitable<bool> end_evacuation(ZoneName, Reason&) override { co_return false; }

  ReasonCode refuses_as = ReasonCode::kNone;
  int taken = 0;
  std::vector<registered::registry::RefusedRegistration> refused;
};

}  // namespace

class RegistrationCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationCallsTest);
  CPPUNIT_TEST(what_is_known_is_answered);
  CPPUNIT_TEST(news_and_goodbyes_go_to_control);
  CPPUNIT_TEST(without_control_the_backend_goes_on_to_the_next_node);
  CPPUNIT_TEST(what_can_not_be_read_is_refused);
  CPPUNIT_TEST(control_names_where_to_say_it_again);
  CPPUNIT_TEST(control_passes_on_nothing_that_is_malformed);
  CPPUNIT_TEST(a_proxy_passes_on_nothing_that_is_malformed);
  CPPUNIT_TEST(the_status_tells_whose_fault_it_is);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"node", "10.0.0.1", ZoneName("a")});
    calls_ = make_registration_calls(relay_);
  }
  void tearDown() override { world_.reset(); }

  void what_is_known_is_answered() {
    CPPUNIT_ASSERT_EQUAL(200U, call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", kReady).status);
  }

  void news_and_goodbyes_go_to_control() {
    std::string leaving = kReady;
    leaving.replace(leaving.find("ready"), 5, "draining");
    const auto news = call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", leaving);
    CPPUNIT_ASSERT_EQUAL(307U, news.status);
    CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.4:8782/instances/i-7f3a91c2"),
                         news.headers.find("location").value_or(""));
    CPPUNIT_ASSERT_EQUAL(307U, call(runtime::HttpMethod::kPut, "/instances/i-other", kReady).status);
    CPPUNIT_ASSERT_EQUAL(307U, call(runtime::HttpMethod::kDelete, "/instances/i-7f3a91c2", "").status);
  }

  void without_control_the_backend_goes_on_to_the_next_node() {
    relay_.control.reset();
    CPPUNIT_ASSERT_EQUAL(503U, call(runtime::HttpMethod::kPut, "/instances/i-other", kReady).status);
    CPPUNIT_ASSERT_EQUAL(200U, call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", kReady).status);
  }

  void what_can_not_be_read_is_refused() {
    CPPUNIT_ASSERT_EQUAL(400U, call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", "{}").status);
    CPPUNIT_ASSERT_EQUAL(404U, call(runtime::HttpMethod::kPut, "/config", "{}").status);
  }

  void control_passes_on_nothing_that_is_malformed() {
    NamingService service;
    calls_ = make_control_calls(service);
    assert_malformed_is_refused(service.refused);
    CPPUNIT_ASSERT_EQUAL(0, service.taken);
  }

  void a_proxy_passes_on_nothing_that_is_malformed() { assert_malformed_is_refused(relay_.refused); }

  void the_status_tells_whose_fault_it_is() {
    NamingService service;
    calls_ = make_control_calls(service);
    const std::vector<std::pair<ReasonCode, unsigned>> statuses = {
        {ReasonCode::kNotFound, 404}, {ReasonCode::kConflict, 409}, {ReasonCode::kNoQuorum, 503}};
    for (const auto& [code, status] : statuses) {
      service.refuses_as = code;
      CPPUNIT_ASSERT_EQUAL(status, call(runtime::HttpMethod::kPut, "/instances/i-7f3a91c2", kReady).status);
    }
  }

  void control_names_where_to_say_it_again() {
    NamingService service;
    calls_ = make_control_calls(service);
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
    std::string rubbish = kReady;
    rubbish.replace(rubbish.find("ready"), 5, "bored");
    CPPUNIT_ASSERT_EQUAL(400U, call(HttpMethod::kPut, "/instances/i-7f3a91c2", rubbish).status);
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

  OneBackend relay_;
  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<runtime::HttpHandler> calls_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationCallsTest);

}  // namespace cairnhollow::platform
