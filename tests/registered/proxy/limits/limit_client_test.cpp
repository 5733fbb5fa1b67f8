// An operation is admitted as soon as a quota owner grants a token, also if that owner is this proxy.
#include "registered/proxy/limits/limit_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

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

struct Admission {
  std::optional<AdmissionAnswer> answer;
  Duration took{0};
};

Awaitable<void> admit(runtime::Runtime& runtime, LimitClient& limits, Admission& admission) {
  const TimePoint started_at = runtime.now();
  admission.answer = co_await limits.admit(TenantName("tenant"), started_at + milliseconds(300));
  admission.took = runtime.now() - started_at;
}

}  // namespace

class LimitClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitClientTest);
  CPPUNIT_TEST(local_owner_grants_immediately);
  CPPUNIT_TEST(admits_concurrent_operations);
  CPPUNIT_TEST(refuses_immediately_above_limit);
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
    begin();  // an owner's bucket starts empty and fills from the first request on
    world_->run_for(seconds(2));
  }
  void tearDown() override {
    world_.reset();
    limits_.reset();
    forwarder_.reset();
    metrics_.reset();
    view_.reset();
  }

  void local_owner_grants_immediately() {
    const Admission& admission = begin();
    world_->run_for(milliseconds(300));
    CPPUNIT_ASSERT(admission.answer && admission.answer->outcome == AdmissionOutcome::kAdmitted);
    CPPUNIT_ASSERT_MESSAGE("admitted without waiting", admission.took == Duration(0));
  }

  void admits_concurrent_operations() {
    for (int operation = 0; operation < 5; ++operation) begin();
    world_->run_for(milliseconds(100));
    for (int operation = 0; operation < 5; ++operation) begin();
    world_->run_for(milliseconds(300));
    for (const auto& admission : admissions_) {
      if (admission == admissions_.front()) continue;
      CPPUNIT_ASSERT(admission->answer && admission->answer->outcome == AdmissionOutcome::kAdmitted);
    }
  }

  void refuses_immediately_above_limit() {
    for (int operation = 0; operation < 200; ++operation) begin();
    world_->run_for(milliseconds(1));
    int refused = 0;
    for (const auto& admission : admissions_) {
      CPPUNIT_ASSERT(admission->answer);
      if (admission->answer->outcome == AdmissionOutcome::kOverLimit) ++refused;
    }
    CPPUNIT_ASSERT_MESSAGE("the buckets of 3 owners hold fewer than 200 tokens", refused > 50);
  }

 private:
  static registry::FleetDelta fleet() {
    registry::AdmittedProxy proxy;
    proxy.node = NodeName("proxy");
    proxy.zone = ZoneName("a");
    proxy.peer_endpoint = {"10.0.0.1", 7000};
    registry::TenantRule tenant;
    tenant.name = TenantName("tenant");
    tenant.rate_per_s = 60;
    tenant.burst = 10;
    registry::FleetDelta delta;
    delta.is_full = true;
    delta.revision = 1;
    delta.document_version = 1;
    delta.proxies = {proxy};
    delta.requires_keys = true;
    delta.tenants = {tenant};
    return delta;
  }

  Admission& begin() {
    admissions_.push_back(std::make_unique<Admission>());
    runtime_->spawn("admit", admit(*runtime_, *limits_, *admissions_.back()));
    return *admissions_.back();
  }

  std::unique_ptr<simulation::World> world_;
  simulation::VirtualRuntime* runtime_ = nullptr;
  FailingDialer dialer_;
  std::unique_ptr<FleetView> view_;
  std::unique_ptr<SessionMetrics> metrics_;
  std::unique_ptr<Forwarder> forwarder_;
  std::unique_ptr<LimitClient> limits_;
  std::vector<std::unique_ptr<Admission>> admissions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitClientTest);

}  // namespace cairnhollow::registered::proxy
