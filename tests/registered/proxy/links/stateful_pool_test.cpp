// Guards against links that carry state of another session or serve another tenant.
#include "registered/proxy/links/stateful_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Keeps the state that was set on it, as a backend does.
class RecordingLink : public BackendLink {
 public:
  Awaitable<std::optional<Answer>> run(BackendRequest request, TimePoint /*deadline*/,
                                       runtime::SendState& sent, Reason& /*reason*/) override {
    sent = runtime::SendState::kMaybeSent;
    if (const auto* set = std::get_if<SetValue>(&request)) values[set->name] = set->value;
    if (const auto* prepare = std::get_if<Prepare>(&request)) prepared[prepare->name] = prepare->shape;
    if (std::holds_alternative<ResetState>(request)) {
      values.clear();
      prepared.clear();
      ++resets;
    }
    ++requests;
    Answer answer;
    if (fails) answer.refusal = Refusal::kFailed;
    co_return answer;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return std::nullopt;
  }
  void close() override { open = false; }
  [[nodiscard]] bool is_open() const override { return open; }
  [[nodiscard]] std::string peer() const override { return "backend"; }

  SessionValues values;
  SessionValues prepared;
  int requests = 0;
  int resets = 0;
  bool fails = false;
  bool open = true;
};

class RecordingDialer : public BackendDialer {
 public:
  explicit RecordingDialer(runtime::Runtime& runtime) : runtime_(runtime) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint deadline,
                                               std::optional<Refusal>& refusal, Reason& reason) override {
    ++dials;
    tenants.push_back(address.tenant.value);
    if (full) {
      refusal = Refusal::kConnectionLimit;
      reason = Reason{ReasonCode::kUnreachable, "open_session", "backend", "full"};
      co_return nullptr;
    }
    co_await runtime_.sleep_for(takes);
    if (runtime_.now() > deadline) co_return nullptr;
    links.push_back(std::make_shared<RecordingLink>());
    co_return links.back();
  }
  std::vector<std::shared_ptr<RecordingLink>> links;
  std::vector<std::string> tenants;  ///< of each dial
  bool full = false;
  int dials = 0;
  Duration takes{0};

 private:
  runtime::Runtime& runtime_;
};

struct Taken {
  bool finished = false;
  std::shared_ptr<StatefulLink> link;
  std::optional<Refusal> refusal;
  bool in_order = false;
};

Awaitable<void> take_for(runtime::Runtime& runtime, StatefulPool& pool, LinkRequest wish, Taken& taken) {
  Reason reason;
  const TimePoint deadline = runtime.now() + milliseconds(100);
  const LinkDeadlines deadlines{deadline, deadline};
  taken.link = co_await pool.acquire(std::move(wish), deadlines, taken.refusal, reason);
  taken.finished = true;
}

Awaitable<void> take(runtime::Runtime& runtime, StatefulPool& pool, SessionValues values,
                     std::optional<PreparedShape> prepared, Taken& taken) {
  Reason reason;
  const TimePoint deadline = runtime.now() + milliseconds(100);
  const LinkDeadlines deadlines{deadline, deadline};
  LinkRequest wish;
  wish.values = values;
  taken.link = co_await pool.acquire(std::move(wish), deadlines, taken.refusal, reason);
  if (taken.link)
    taken.in_order = co_await taken.link->apply_session_state(values, prepared, deadline, reason);
  taken.finished = true;
}

}  // namespace

class StatefulPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatefulPoolTest);
  CPPUNIT_TEST(session_state_is_applied_to_a_link);
  CPPUNIT_TEST(foreign_values_are_reset);
  CPPUNIT_TEST(a_link_with_the_same_values_is_preferred);
  CPPUNIT_TEST(the_limit_holds_and_returned_links_are_passed_on);
  CPPUNIT_TEST(closed_links_are_not_given_out);
  CPPUNIT_TEST(links_to_a_incarnation_that_is_over_are_closed);
  CPPUNIT_TEST(a_link_that_takes_no_session_state_is_closed);
  CPPUNIT_TEST(a_full_backend_is_told);
  CPPUNIT_TEST(a_full_backend_is_not_dialled_again_at_once);
  CPPUNIT_TEST(idle_links_but_one_are_closed_in_time);
  CPPUNIT_TEST(a_new_link_may_take_longer_than_the_wait_for_a_free_one);
  CPPUNIT_TEST(a_link_serves_one_tenant);
  CPPUNIT_TEST(the_link_unused_for_longest_makes_room_for_another_tenant);
  CPPUNIT_TEST(a_full_backend_takes_a_link_in_the_place_of_an_idle_one);
  CPPUNIT_TEST(links_beyond_a_lower_limit_close_at_once);
  CPPUNIT_TEST(questions_of_the_proxys_own_take_any_tenants_link);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    dialer_ = std::make_unique<RecordingDialer>(*runtime_);
    pool_ = std::make_unique<StatefulPool>(
        *runtime_, *dialer_, BackendAddress{{"10.0.0.2", 9000}, GroupName("group"), BackendName("backend")});
    pool_->set_limit(2);
  }
  void tearDown() override {
    world_.reset();
    pool_.reset();
  }

  void session_state_is_applied_to_a_link() {
    const PreparedShape shape{true, "q2c"};
    const Taken taken = take_one({{"tag", "a"}}, shape);
    CPPUNIT_ASSERT(taken.in_order);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), dialer_->links[0]->values.at("tag"));
    CPPUNIT_ASSERT_EQUAL(std::string("q2c"),
                         dialer_->links[0]->prepared.at(taken.link->prepared_name(shape)));
    const int before = dialer_->links[0]->requests;
    pool_->release(taken.link);
    const Taken again = take_one({{"tag", "a"}}, shape);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no state is applied twice", before, dialer_->links[0]->requests);
    CPPUNIT_ASSERT(again.link == taken.link);
  }

  void foreign_values_are_reset() {
    pool_->release(take_one({{"tag", "a"}, {"locale", "mi"}}).link);
    const Taken other = take_one({{"tag", "b"}});
    CPPUNIT_ASSERT(other.in_order);
    CPPUNIT_ASSERT_EQUAL(1, dialer_->links[0]->resets);
    CPPUNIT_ASSERT(dialer_->links[0]->values == (SessionValues{{"tag", "b"}}));
  }

  void a_link_with_the_same_values_is_preferred() {
    const Taken first = take_one({{"tag", "a"}});
    const Taken second = take_one({{"tag", "b"}});
    pool_->release(first.link);
    pool_->release(second.link);
    CPPUNIT_ASSERT(take_one({{"tag", "a"}}).link == first.link);
  }

  /// Acquires a link of the tenant and releases it.
  std::shared_ptr<StatefulLink> use(const std::string& tenant, bool any_tenant = false) {
    Taken taken;
    runtime_->spawn("take",
                    take_for(*runtime_, *pool_, LinkRequest{TenantName(tenant), {}, any_tenant}, taken));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(taken.finished);
    if (taken.link) pool_->release(taken.link);
    return taken.link;
  }

  void a_link_serves_one_tenant() {
    const auto first = use("one");
    CPPUNIT_ASSERT(use("two") != first);
    CPPUNIT_ASSERT(use("one") == first);
    CPPUNIT_ASSERT(dialer_->tenants == (std::vector<std::string>{"one", "two"}));
  }

  void the_link_unused_for_longest_makes_room_for_another_tenant() {
    const auto one = use("one");
    const auto two = use("two");
    use("one");
    const auto three = use("three");
    CPPUNIT_ASSERT(one->link().is_open() && !two->link().is_open());
    CPPUNIT_ASSERT_EQUAL(std::string("three"), three->tenant().value);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one link is opened for each tenant", std::size_t{3}, dialer_->links.size());
  }

  void a_full_backend_takes_a_link_in_the_place_of_an_idle_one() {
    const auto one = use("one");
    dialer_->full = true;
    CPPUNIT_ASSERT(use("two") == nullptr);
    dialer_->full = false;
    CPPUNIT_ASSERT_MESSAGE("an idle link is replaced before the pause ends", use("two") != nullptr);
    CPPUNIT_ASSERT(!one->link().is_open());
  }

  /// When the proxies of a lost zone return, those that took over their work hold idle links beyond their
  /// share for 20 s, and the backend accepts no others meanwhile.
  void links_beyond_a_lower_limit_close_at_once() {
    const auto one = use("one");
    const auto two = use("two");
    pool_->set_limit(1);
    CPPUNIT_ASSERT_MESSAGE("the least recently used link is closed", !one->link().is_open());
    CPPUNIT_ASSERT(two->link().is_open());
  }

  void questions_of_the_proxys_own_take_any_tenants_link() {
    const auto one = use("one");
    CPPUNIT_ASSERT(use("", true) == one);
    CPPUNIT_ASSERT(use("") != one);
  }

  void a_new_link_may_take_longer_than_the_wait_for_a_free_one() {
    dialer_->takes = milliseconds(20);
    Taken taken;
    const TimePoint now = runtime_->now();
    const LinkDeadlines deadlines{now + milliseconds(8), now + milliseconds(100)};
    const auto acquire = [&]() -> Awaitable<void> {
      Reason reason;
      LinkRequest wish;
      taken.link = co_await pool_->acquire(std::move(wish), deadlines, taken.refusal, reason);
      taken.finished = true;
    };
    runtime_->spawn("acquire", acquire());
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT(taken.finished);
    CPPUNIT_ASSERT(taken.link != nullptr);
  }

  void the_limit_holds_and_returned_links_are_passed_on() {
    const Taken first = take_one({});
    const Taken second = take_one({});
    Taken third;
    runtime_->spawn("take", take(*runtime_, *pool_, {}, std::nullopt, third));
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(!third.finished);
    pool_->release(first.link);
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(third.link == first.link);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, dialer_->links.size());
    CPPUNIT_ASSERT_MESSAGE("the wait for a link times out", take_one({}).link == nullptr);
  }

  void closed_links_are_not_given_out() {
    const Taken first = take_one({});
    pool_->release(first.link);
    dialer_->links[0]->open = false;
    CPPUNIT_ASSERT(take_one({}).link != first.link);
  }

  void links_to_a_incarnation_that_is_over_are_closed() {
    const Taken idle = take_one({});
    const Taken used = take_one({});
    pool_->release(idle.link);
    pool_->retire();
    CPPUNIT_ASSERT(!dialer_->links[0]->open);
    CPPUNIT_ASSERT_MESSAGE("a link in use stays open until its release", dialer_->links[1]->open);
    pool_->release(used.link);
    CPPUNIT_ASSERT(!dialer_->links[1]->open);
  }

  void a_link_that_takes_no_session_state_is_closed() {
    pool_->release(take_one({}).link);
    dialer_->links[0]->fails = true;
    const Taken taken = take_one({{"tag", "a"}});
    CPPUNIT_ASSERT(!taken.in_order);
    CPPUNIT_ASSERT(!dialer_->links[0]->open);
  }

  void a_full_backend_is_told() {
    dialer_->full = true;
    const Taken taken = take_one({});
    CPPUNIT_ASSERT(!taken.link);
    CPPUNIT_ASSERT(taken.refusal == Refusal::kConnectionLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool_->in_use());
  }

  void a_full_backend_is_not_dialled_again_at_once() {
    dialer_->full = true;
    CPPUNIT_ASSERT(!take_one({}).link);
    CPPUNIT_ASSERT(pool_->is_refused());
    const TimePoint before = runtime_->now();
    const Taken again = take_one({});
    CPPUNIT_ASSERT(again.refusal == Refusal::kConnectionLimit);
    CPPUNIT_ASSERT_MESSAGE("the refusal does not wait", runtime_->now() - before <= milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(1, dialer_->dials);
    dialer_->full = false;
    world_->run_for(milliseconds(200));
    CPPUNIT_ASSERT(!pool_->is_refused());
    CPPUNIT_ASSERT(take_one({}).link != nullptr);
  }

  void idle_links_but_one_are_closed_in_time() {
    const Taken first = take_one({});
    const Taken second = take_one({});
    pool_->release(first.link);
    pool_->release(second.link);
    pool_->trim(runtime_->now(), 1);
    CPPUNIT_ASSERT(dialer_->links[0]->open && dialer_->links[1]->open);
    world_->run_for(seconds(3));
    pool_->trim(runtime_->now(), 1);
    CPPUNIT_ASSERT(!dialer_->links[0]->open && dialer_->links[1]->open);
  }

 private:
  Taken take_one(SessionValues values, std::optional<PreparedShape> prepared = std::nullopt) {
    Taken taken;
    runtime_->spawn("take", take(*runtime_, *pool_, std::move(values), std::move(prepared), taken));
    world_->run_until([&] { return taken.finished; }, seconds(1));
    CPPUNIT_ASSERT(taken.finished);
    return taken;
  }

  std::unique_ptr<simulation::World> world_;
  simulation::VirtualRuntime* runtime_ = nullptr;
  std::unique_ptr<RecordingDialer> dialer_;
  std::unique_ptr<StatefulPool> pool_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatefulPoolTest);

}  // namespace cairnhollow::registered::proxy
