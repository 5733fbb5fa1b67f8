// An operation begins with the first token that any quota owner grants, however slow the others are, and
// waits for an owner that is about to be authorized but not for one that is not.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/proxy/limits/limit_client.h"
#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::registered::proxy {

using limits::Grant;
using limits::GrantOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class FailingDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

/// A quota owner: answers each request for tokens with `grant` after `takes`, and everything else at once.
class FakeOwner {
 public:
  FakeOwner(runtime::Runtime& runtime, const Endpoint& endpoint) : runtime_(runtime) {
    Reason reason;
    listener_ = runtime_.network().listen(endpoint, reason);
    runtime_.spawn("owner", accept());
  }
  Grant grant{GrantOutcome::kNotAuthorized, 0, Duration(0)};
  Duration takes{0};
  int requests = 0;

 private:
  Awaitable<void> accept() {
    Reason reason;
    while (auto frames = co_await listener_->accept(reason))
      runtime_.spawn("serve", serve(std::move(frames)));
  }
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> frames) {
    Reason reason;
    co_await frames->receive(reason);  // hello
    while (const auto frame = co_await frames->receive(reason)) {
      const auto request = wire::decode<ForwardRequest>(*frame, reason);
      const bool asks_tokens = std::holds_alternative<ForwardTokens>(request->body);
      if (asks_tokens) ++requests;
      runtime_.spawn("answer", answer(frames, request->correlation, asks_tokens ? takes : Duration(0)));
    }
  }
  Awaitable<void> answer(std::shared_ptr<runtime::FrameConnection> frames, std::uint64_t correlation,
                         Duration after) {
    co_await runtime_.sleep_for(after);
    ForwardAnswer answer;
    answer.correlation = correlation;
    answer.grant = grant;
    Reason reason;
    co_await frames->send(wire::encode(answer, wire::kTenantsFormat), reason);
  }

  runtime::Runtime& runtime_;
  std::unique_ptr<runtime::FrameListener> listener_;
};

struct Admission {
  std::optional<AdmissionAnswer> answer;
  Duration took{0};
};

Awaitable<void> admit(runtime::Runtime& runtime, LimitClient& limits, Duration patience,
                      Admission& admission) {
  const TimePoint started_at = runtime.now();
  admission.answer = co_await limits.admit(TenantName("tenant"), started_at + patience);
  admission.took = runtime.now() - started_at;
}

registry::AdmittedProxy proxy_at(const std::string& name, const std::string& zone, const Endpoint& endpoint) {
  registry::AdmittedProxy proxy;
  proxy.node = NodeName(name);
  proxy.zone = ZoneName(zone);
  proxy.peer_endpoint = endpoint;
  return proxy;
}

constexpr Duration kPatience = milliseconds(333);

}  // namespace

class OwnerRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerRequestsTest);
  CPPUNIT_TEST(slow_owner_does_not_delay_beyond_next_one);
  CPPUNIT_TEST(late_grant_is_used);
  CPPUNIT_TEST(waits_until_an_owner_is_authorized);
  CPPUNIT_TEST(wait_ends_with_patience);
  CPPUNIT_TEST(does_not_wait_for_owner_that_is_authorized_too_late);
  CPPUNIT_TEST(does_not_wait_without_lease);
  CPPUNIT_TEST(rerun_does_not_wait);
  CPPUNIT_TEST(number_of_waiting_operations_is_bounded);
  CPPUNIT_TEST(asks_ever_less_often_above_limit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    SessionProxySettings settings;
    settings.node = NodeName("proxy");
    settings.zone = ZoneName("a");
    settings.limit_window = {seconds(5), 0.1, 20};
    view_ = std::make_unique<FleetView>(*runtime_, dialer_, settings);
    metrics_ = std::make_unique<SessionMetrics>();
    forwarder_ = std::make_unique<Forwarder>(*runtime_, settings.node, settings.zone);
    limits_ = std::make_unique<LimitClient>(*runtime_, *view_, *forwarder_, *metrics_);
    view_->apply(fleet());
    view_->extend_lease(runtime_->now(), runtime_->now() + seconds(60), 1);
    begin();  // opens the connections
    world_->run_for(seconds(2));
    for (const auto& owner : owners_) owner->requests = 0;
  }
  void tearDown() override {
    limits_.reset();
    forwarder_.reset();
    owners_.clear();
    world_.reset();
    metrics_.reset();
    view_.reset();
  }

  void slow_owner_does_not_delay_beyond_next_one() {
    const auto first = preferred();
    owners_[first]->takes = seconds(5);
    for (const auto& owner : owners_) owner->grant = granted(1);
    const Admission& admission = begin();
    world_->run_for(seconds(1));
    expect(admission, AdmissionOutcome::kAdmitted);
    CPPUNIT_ASSERT(admission.took < limits::kNextOwnerAfter + milliseconds(20));
  }

  void late_grant_is_used() {
    for (const auto& owner : owners_) owner->takes = milliseconds(120);
    for (const auto& owner : owners_) owner->grant = granted(1);
    const Admission& admission = begin();
    world_->run_for(seconds(1));
    expect(admission, AdmissionOutcome::kAdmitted);
    CPPUNIT_ASSERT(admission.took < milliseconds(140));
  }

  void waits_until_an_owner_is_authorized() {
    const Admission& admission = begin();
    world_->run_for(milliseconds(200));
    CPPUNIT_ASSERT(!admission.answer);
    owners_[1]->grant = granted(1);
    world_->run_for(milliseconds(200));
    expect(admission, AdmissionOutcome::kAdmitted);
  }

  void wait_ends_with_patience() {
    const Admission& admission = begin();
    world_->run_for(seconds(1));
    expect(admission, AdmissionOutcome::kNotAuthorized);
    CPPUNIT_ASSERT(admission.took == kPatience);
    CPPUNIT_ASSERT(admission.answer->asked.find("not_authorized") != std::string::npos);
    const int requests = owners_[0]->requests;
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("nobody is asked when nobody waits", owners_[0]->requests <= requests + 1);
  }

  void does_not_wait_for_owner_that_is_authorized_too_late() {
    for (const auto& owner : owners_) owner->grant.retry_after = seconds(1);
    const Admission& admission = begin();
    world_->run_for(seconds(1));
    expect(admission, AdmissionOutcome::kNotAuthorized);
    CPPUNIT_ASSERT(admission.took < milliseconds(30));
  }

  void does_not_wait_without_lease() {
    world_->run_for(seconds(62));
    const Admission& admission = begin();
    world_->run_for(seconds(1));
    expect(admission, AdmissionOutcome::kNotAuthorized);
    CPPUNIT_ASSERT(admission.took < milliseconds(30));
  }

  void rerun_does_not_wait() {
    std::optional<AdmissionAnswer> answer;
    runtime_->spawn("again", again(*limits_, answer));
    world_->run_for(milliseconds(30));
    CPPUNIT_ASSERT(answer && answer->outcome == AdmissionOutcome::kNotAuthorized);
  }

  void number_of_waiting_operations_is_bounded() {
    for (std::uint64_t operation = 0; operation < kMaxWaitingOperations; ++operation) begin();
    world_->run_for(milliseconds(100));
    const Admission& admission = begin();
    world_->run_for(milliseconds(1));
    expect(admission, AdmissionOutcome::kNotAuthorized);
  }

  void asks_ever_less_often_above_limit() {
    for (const auto& owner : owners_) owner->grant = {GrantOutcome::kEmpty, 0, milliseconds(5)};
    for (int tick = 0; tick < 400; ++tick) {
      begin();
      world_->run_for(milliseconds(5));
    }
    for (const auto& admission : admissions_) {
      if (admission != admissions_.front()) CPPUNIT_ASSERT(admission->took < milliseconds(30));
    }
    CPPUNIT_ASSERT(owners_[0]->requests <= 6 + static_cast<int>(seconds(2) / kMaxRefusalPause));
    // With the first token the pause is short again.
    for (const auto& owner : owners_) owner->grant = granted(1);
    world_->run_for(kMaxRefusalPause);
    const Admission& admission = begin();
    world_->run_for(milliseconds(50));
    expect(admission, AdmissionOutcome::kAdmitted);
  }

 private:
  static Grant granted(std::uint64_t tokens) { return {GrantOutcome::kGranted, tokens, Duration(0)}; }

  static Awaitable<void> again(LimitClient& limits, std::optional<AdmissionAnswer>& answer) {
    answer = co_await limits.admit_again(TenantName("tenant"));
  }

  registry::FleetDelta fleet() {
    registry::TenantRule tenant;
    tenant.name = TenantName("tenant");
    tenant.rate_per_s = 60;
    tenant.burst = 10;
    registry::FleetDelta delta;
    delta.is_full = true;
    delta.revision = 1;
    delta.document_version = 1;
    delta.requires_keys = true;
    delta.tenants = {tenant};
    registry::AdmittedProxy self = proxy_at("proxy", "a", {"10.0.0.1", 7000});
    self.leaving = true;  // owns no limit
    delta.proxies = {self};
    for (const std::string zone : {"a", "b", "c"}) {
      const Endpoint endpoint{"10.0.0." + std::to_string(2 + owners_.size()), 7000};
      const std::string name = "owner-" + zone;
      delta.proxies.push_back(proxy_at(name, zone, endpoint));
      owners_.push_back(std::make_unique<FakeOwner>(
          world_->start_bare({name, endpoint.address, ZoneName(zone)}), endpoint));
    }
    return delta;
  }

  /// The owner that is asked first: the one in this proxy's zone.
  static std::size_t preferred() { return 0; }

  Admission& begin() {
    admissions_.push_back(std::make_unique<Admission>());
    runtime_->spawn("admit", admit(*runtime_, *limits_, kPatience, *admissions_.back()));
    return *admissions_.back();
  }
  static void expect(const Admission& admission, AdmissionOutcome outcome) {
    CPPUNIT_ASSERT(admission.answer);
    CPPUNIT_ASSERT_EQUAL(std::string(admission_outcome_name(outcome)),
                         std::string(admission_outcome_name(admission.answer->outcome)));
  }

  std::unique_ptr<simulation::World> world_;
  simulation::VirtualRuntime* runtime_ = nullptr;
  FailingDialer dialer_;
  std::vector<std::unique_ptr<FakeOwner>> owners_;
  std::unique_ptr<FleetView> view_;
  std::unique_ptr<SessionMetrics> metrics_;
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<LimitClient> limits_;
  std::vector<std::unique_ptr<Admission>> admissions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerRequestsTest);

}  // namespace cairnhollow::registered::proxy
