// Assertions on call answers for tests of whole proxies.
#pragma once

#include <cppunit/TestAssert.h>

#include <string>
#include <vector>

#include "http/problem.h"
#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {

/// Returns the entries of the record that was read. Fails the test if the answer has none.
inline std::vector<std::string> entries_of(const standins::callers::CallAnswer& answer) {
  Reason reason;
  const auto entries = standins::callers::parse_entries(answer.result, reason);
  const std::string why = answer.reason.to_string() + reason.to_string() + " in " + answer.result;
  CPPUNIT_ASSERT_MESSAGE(why, entries.has_value());
  return *entries;
}

inline void assert_done(const standins::callers::CallAnswer& answer) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason.to_string(), std::string("done"), answer.stated_outcome);
}

inline void assert_refused(const standins::callers::CallAnswer& answer,
                           standins::callers::CallOutcome outcome, ReasonCode code) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.reason.to_string(), std::string(reason_code_name(code)),
                               std::string(reason_code_name(answer.reason.code)));
  CPPUNIT_ASSERT(answer.outcome == outcome);
  CPPUNIT_ASSERT(!answer.reason.step.empty());
}

}  // namespace cairnhollow::declared::proxy
