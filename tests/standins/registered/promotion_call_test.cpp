// The stand-in of the promotion call answers and promotes as the platform's page says, and records what came.
#include "standins/registered/promotion_call.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "simulation/world.h"

namespace cairnhollow::standins::registered {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kCallEndpoint{"10.9.0.1", 8782};
const BackendName kFirst("b1");
const BackendName kSecond("b2");
const BackendName kThird("b3");

runtime::HttpRequest print_order(const BackendName& backend, std::uint64_t fencing) {
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPost;
  request.target = "/promotion";
  request.headers.fields["x-lease-holder"] = "control-1";
  request.headers.fields["x-fencing-token"] = std::to_string(fencing);
  request.body = fmt::format(R"({{"Service":"group-1","Id":"{}"}})", backend.value);
  return request;
}

/// One group of three, of which the first leads, and the promotion call.
class PromotionScene {
 public:
  PromotionScene() : model_(GroupName("group-1"), {kFirst, kSecond, kThird}, Duration(0)), world_({}) {
    for (const BackendName& backend : {kFirst, kSecond, kThird}) model_.member(backend).running = true;
    world_.start({"promotion", kCallEndpoint.address, ZoneName("z")}, [this](runtime::Runtime& runtime) {
      auto role = make_promotion_call(runtime, {{&model_, &attempts_}}, {kCallEndpoint}, history_);
      call_ = role.get();
      return role;
    });
    world_.start_bare({"control-1", "10.1.0.1", ZoneName("z")});
    world_.run_for(milliseconds(10));
  }

  /// Sends an order and goes on; its answer's status lands in `statuses()` when it comes.
  void send(runtime::HttpRequest request) {
    runtime::Runtime& runtime = world_.runtime("control-1");
    runtime.spawn("order", exchange(runtime, std::move(request)));
    world_.run_for(milliseconds(10));
  }
  void send(const BackendName& backend, std::uint64_t fencing) { send(print_order(backend, fencing)); }

  void run_for(Duration duration) { world_.run_for(duration); }
  GroupModel& model() { return model_; }
  PromotionCall& call() { return *call_; }
  std::vector<Attempt>& attempts() { return attempts_; }
  [[nodiscard]] const PromotionHistory& history() const { return history_; }
  [[nodiscard]] const std::vector<unsigned>& statuses() const { return statuses_; }

 private:
  Awaitable<void> exchange(runtime::Runtime& runtime, runtime::HttpRequest request) {
    Reason reason;
    const TimePoint deadline = runtime.now() + seconds(1);
    const auto connection = co_await runtime.http().connect(kCallEndpoint, deadline, reason);
    if (!connection) co_return;
    runtime::SendState sent = runtime::SendState::kNotSent;
    const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
    if (response) statuses_.push_back(response->status);
  }

  GroupModel model_;
  std::vector<Attempt> attempts_;
  PromotionHistory history_;
  std::vector<unsigned> statuses_;
  PromotionCall* call_ = nullptr;
  simulation::World world_;
};

void expect_leader(PromotionScene& scene, const BackendName& backend) {
  CPPUNIT_ASSERT(scene.model().leader() != nullptr);
  CPPUNIT_ASSERT_EQUAL(backend.value, scene.model().leader()->value);
}

}  // namespace

class PromotionCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionCallTest);
  CPPUNIT_TEST(a_replica_leads_some_hundred_milliseconds_later);
  CPPUNIT_TEST(the_present_primary_is_not_promoted_again);
  CPPUNIT_TEST(a_backend_that_does_not_run_or_is_unknown_is_refused);
  CPPUNIT_TEST(a_request_that_is_no_order_is_refused_and_not_recorded);
  CPPUNIT_TEST(tokens_are_not_looked_at_and_every_order_is_recorded);
  CPPUNIT_TEST(a_held_order_takes_effect_after_its_sender_has_given_up);
  CPPUNIT_TEST(an_effect_tells_which_acknowledged_commits_the_log_lacks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_replica_leads_some_hundred_milliseconds_later() {
    PromotionScene scene;
    scene.send(kSecond, 3);
    CPPUNIT_ASSERT(scene.statuses() == std::vector<unsigned>{200});
    expect_leader(scene, kFirst);
    scene.run_for(milliseconds(400));
    expect_leader(scene, kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scene.history().effects.size());
  }

  /// Guards against an order for the present primary that makes it lead again, after another was promoted.
  void the_present_primary_is_not_promoted_again() {
    PromotionScene scene;
    scene.send(kSecond, 3);
    scene.run_for(milliseconds(100));
    scene.send(kFirst, 3);  // still the present primary
    scene.run_for(seconds(2));
    CPPUNIT_ASSERT((scene.statuses() == std::vector<unsigned>{200, 200}));
    expect_leader(scene, kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.model().promotions());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, scene.model().member(kSecond).term);
  }

  void a_backend_that_does_not_run_or_is_unknown_is_refused() {
    PromotionScene scene;
    scene.model().member(kSecond).running = false;
    scene.model().member(kFirst).running = false;
    scene.send(kSecond, 3);
    scene.send(kFirst, 3);  // not even as the present primary
    scene.send(BackendName("b9"), 3);
    scene.run_for(seconds(1));
    CPPUNIT_ASSERT((scene.statuses() == std::vector<unsigned>{409, 409, 409}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, scene.model().promotions());
  }

  void a_request_that_is_no_order_is_refused_and_not_recorded() {
    PromotionScene scene;
    runtime::HttpRequest without_token = print_order(kSecond, 3);
    without_token.headers.fields.erase("x-fencing-token");
    scene.send(without_token);
    runtime::HttpRequest without_body = print_order(kSecond, 3);
    without_body.body = "[";
    scene.send(without_body);
    CPPUNIT_ASSERT((scene.statuses() == std::vector<unsigned>{400, 400}));
    CPPUNIT_ASSERT(scene.history().arrivals.empty());
  }

  void tokens_are_not_looked_at_and_every_order_is_recorded() {
    PromotionScene scene;
    scene.model().member(kThird).running = false;
    scene.send(kSecond, 5);
    scene.run_for(seconds(1));
    scene.send(kFirst, 4);
    scene.send(kThird, 5);
    scene.run_for(seconds(1));
    expect_leader(scene, kFirst);
    const auto& arrivals = scene.history().arrivals;
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, arrivals.size());
    CPPUNIT_ASSERT_EQUAL(std::string("control-1"), arrivals[1].holder.value);
    CPPUNIT_ASSERT_EQUAL(std::string("group-1"), arrivals[1].group.value);
    CPPUNIT_ASSERT_EQUAL(kFirst.value, arrivals[1].backend.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, arrivals[1].fencing);
    CPPUNIT_ASSERT_EQUAL(200U, arrivals[1].status);
    CPPUNIT_ASSERT_EQUAL(409U, arrivals[2].status);
    CPPUNIT_ASSERT(arrivals[0].at < arrivals[1].at);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_promotion_violations(scene.history()).size());
  }

  /// Guards against a slow platform that forgets what it received once the sender has closed the connection.
  void a_held_order_takes_effect_after_its_sender_has_given_up() {
    PromotionScene scene;
    scene.call().hold_orders(seconds(3), seconds(4));
    scene.send(kSecond, 3);
    scene.run_for(milliseconds(2500));
    CPPUNIT_ASSERT(scene.statuses().empty());
    expect_leader(scene, kFirst);
    CPPUNIT_ASSERT_EQUAL(0U, scene.history().arrivals.front().status);
    scene.call().hold_orders(Duration(0), Duration(0));
    scene.send(kThird, 4);
    scene.run_for(milliseconds(400));
    expect_leader(scene, kThird);
    scene.run_for(seconds(2));
    expect_leader(scene, kSecond);
    CPPUNIT_ASSERT_EQUAL(200U, scene.history().arrivals.front().status);
  }

  void an_effect_tells_which_acknowledged_commits_the_log_lacks() {
    PromotionScene scene;
    Attempt acknowledged;
    acknowledged.record = "r0";
    acknowledged.token = "t1";
    acknowledged.outcome = AttemptOutcome::kAcknowledged;
    scene.attempts().push_back(acknowledged);
    scene.model().append(kFirst, "r0", "t1", TimePoint{});
    scene.send(kSecond, 3);
    scene.run_for(seconds(1));
    const std::vector<std::string> expected{"r0 t1"};
    CPPUNIT_ASSERT(scene.history().effects.front().lacking == expected);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, find_promotion_violations(scene.history()).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionCallTest);

}  // namespace cairnhollow::standins::registered
