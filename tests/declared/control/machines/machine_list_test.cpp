// Tests that invalid machine lists are rejected and that a leaving machine is not considered live again just
// because it is no longer listed.
#include "declared/control/machines/machine_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::declared::control {
namespace {

class MachineListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MachineListTest);
  CPPUNIT_TEST(parses_machine_list);
  CPPUNIT_TEST(rejects_invalid_lists_with_detail);
  CPPUNIT_TEST(unlisted_leaving_machine_stays_leaving);
  CPPUNIT_TEST_SUITE_END();

 public:
  void parses_machine_list() {
    Reason reason;
    const auto states = parse_machine_list(
        R"({"machines":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]})", reason);
    CPPUNIT_ASSERT(states);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, states->size());
    CPPUNIT_ASSERT(states->at("b") == MachineState::kLeaving);
  }

  void rejects_invalid_lists_with_detail() {
    for (const std::string body :
         {"", "[]", "{}", R"({"machines":3})", R"({"machines":[3]})", R"({"machines":[{"name":"a"}]})",
          R"({"machines":[{"name":"","state":"live"}]})", R"({"machines":[{"name":"a","state":"dead"}]})"}) {
      Reason reason;
      CPPUNIT_ASSERT(!parse_machine_list(body, reason));
      CPPUNIT_ASSERT(reason.code == ReasonCode::kInvalidArgument);
      CPPUNIT_ASSERT(!reason.detail.empty());
    }
  }

  void unlisted_leaving_machine_stays_leaving() {
    const std::set<std::string> before{"a", "b"};
    const MachineStates listed{{"b", MachineState::kLive}, {"c", MachineState::kLeaving}};
    const std::set<std::string> expected{"a", "c"};
    CPPUNIT_ASSERT(leaving_machines(before, listed) == expected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MachineListTest);

}  // namespace
}  // namespace cairnhollow::declared::control
