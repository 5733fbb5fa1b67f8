// What a proxy does with registrations that it can't read: they are counted by cause.
#include "session/known_registrations.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::session {

namespace {

class NoBackends : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress, TimePoint, std::optional<Refusal>&,
                                               Reason&) override {
    co_return nullptr;
  }
};

}  // namespace

class KnownRegistrationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownRegistrationsTest);
  CPPUNIT_TEST(refused_registrations_are_counted_by_cause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refused_registrations_are_counted_by_cause() {
    simulation::World world{simulation::WorldSettings{}};
    runtime::Runtime& runtime = world.start_bare({"node", "10.0.0.1", ZoneName("a")});
    NoBackends dialer;
    SessionProxySettings settings;
    settings.node = NodeName("node");
    FleetView view(runtime, dialer, settings);
    FleetLink link(runtime, settings, view);
    SessionMetrics metrics;
    const KnownRegistrations known(runtime, view, link, metrics);
    const registry::RegistrationRelay& relay = known;
    const Reason reason{ReasonCode::kInvalidArgument, "read_body", "", "Slots: is missing"};
    relay.note_refused({registry::RegistrationFault::kMissingField, "i-1", reason});
    relay.note_refused({registry::RegistrationFault::kMissingField, "i-2", reason});
    const std::string text = metrics.render();
    const std::string name = "cairnhollow_session_registrations_refused_total";
    CPPUNIT_ASSERT(text.find(name + "{cause=\"missing_field\"} 2") != std::string::npos);
    CPPUNIT_ASSERT(text.find(name + "{cause=\"unreadable\"} 0") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownRegistrationsTest);

}  // namespace cairnhollow::session
