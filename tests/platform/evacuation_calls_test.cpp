// Tests how control nodes answer the calls that begin and end the evacuation of a zone.
#include <cppunit/extensions/HelperMacros.h>

#include "platform/control_calls.h"
#include "simulation/world.h"

namespace cairnhollow::platform {

namespace {

/// Records the evacuation calls and answers each with `answer`.
class RecordingControlService : public registered::registry::ControlService {
 public:
  Awaitable<bool> replace_document(registered::registry::ConfigurationDocument, Reason&) override {
    co_return false;
  }
  Awaitable<std::optional<std::string>> read_document(Reason&) override { co_return std::nullopt; }
  Awaitable<std::optional<registered::registry::Registration>> register_backend(
      registered::registry::BackendEntry, Reason&) override {
    co_return std::nullopt;
  }
  Awaitable<bool> deregister_backend(BackendName, Reason&) override { co_return false; }
  Awaitable<bool> begin_evacuation(ZoneName zone, Reason& reason) override {
    calls.push_back("begin " + zone.value);
    reason = answer;
    co_return !answer.failed();
  }
  Awaitable<bool> end_evacuation(ZoneName zone, Reason& reason) override {
    calls.push_back("end " + zone.value);
    reason = answer;
    co_return !answer.failed();
  }

  std::vector<std::string> calls;
  Reason answer;
};

}  // namespace

class EvacuationCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationCallsTest);
  CPPUNIT_TEST(forwards_begin_and_end);
  CPPUNIT_TEST(names_unknown_zone);
  CPPUNIT_TEST(answers_503_if_outcome_is_unknown);
  CPPUNIT_TEST(refuses_invalid_zone_names);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"node", "10.0.0.1", ZoneName("a")});
    calls_ = make_control_handler(service_);
  }
  void tearDown() override { world_.reset(); }

  void forwards_begin_and_end() {
    CPPUNIT_ASSERT_EQUAL(200U, call(runtime::HttpMethod::kPost, "/evacuations/gl-erie").status);
    CPPUNIT_ASSERT_EQUAL(200U, call(runtime::HttpMethod::kDelete, "/evacuations/gl-erie").status);
    CPPUNIT_ASSERT(service_.calls == (std::vector<std::string>{"begin gl-erie", "end gl-erie"}));
  }

  void names_unknown_zone() {
    service_.answer = Reason{ReasonCode::kNotFound, "evacuate_zone", "gl-eire", "no such zone is known"};
    for (const auto method : {runtime::HttpMethod::kPost, runtime::HttpMethod::kDelete}) {
      const auto response = call(method, "/evacuations/gl-eire");
      CPPUNIT_ASSERT_EQUAL(404U, response.status);
      CPPUNIT_ASSERT(response.body.find("gl-eire") != std::string::npos);
    }
  }

  void answers_503_if_outcome_is_unknown() {
    service_.answer = Reason{ReasonCode::kNoQuorum, "submit", "", "no leader is known here"};
    CPPUNIT_ASSERT_EQUAL(503U, call(runtime::HttpMethod::kPost, "/evacuations/gl-erie").status);
  }

  void refuses_invalid_zone_names() {
    const std::vector<std::string> names{"", "a/b", "a%20b", "a b", std::string(200, 'a'), "\xff"};
    for (const std::string& name : names) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 400U,
                                   call(runtime::HttpMethod::kPost, "/evacuations/" + name).status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 400U,
                                   call(runtime::HttpMethod::kDelete, "/evacuations/" + name).status);
    }
    CPPUNIT_ASSERT_EQUAL(404U, call(runtime::HttpMethod::kGet, "/evacuations/gl-erie").status);
    CPPUNIT_ASSERT(service_.calls.empty());
  }

 private:
  runtime::HttpResponse call(runtime::HttpMethod method, const std::string& target) {
    runtime::HttpRequest request;
    request.method = method;
    request.target = target;
    std::optional<runtime::HttpResponse> response;
    const auto handle = [&]() -> Awaitable<void> { response = co_await calls_->handle(request, 1); };
    runtime_->spawn("handle", handle());
    world_->run_for(std::chrono::milliseconds(10));
    CPPUNIT_ASSERT(response);
    return *response;
  }

  RecordingControlService service_;
  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<runtime::HttpHandler> calls_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationCallsTest);

}  // namespace cairnhollow::platform
