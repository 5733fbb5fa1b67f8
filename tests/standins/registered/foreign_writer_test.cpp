// The judge of malformed registrations: each kind of violation in a history that it must reject, and what it
// must pass; and that each kind is malformed as its name says.
#include "standins/registered/foreign_writer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/json/parse.hpp>

namespace cairnhollow::standins::registered {

class ForeignWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForeignWriterTest);
  CPPUNIT_TEST(refusals_are_right);
  CPPUNIT_TEST(what_was_taken_is_rejected);
  CPPUNIT_TEST(an_unknown_group_may_be_taken_and_not_sought);
  CPPUNIT_TEST(each_kind_is_another_body);
  CPPUNIT_TEST_SUITE_END();

 public:
  void refusals_are_right() {
    ForeignHistory history;
    for (const ForeignKind& kind : foreign_kinds()) history.answered.push_back({kind.name, 400});
    history.answered.push_back({"no service", 503});
    CPPUNIT_ASSERT(find_foreign_violations(history).empty());
  }

  void what_was_taken_is_rejected() {
    for (const ForeignKind& kind : foreign_kinds()) {
      if (kind.may_be_taken) continue;
      ForeignHistory history;
      history.answered = {{kind.name, 200}, {kind.name, 200}};
      const std::vector<std::string> expected{std::string("a registration with ") + kind.name +
                                              " was taken (200)"};
      CPPUNIT_ASSERT(find_foreign_violations(history) == expected);
    }
  }

  void an_unknown_group_may_be_taken_and_not_sought() {
    ForeignHistory history;
    history.answered = {{"an unknown group", 200}};
    CPPUNIT_ASSERT(find_foreign_violations(history).empty());
    history.sought = 2;
    const std::vector<std::string> expected{
        "2 connections to an address that only malformed registrations name"};
    CPPUNIT_ASSERT(find_foreign_violations(history) == expected);
  }

  void each_kind_is_another_body() {
    ForeignWriterSettings settings;
    settings.group = GroupName("group");
    settings.trap = {"127.0.3.99", 9999};
    std::vector<std::string> bodies{print_foreign("well formed", settings, 7)};
    CPPUNIT_ASSERT(boost::json::parse(bodies.front()).at("Service").as_string() == "group");
    for (const ForeignKind& kind : foreign_kinds()) bodies.push_back(print_foreign(kind.name, settings, 7));
    std::sort(bodies.begin(), bodies.end());
    CPPUNIT_ASSERT(std::adjacent_find(bodies.begin(), bodies.end()) == bodies.end());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignWriterTest);

}  // namespace cairnhollow::standins::registered
