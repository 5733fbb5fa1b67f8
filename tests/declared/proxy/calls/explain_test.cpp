// Tests GET /v1/explain: the executors' past decision, or the decision they would make now.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/json.hpp>

#include "http/problem.h"
#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using std::chrono::seconds;

boost::json::object object_of(const runtime::HttpResponse& response) {
  boost::system::error_code error;
  const auto value = boost::json::parse(response.body, error);
  CPPUNIT_ASSERT_MESSAGE(response.body, !error && value.is_object());
  return value.as_object();
}

std::vector<std::string> backends_of(const boost::json::object& decision, std::string_view member) {
  std::vector<std::string> names;
  for (const auto& entry : decision.at(member).as_array()) {
    names.emplace_back(entry.as_object().at("backend").as_string());
  }
  return names;
}

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(test_explains_a_recent_write);
  CPPUNIT_TEST(test_explains_a_hypothetical_read);
  CPPUNIT_TEST(test_explains_a_missing_route);
  CPPUNIT_TEST(test_reports_all_parameter_errors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void test_explains_a_recent_write() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    const auto written = deployment.write(caller, "one");
    const auto decision = object_of(deployment.get(0, "/v1/explain?session=session-1&number=1"));
    CPPUNIT_ASSERT_EQUAL(std::string("records"), std::string(decision.at("group").as_string()));
    CPPUNIT_ASSERT_EQUAL(std::string("decks"), std::string(decision.at("route").as_string()));
    CPPUNIT_ASSERT(backends_of(decision, "candidates") == std::vector<std::string>{written.backend});
    const std::vector<std::string> replicas = {"database-1", "database-2"};
    CPPUNIT_ASSERT(backends_of(decision, "passed_over") == replicas);
    const auto& first = decision.at("passed_over").as_array().front().as_object();
    CPPUNIT_ASSERT_EQUAL(std::string("not_primary"), std::string(first.at("code").as_string()));
    CPPUNIT_ASSERT_EQUAL(404U, deployment.get(1, "/v1/explain?session=session-1&number=1").status);
  }

  void test_explains_a_hypothetical_read() {
    ProxyWorld deployment;
    auto& caller = deployment.add_caller(0);
    deployment.write(caller, "one");
    deployment.world().run_for(seconds(1));
    const std::string target = "/v1/explain?database=decks&partition_key=learner-1&kind=read";
    const auto without_token = object_of(deployment.get(1, target));
    CPPUNIT_ASSERT(backends_of(without_token, "candidates") == std::vector<std::string>{"database-0"});
    const auto with_token = object_of(deployment.get(1, target + "&session_token=" + caller.token));
    const std::vector<std::string> in_order = {"database-1", "database-2", "database-0"};
    CPPUNIT_ASSERT(backends_of(with_token, "candidates") == in_order);
    CPPUNIT_ASSERT(backends_of(with_token, "passed_over").empty());
    CPPUNIT_ASSERT_EQUAL(std::string("database-1"), deployment.read(moved_to_other_proxy(caller)).backend);
  }

  void test_explains_a_missing_route() {
    ProxyWorld deployment;
    const auto decision =
        object_of(deployment.get(0, "/v1/explain?database=unknown&partition_key=k&kind=read"));
    CPPUNIT_ASSERT(backends_of(decision, "candidates").empty());
    const auto& refusal = decision.at("refusal").as_object();
    CPPUNIT_ASSERT_EQUAL(std::string("no_route"), std::string(refusal.at("code").as_string()));
  }

  void test_reports_all_parameter_errors() {
    ProxyWorld deployment;
    const auto response = deployment.get(0, "/v1/explain?kind=delete");
    CPPUNIT_ASSERT_EQUAL(400U, response.status);
    const auto problem = http::parse_problem(response.body);
    CPPUNIT_ASSERT(problem.has_value());
    for (const auto* field : {"database:", "partition_key:", "kind:"}) {
      CPPUNIT_ASSERT_MESSAGE(problem->reason.detail, problem->reason.detail.find(field) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(400U, deployment.get(0, "/v1/explain?session=s&number=x").status);
    CPPUNIT_ASSERT_EQUAL(
        400U,
        deployment.get(0, "/v1/explain?database=decks&partition_key=k&kind=read&session_token=x").status);
  }

 private:
  static Caller& moved_to_other_proxy(Caller& caller) {
    caller.client.move_to(ProxyWorld::proxy_endpoint(1));
    return caller;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
