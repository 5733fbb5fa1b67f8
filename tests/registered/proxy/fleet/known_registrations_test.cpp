// What a proxy does with registrations that it can't read: they are counted by cause.
#include "registered/proxy/fleet/known_registrations.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

namespace {

class NoBackends : public BackendDialer {
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
  NoBackends dialer;
  SessionProxySettings settings = settings_of_proxy();
  FleetView view{runtime, dialer, settings};
  FleetLink link{runtime, settings, view};
  SessionMetrics metrics;
  KnownRegistrations known{runtime, view, link, metrics};
};

}  // namespace

class KnownRegistrationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownRegistrationsTest);
  CPPUNIT_TEST(refused_registrations_are_counted_by_cause);
  CPPUNIT_TEST(a_next_incarnation_is_news_and_a_former_one_is_not);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refused_registrations_are_counted_by_cause() {
    Proxy proxy;
    const registry::RegistrationRelay& relay = proxy.known;
    const Reason reason{ReasonCode::kInvalidArgument, "read_body", "", "Slots: is missing"};
    relay.record_refused({registry::RegistrationFault::kMissingField, "i-1", reason});
    relay.record_refused({registry::RegistrationFault::kMissingField, "i-2", reason});
    const std::string text = proxy.metrics.render();
    const std::string name = "cairnhollow_session_registrations_refused_total";
    CPPUNIT_ASSERT(text.find(name + "{cause=\"missing_field\"} 2") != std::string::npos);
    CPPUNIT_ASSERT(text.find(name + "{cause=\"unreadable\"} 0") != std::string::npos);
  }

  void a_next_incarnation_is_news_and_a_former_one_is_not() {
    Proxy proxy;
    registry::BackendEntry held;
    held.name = BackendName("b-1");
    held.group = GroupName("records");
    held.start_time_ms = 2000;
    held.sequence = 3;
    CPPUNIT_ASSERT_MESSAGE("nobody is known yet", !proxy.known.knows(held));
    registry::FleetDelta delta;
    delta.revision = 1;
    delta.groups = {registry::GroupRule{held.group}};
    delta.backends = {held};
    proxy.view.apply(delta);
    CPPUNIT_ASSERT(proxy.known.knows(held));
    registry::BackendEntry next = held;
    next.start_time_ms = 3000;
    CPPUNIT_ASSERT(!proxy.known.knows(next));
    registry::BackendEntry former = held;
    former.start_time_ms = 1000;
    former.leaving = true;
    CPPUNIT_ASSERT(proxy.known.knows(former));
    held.leaving = true;
    CPPUNIT_ASSERT_MESSAGE("news of this life", !proxy.known.knows(held));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownRegistrationsTest);

}  // namespace cairnhollow::registered::proxy
