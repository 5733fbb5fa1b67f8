// Tests which running primaries are replaced, by which backends, and from what lag on.
#include "registered/control/failover/planned_change.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <vector>

#include "tests/registered/control/control_stand.h"

namespace cairnhollow::registered::control {

namespace {

const char* const kPrimaryLeaving = "the primary is leaving or is no longer registered";
const char* const kZoneEvacuated = "the primary's zone a is evacuated";

/// `gone` and `leaving` describe the primary, `evacuated` its zone, `replicas_evacuated` the zone of the
/// replicas and `replicas_leaving` the replicas.
struct Case {
  bool gone = false;
  bool leaving = false;
  bool evacuated = false;
  bool replicas_evacuated = false;
  bool replicas_leaving = false;
  const char* cause = "";
};

const std::vector<Case> kCases{
    {false, false, false, false, false, ""},
    {false, true, false, false, false, kPrimaryLeaving},
    {false, false, true, false, false, kZoneEvacuated},
    {false, true, true, false, false, kPrimaryLeaving},
    {true, false, false, false, false, kPrimaryLeaving},
    // Every possible successor is leaving.
    {false, true, false, false, true, ""},
    {false, false, true, false, true, ""},
    {true, false, false, false, true, ""},
    // The replicas are in an evacuated zone: they succeed only a primary that leaves from such a zone or is
    // gone.
    {false, false, false, true, false, ""},
    {false, true, false, true, false, ""},
    {false, false, true, true, false, ""},
    {false, true, true, true, false, kPrimaryLeaving},
    {true, false, false, true, false, kPrimaryLeaving},
};

std::string name_of(const Case& test_case) {
  return fmt::format("primary gone {} leaving {} evacuated {}, replicas evacuated {} leaving {}",
                     test_case.gone, test_case.leaving, test_case.evacuated, test_case.replicas_evacuated,
                     test_case.replicas_leaving);
}

}  // namespace

class PlannedChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedChangeTest);
  CPPUNIT_TEST(reports_the_cause_of_a_planned_change);
  CPPUNIT_TEST(the_primary_never_succeeds_itself);
  CPPUNIT_TEST(accepts_successors_within_the_lag_limit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reports_the_cause_of_a_planned_change() {
    for (const Case& test_case : kCases) {
      ControlStand stand;
      set_up_fleet(stand, test_case);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name_of(test_case), std::string(test_case.cause),
                                   planned_change_cause(stand.term(), stand.fleet()));
    }
  }

  void the_primary_never_succeeds_itself() {
    ControlStand stand;
    stand.open_group();
    const auto may_succeed = [&](const char* backend) {
      return is_planned_successor(*stand.fleet().find_backend(BackendName(backend)), stand.term(),
                                  stand.fleet());
    };
    CPPUNIT_ASSERT(!may_succeed("primary"));
    CPPUNIT_ASSERT(may_succeed("replica-1") && may_succeed("replica-2"));
  }

  void accepts_successors_within_the_lag_limit() {
    using Received = std::optional<Position>;
    struct Lag {
      Received primary;
      Received successor;
      bool caught_up;
    };
    const Received none;
    for (const Lag& test_case :
         {Lag{none, none, false}, Lag{Position{1, 10}, none, false}, Lag{none, Position{1, 0}, true},
          Lag{Position{1, 10}, Position{1, 10}, true}, Lag{Position{1, 10}, Position{1, 2}, true},
          Lag{Position{1, 10}, Position{1, 1}, false}, Lag{Position{1, 10}, Position{1, 12}, true}})
      CPPUNIT_ASSERT_EQUAL(test_case.caught_up, is_caught_up(test_case.primary, test_case.successor));
  }

 private:
  static void put(ControlStand& stand, const char* name, std::uint16_t port, const char* zone, bool leaving) {
    registry::BackendEntry entry = ControlStand::entry(name, port);
    entry.zone = ZoneName(zone);
    entry.leaving = leaving;
    entry.sequence = 2;
    stand.consensus().commit(registry::RegisterBackend{entry});
  }

  static void set_up_fleet(ControlStand& stand, const Case& test_case) {
    stand.open_group();
    put(stand, "primary", 9001, "a", test_case.leaving);
    put(stand, "replica-1", 9002, "b", test_case.replicas_leaving);
    put(stand, "replica-2", 9003, "b", test_case.replicas_leaving);
    if (test_case.gone) stand.consensus().commit(registry::DeregisterBackend{BackendName("primary"), 0});
    if (test_case.evacuated) stand.consensus().commit(registry::BeginEvacuation{ZoneName("a")});
    if (test_case.replicas_evacuated) stand.consensus().commit(registry::BeginEvacuation{ZoneName("b")});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedChangeTest);

}  // namespace cairnhollow::registered::control
