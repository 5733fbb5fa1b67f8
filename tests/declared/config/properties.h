// Runs rapidcheck properties as CppUnit tests, with a fixed seed.
#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace cairnhollow::declared::config {

/// Fails the CppUnit test with rapidcheck's counterexample if the property does not hold.
template <class Property>
void assert_property(const std::string& name, Property property, int cases = 300) {
  rc::detail::TestParams parameters;
  parameters.seed = 20'261'202;
  parameters.maxSuccess = cases;
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  const auto result = rc::detail::checkTestable(std::move(property), metadata, parameters);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  CPPUNIT_ASSERT_MESSAGE(name + ": " + text.str(), result.template is<rc::detail::SuccessResult>());
}

}  // namespace cairnhollow::declared::config
