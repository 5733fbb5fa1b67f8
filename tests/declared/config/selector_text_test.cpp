// Tests parsing and formatting of selectors in text form.
#include "declared/config/selector_text.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cairnhollow::declared::config {

class SelectorTextTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SelectorTextTest);
  CPPUNIT_TEST(every_clause_is_read);
  CPPUNIT_TEST(blank_text_selects_everything);
  CPPUNIT_TEST(bad_clauses_are_named);
  CPPUNIT_TEST(operators_hold_as_documented);
  CPPUNIT_TEST(all_clauses_must_hold);
  CPPUNIT_TEST_SUITE_END();

 public:
  void every_clause_is_read() {
    Reason reason;
    const auto selector =
        parse_selector(" zone = kelburn, tier==a ,x!=1, y in (b, c),z notin (d),here,!gone", reason);
    CPPUNIT_ASSERT(selector);
    CPPUNIT_ASSERT_EQUAL(std::string("tier=a,zone=kelburn,x notin (1),y in (b,c),z notin (d),here,!gone"),
                         format_selector(*selector));
  }

  void blank_text_selects_everything() {
    Reason reason;
    const auto selector = parse_selector("  ", reason);
    CPPUNIT_ASSERT(selector);
    CPPUNIT_ASSERT(*selector == Selector{});
    CPPUNIT_ASSERT(selector->matches(LabelSet{}));
  }

  void bad_clauses_are_named() {
    for (const char* text : {"a=b,,c=d", "=b", "a in b", "a in (b", "a like (b)", "a b=c", "a=b=c", "a=b,a=c",
                             "!", "a=b c", "()", "a!", ","}) {
      Reason reason;
      CPPUNIT_ASSERT_MESSAGE(text, !parse_selector(text, reason));
      CPPUNIT_ASSERT_MESSAGE(text, reason.code == ReasonCode::kInvalidArgument);
    }
    Reason reason;
    CPPUNIT_ASSERT(!parse_selector("zone=a,tier in b", reason));
    CPPUNIT_ASSERT(reason.detail.find("'tier in b'") != std::string::npos);
  }

  void operators_hold_as_documented() {
    const LabelSet labels{{{"zone", "kelburn"}, {"empty", ""}}};
    CPPUNIT_ASSERT(selects("zone=kelburn", labels));
    CPPUNIT_ASSERT(!selects("zone=petone", labels));
    CPPUNIT_ASSERT(!selects("absent=x", labels));
    CPPUNIT_ASSERT(selects("zone!=petone", labels));
    CPPUNIT_ASSERT(!selects("zone!=kelburn", labels));
    CPPUNIT_ASSERT(selects("absent!=x", labels));
    CPPUNIT_ASSERT(selects("zone in (petone,kelburn)", labels));
    CPPUNIT_ASSERT(!selects("absent in (x)", labels));
    CPPUNIT_ASSERT(!selects("zone notin (petone,kelburn)", labels));
    CPPUNIT_ASSERT(selects("absent notin (x)", labels));
    CPPUNIT_ASSERT(selects("empty", labels));
    CPPUNIT_ASSERT(selects("empty=", labels));
    CPPUNIT_ASSERT(!selects("absent=", labels));
    CPPUNIT_ASSERT(!selects("!empty", labels));
    CPPUNIT_ASSERT(selects("!absent", labels));
  }

  void all_clauses_must_hold() {
    const LabelSet labels{{{"zone", "kelburn"}, {"tier", "a"}}};
    CPPUNIT_ASSERT(selects("zone=kelburn,tier in (a,b),!gone", labels));
    CPPUNIT_ASSERT(!selects("zone=kelburn,tier in (b),!gone", labels));
    CPPUNIT_ASSERT(!selects("zone=petone,tier in (a,b),!gone", labels));
    CPPUNIT_ASSERT(!selects("zone=kelburn,tier in (a,b),!zone", labels));
  }

 private:
  static bool selects(const std::string& text, const LabelSet& labels) {
    Reason reason;
    const auto selector = parse_selector(text, reason);
    CPPUNIT_ASSERT_MESSAGE(text, selector);
    return selector->matches(labels);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SelectorTextTest);

}  // namespace cairnhollow::declared::config
