// Tests which running primaries are replaced, by which backends, and from what lag on.
#include "registered/control/failover/planned_change.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <vector>

#include "tests/registered/control/control_stand.h"

namespace cairnhollow::registered::control {

namespace {

const char* const kLeaves = "the primary is leaving or has been deregistered";
const char* const kEvacuated = "the primary's zone a is evacuated";

/// `gone` and `leaves` describe the primary, `evacuated` its zone, `others_evacuated` the zone of the
/// replicas and `others_leave` the replicas.
struct Case {
  bool gone = false;
  bool leaves = false;
  bool evacuated = false;
  bool others_evacuated = false;
  bool others_leave = false;
  const char* cause = "";
};

const std::vector<Case> kCases{
    {false, false, false, false, false, ""},
    {false, true, false, false, false, kLeaves},
    {false, false, true, false, false, kEvacuated},
    {false, true, true, false, false, kLeaves},
    {true, false, false, false, false, kLeaves},
    // Every possible successor is leaving.
    {false, true, false, false, true, ""},
    {false, false, true, false, true, ""},
    {true, false, false, false, true, ""},
    // The replicas are in an evacuated zone: they succeed only a primary that leaves from such a zone or is
    // gone.
    {false, false, false, true, false, ""},
    {false, true, false, true, false, ""},
    {false, false, true, true, false, ""},
    {false, true, true, true, false, kLeaves},
    {true, false, false, true, false, kLeaves},
};

std::string name_of(const Case& one) {
  return fmt::format("primary gone {} leaving {} evacuated {}, replicas evacuated {} leaving {}", one.gone,
                     one.leaves, one.evacuated, one.others_evacuated, one.others_leave);
}

}  // namespace

class PlannedChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedChangeTest);
  CPPUNIT_TEST(each_cause);
  CPPUNIT_TEST(the_primary_itself_never_follows);
  CPPUNIT_TEST(a_successor_lacks_few_commits);
  CPPUNIT_TEST_SUITE_END();

 public:
  void each_cause() {
    for (const Case& one : kCases) {
      ControlStand stand;
      play(stand, one);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name_of(one), std::string(one.cause),
                                   planned_change_cause(stand.term(), stand.fleet()));
    }
  }

  void the_primary_itself_never_follows() {
    ControlStand stand;
    stand.open_group();
    const auto follows = [&](const char* backend) {
      return is_planned_successor(*stand.fleet().find_backend(BackendName(backend)), stand.term(),
                                  stand.fleet());
    };
    CPPUNIT_ASSERT(!follows("primary"));
    CPPUNIT_ASSERT(follows("replica-1") && follows("replica-2"));
  }

  void a_successor_lacks_few_commits() {
    using Received = std::optional<Position>;
    struct Lag {
      Received primary;
      Received successor;
      bool caught_up;
    };
    const Received none;
    for (const Lag& one :
         {Lag{none, none, false}, Lag{Position{1, 10}, none, false}, Lag{none, Position{1, 0}, true},
          Lag{Position{1, 10}, Position{1, 10}, true}, Lag{Position{1, 10}, Position{1, 2}, true},
          Lag{Position{1, 10}, Position{1, 1}, false}, Lag{Position{1, 10}, Position{1, 12}, true}})
      CPPUNIT_ASSERT_EQUAL(one.caught_up, is_caught_up(one.primary, one.successor));
  }

 private:
  static void put(ControlStand& stand, const char* name, std::uint16_t port, const char* zone, bool leaving) {
    registry::BackendEntry entry = ControlStand::entry(name, port);
    entry.zone = ZoneName(zone);
    entry.leaving = leaving;
    entry.sequence = 2;
    stand.consensus().commit(registry::RegisterBackend{entry});
  }

  static void play(ControlStand& stand, const Case& one) {
    stand.open_group();
    put(stand, "primary", 9001, "a", one.leaves);
    put(stand, "replica-1", 9002, "b", one.others_leave);
    put(stand, "replica-2", 9003, "b", one.others_leave);
    if (one.gone) stand.consensus().commit(registry::DeregisterBackend{BackendName("primary"), 0});
    if (one.evacuated) stand.consensus().commit(registry::BeginEvacuation{ZoneName("a")});
    if (one.others_evacuated) stand.consensus().commit(registry::BeginEvacuation{ZoneName("b")});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedChangeTest);

}  // namespace cairnhollow::registered::control
