// Registrations that name no backend come in while a fleet serves: no backend of it is disturbed.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "tests/support/registered_scenario.h"

namespace cairnhollow::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kCallLimit = milliseconds(900);

/// What a backend of group 1 says, but for what is given.
struct Said {
  std::string group = "group-1";
  std::string address = "10.3.1.1:9000";
  std::string state = "ready";
  std::string slots = "5";
};

std::string body(const Said& said) {
  return fmt::format(R"({{"Service":"{}","Addr":"{}","Zone":"a","Version":"v1","Slots":{},"State":"{}",)"
                     R"("ColdRemainingMs":0,"DbRole":"replica","Seq":9000}})",
                     said.group, said.address, said.slots, said.state);
}

Awaitable<void> put(runtime::Runtime& runtime, Endpoint endpoint, runtime::HttpRequest request,
                    std::shared_ptr<unsigned> status) {
  Reason reason;
  const TimePoint deadline = runtime.now() + kCallLimit;
  const auto connection = co_await runtime.http().connect(endpoint, deadline, reason);
  if (!connection) co_return;
  runtime::SendState sent = runtime::SendState::kNotSent;
  const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
  if (response) *status = response->status;
  connection->close();
}

unsigned put(RegisteredFleet& fleet, const Endpoint& endpoint, const std::string& id,
             const std::string& text) {
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPut;
  request.target = "/instances/" + id;
  request.body = text;
  const auto status = std::make_shared<unsigned>(0);
  VirtualRuntime& stranger = fleet.world().runtime("operator");
  stranger.spawn("stranger", put(stranger, endpoint, request, status));
  fleet.world().run_until([&] { return *status != 0; }, kCallLimit);
  return *status;
}

}  // namespace

class MalformedRegistrationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedRegistrationsTest);
  CPPUNIT_TEST(rubbish_under_a_backends_id_disturbs_it_nowhere);
  CPPUNIT_TEST(a_group_that_nobody_named_takes_no_id_and_no_address);
  CPPUNIT_TEST_SUITE_END();

 public:
  void rubbish_under_a_backends_id_disturbs_it_nowhere() {
    tests::play_registered(nullptr, [](RegisteredFleet& fleet) {
      const std::string primary = fleet.primary();
      for (const Endpoint& node : {Endpoint{"10.1.0.1", 8782}, Endpoint{"10.2.0.1", 7441}}) {
        CPPUNIT_ASSERT_EQUAL(400U, put(fleet, node, primary, body({.state = "bored"})));
        CPPUNIT_ASSERT_EQUAL(400U, put(fleet, node, primary, body({.slots = "0"})));
        CPPUNIT_ASSERT_EQUAL(400U, put(fleet, node, primary, "\xff{"));
      }
      fleet.run_for(seconds(1));
      CPPUNIT_ASSERT(!fleet.is_leaving(BackendName(primary)));
      CPPUNIT_ASSERT_EQUAL(primary, fleet.primary());
    });
  }

  void a_group_that_nobody_named_takes_no_id_and_no_address() {
    tests::play_registered(nullptr, [](RegisteredFleet& fleet) {
      const Endpoint control{"10.1.0.2", 8782};
      const std::string primary = fleet.primary();
      CPPUNIT_ASSERT_EQUAL(404U, put(fleet, control, primary, body({.group = "nonsense"})));
      // Nobody answers at the address, so that nothing but the group speaks against it.
      fleet.kill("g1-b3");
      const Said stranger{.group = "nonsense", .address = "10.3.1.3:9000"};
      CPPUNIT_ASSERT_EQUAL(404U, put(fleet, control, "i-stranger", body(stranger)));
      CPPUNIT_ASSERT(!fleet.is_registered(BackendName("i-stranger")));
      CPPUNIT_ASSERT(fleet.is_registered(BackendName("g1-b3")));
      fleet.restart("g1-b3");
      fleet.run_for(seconds(1));
      CPPUNIT_ASSERT_EQUAL(primary, fleet.primary());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedRegistrationsTest);

}  // namespace cairnhollow::simulation
