// Refused registrations are counted by cause, and registrations of earlier incarnations are no news.
#include "registered/proxy/fleet/known_registrations.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

namespace {

class FailingDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress, TimePoint, std::optional<Refusal>&,
                                               Reason&) override {
    co_return nullptr;
  }
};

SessionProxySettings settings_of_proxy() {
  SessionProxySettings settings;
  settings.node = NodeName("node");
  return settings;
}

struct Proxy {
  simulation::World world{simulation::WorldSettings{}};
  runtime::Runtime& runtime = world.start_bare({"node", "10.0.0.1", ZoneName("a")});
  FailingDialer dialer;
  SessionProxySettings settings = settings_of_proxy();
  FleetView view{runtime, dialer, settings};
  FleetLink link{runtime, settings, view};
  SessionMetrics metrics;
  KnownRegistrations registrations{runtime, view, link, metrics};
};

}  // namespace

class KnownRegistrationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownRegistrationsTest);
  CPPUNIT_TEST(counts_refused_registrations_by_cause);
  CPPUNIT_TEST(knows_earlier_incarnations_but_not_later_ones);
  CPPUNIT_TEST_SUITE_END();

 public:
  void counts_refused_registrations_by_cause() {
    Proxy proxy;
    const registry::RegistrationRelay& relay = proxy.registrations;
    const Reason reason{ReasonCode::kInvalidArgument, "read_body", "", "Slots: is missing"};
    relay.record_refused({registry::RegistrationFault::kMissingField, "i-1", reason});
    relay.record_refused({registry::RegistrationFault::kMissingField, "i-2", reason});
    const std::string text = proxy.metrics.render();
    const std::string name = "cairnhollow_session_registrations_refused_total";
    CPPUNIT_ASSERT(text.find(name + "{cause=\"missing_field\"} 2") != std::string::npos);
    CPPUNIT_ASSERT(text.find(name + "{cause=\"unreadable\"} 0") != std::string::npos);
  }

  void knows_earlier_incarnations_but_not_later_ones() {
    Proxy proxy;
    registry::BackendEntry known;
    known.name = BackendName("b-1");
    known.group = GroupName("records");
    known.start_time_ms = 2000;
    known.sequence = 3;
    CPPUNIT_ASSERT_MESSAGE("no backend is known yet", !proxy.registrations.knows(known));
    registry::FleetDelta delta;
    delta.revision = 1;
    delta.groups = {registry::GroupRule{known.group}};
    delta.backends = {known};
    proxy.view.apply(delta);
    CPPUNIT_ASSERT(proxy.registrations.knows(known));
    registry::BackendEntry next = known;
    next.start_time_ms = 3000;
    CPPUNIT_ASSERT(!proxy.registrations.knows(next));
    registry::BackendEntry earlier = known;
    earlier.start_time_ms = 1000;
    earlier.leaving = true;
    CPPUNIT_ASSERT(proxy.registrations.knows(earlier));
    known.leaving = true;
    CPPUNIT_ASSERT_MESSAGE("changed entry of the same incarnation", !proxy.registrations.knows(known));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownRegistrationsTest);

}  // namespace cairnhollow::registered::proxy
