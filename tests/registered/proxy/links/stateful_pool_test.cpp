// Guards against links that carry state of another session or serve another tenant.
#include "registered/proxy/links/stateful_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

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
    co_await runtime_.sleep_for(dial_delay);
    if (runtime_.now() > deadline) co_return nullptr;
    links.push_back(std::make_shared<RecordingLink>());
    co_return links.back();
  }
  std::vector<std::shared_ptr<RecordingLink>> links;
  std::vector<std::string> tenants;  ///< tenant of each dial
  bool full = false;
  int dials = 0;
  Duration dial_delay{0};

 private:
  runtime::Runtime& runtime_;
};

struct AcquireResult {
  bool finished = false;
  std::shared_ptr<StatefulLink> link;
  std::optional<Refusal> refusal;
  bool applied = false;
};

Awaitable<void> acquire_link(runtime::Runtime& runtime, StatefulPool& pool, LinkRequest link_request,
                             AcquireResult& result) {
  Reason reason;
  const TimePoint deadline = runtime.now() + milliseconds(100);
  const LinkDeadlines deadlines{deadline, deadline};
  result.link = co_await pool.acquire(std::move(link_request), deadlines, result.refusal, reason);
  result.finished = true;
}

Awaitable<void> acquire_and_apply(runtime::Runtime& runtime, StatefulPool& pool, SessionValues values,
                                  std::optional<PreparedShape> prepared, AcquireResult& result) {
  Reason reason;
  const TimePoint deadline = runtime.now() + milliseconds(100);
  const LinkDeadlines deadlines{deadline, deadline};
  LinkRequest link_request;
  link_request.values = values;
  result.link = co_await pool.acquire(std::move(link_request), deadlines, result.refusal, reason);
  if (result.link)
    result.applied = co_await result.link->apply_session_state(values, prepared, deadline, reason);
  result.finished = true;
}

}  // namespace

class StatefulPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatefulPoolTest);
  CPPUNIT_TEST(applies_session_state);
  CPPUNIT_TEST(tells_whether_setup_sends_anything);
  CPPUNIT_TEST(resets_values_of_other_sessions);
  CPPUNIT_TEST(prefers_link_with_same_values);
  CPPUNIT_TEST(waits_at_limit_for_released_link);
  CPPUNIT_TEST(discards_closed_links);
  CPPUNIT_TEST(retire_closes_links);
  CPPUNIT_TEST(closes_link_when_setup_fails);
  CPPUNIT_TEST(reports_connection_refusal);
  CPPUNIT_TEST(pauses_dialling_after_refusal);
  CPPUNIT_TEST(trims_idle_links_but_one);
  CPPUNIT_TEST(keeps_some_idle_links_longer);
  CPPUNIT_TEST(dial_may_exceed_wait_for_free_link);
  CPPUNIT_TEST(link_serves_one_tenant);
  CPPUNIT_TEST(evicts_least_recently_used_link_for_other_tenant);
  CPPUNIT_TEST(replaces_idle_link_at_full_backend);
  CPPUNIT_TEST(lower_limit_closes_idle_links);
  CPPUNIT_TEST(proxy_queries_use_link_of_any_tenant);
  CPPUNIT_TEST(keeps_fewer_links_than_it_may_use);
  CPPUNIT_TEST(tells_when_a_link_may_be_acquired);
  CPPUNIT_TEST(has_room_for_the_tenant_of_an_idle_link);
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

  void applies_session_state() {
    const PreparedShape shape{true, "q2c"};
    const AcquireResult result = acquire_one({{"tag", "a"}}, shape);
    CPPUNIT_ASSERT(result.applied);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), dialer_->links[0]->values.at("tag"));
    CPPUNIT_ASSERT_EQUAL(std::string("q2c"),
                         dialer_->links[0]->prepared.at(result.link->prepared_name(shape)));
    const int before = dialer_->links[0]->requests;
    pool_->release(result.link);
    const AcquireResult again = acquire_one({{"tag", "a"}}, shape);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no state is applied twice", before, dialer_->links[0]->requests);
    CPPUNIT_ASSERT(again.link == result.link);
  }

  void tells_whether_setup_sends_anything() {
    const PreparedShape shape{true, "q2c"};
    const auto link = acquire_one({{"tag", "a"}}, shape).link;
    CPPUNIT_ASSERT(!link->needs_setup({{"tag", "a"}}, shape));
    CPPUNIT_ASSERT(!link->needs_setup({{"tag", "a"}}, std::nullopt));
    CPPUNIT_ASSERT_MESSAGE("another value", link->needs_setup({{"tag", "b"}}, std::nullopt));
    CPPUNIT_ASSERT_MESSAGE("a further value",
                           link->needs_setup({{"locale", "mi"}, {"tag", "a"}}, std::nullopt));
    CPPUNIT_ASSERT_MESSAGE("a reset", link->needs_setup({}, std::nullopt));
    CPPUNIT_ASSERT_MESSAGE("another shape", link->needs_setup({{"tag", "a"}}, PreparedShape{true, "q3"}));
    link->forget_prepared();
    CPPUNIT_ASSERT(link->needs_setup({{"tag", "a"}}, shape));
  }

  void resets_values_of_other_sessions() {
    pool_->release(acquire_one({{"tag", "a"}, {"locale", "mi"}}).link);
    const AcquireResult other = acquire_one({{"tag", "b"}});
    CPPUNIT_ASSERT(other.applied);
    CPPUNIT_ASSERT_EQUAL(1, dialer_->links[0]->resets);
    CPPUNIT_ASSERT(dialer_->links[0]->values == (SessionValues{{"tag", "b"}}));
  }

  void prefers_link_with_same_values() {
    const AcquireResult first = acquire_one({{"tag", "a"}});
    const AcquireResult second = acquire_one({{"tag", "b"}});
    pool_->release(first.link);
    pool_->release(second.link);
    CPPUNIT_ASSERT(acquire_one({{"tag", "a"}}).link == first.link);
  }

  /// Acquires a link of the tenant and releases it.
  std::shared_ptr<StatefulLink> acquire_and_release(const std::string& tenant, bool any_tenant = false) {
    AcquireResult result;
    runtime_->spawn("take",
                    acquire_link(*runtime_, *pool_, LinkRequest{TenantName(tenant), {}, any_tenant}, result));
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(result.finished);
    if (result.link) pool_->release(result.link);
    return result.link;
  }

  void link_serves_one_tenant() {
    const auto first = acquire_and_release("one");
    CPPUNIT_ASSERT(acquire_and_release("two") != first);
    CPPUNIT_ASSERT(acquire_and_release("one") == first);
    CPPUNIT_ASSERT(dialer_->tenants == (std::vector<std::string>{"one", "two"}));
  }

  void evicts_least_recently_used_link_for_other_tenant() {
    const auto one = acquire_and_release("one");
    const auto two = acquire_and_release("two");
    acquire_and_release("one");
    const auto three = acquire_and_release("three");
    CPPUNIT_ASSERT(one->link().is_open() && !two->link().is_open());
    CPPUNIT_ASSERT_EQUAL(std::string("three"), three->tenant().value);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one link is opened for each tenant", std::size_t{3}, dialer_->links.size());
  }

  void replaces_idle_link_at_full_backend() {
    const auto one = acquire_and_release("one");
    dialer_->full = true;
    CPPUNIT_ASSERT(acquire_and_release("two") == nullptr);
    dialer_->full = false;
    CPPUNIT_ASSERT_MESSAGE("an idle link is replaced before the pause ends",
                           acquire_and_release("two") != nullptr);
    CPPUNIT_ASSERT(!one->link().is_open());
  }

  /// When the proxies of a lost zone return, those that took over their work hold idle links beyond their
  /// share for 20 s, and the backend accepts no others meanwhile.
  void lower_limit_closes_idle_links() {
    const auto one = acquire_and_release("one");
    const auto two = acquire_and_release("two");
    pool_->set_limit(1);
    CPPUNIT_ASSERT_MESSAGE("the least recently used link is closed", !one->link().is_open());
    CPPUNIT_ASSERT(two->link().is_open());
  }

  void keeps_fewer_links_than_it_may_use() {
    pool_->set_limits(2, 3);
    const AcquireResult first = acquire_one({});
    const AcquireResult second = acquire_one({});
    const AcquireResult third = acquire_one({});
    CPPUNIT_ASSERT_MESSAGE("in use", third.link != nullptr);
    pool_->release(first.link);
    CPPUNIT_ASSERT_MESSAGE("not kept", !first.link->link().is_open());
    pool_->release(second.link);
    CPPUNIT_ASSERT(second.link->link().is_open());
    const auto other = acquire_and_release("other");
    CPPUNIT_ASSERT_MESSAGE("makes room for a new one", !second.link->link().is_open() && other);
    pool_->release(third.link);
  }

  void tells_when_a_link_may_be_acquired() {
    const AcquireResult first = acquire_one({});
    const AcquireResult second = acquire_one({});
    int told = 0;
    pool_->set_room_listener([&] { ++told; });
    CPPUNIT_ASSERT(!has_room("tenant"));
    pool_->release(first.link);
    CPPUNIT_ASSERT(told > 0 && has_room("tenant"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool_->in_use());
    CPPUNIT_ASSERT(acquire_one({}).link != nullptr);
    CPPUNIT_ASSERT(!has_room("tenant"));
    pool_->release(second.link);
    pool_->set_room_listener({});
  }

  void has_room_for_the_tenant_of_an_idle_link() {
    const auto idle = acquire_and_release("one");
    const AcquireResult used = acquire_one({});
    dialer_->full = true;
    idle->link().close();
    CPPUNIT_ASSERT(!acquire_one({}).link);
    CPPUNIT_ASSERT_MESSAGE("dialling is paused", !has_room("one"));
    pool_->release(used.link);
    CPPUNIT_ASSERT(has_room(""));
    CPPUNIT_ASSERT_MESSAGE("in exchange for the idle one", has_room("one"));
  }

  void proxy_queries_use_link_of_any_tenant() {
    const auto one = acquire_and_release("one");
    CPPUNIT_ASSERT(acquire_and_release("", true) == one);
    CPPUNIT_ASSERT(acquire_and_release("") != one);
  }

  void dial_may_exceed_wait_for_free_link() {
    dialer_->dial_delay = milliseconds(20);
    AcquireResult result;
    const TimePoint now = runtime_->now();
    const LinkDeadlines deadlines{now + milliseconds(8), now + milliseconds(100)};
    const auto acquire = [&]() -> Awaitable<void> {
      Reason reason;
      LinkRequest link_request;
      result.link = co_await pool_->acquire(std::move(link_request), deadlines, result.refusal, reason);
      result.finished = true;
    };
    runtime_->spawn("acquire", acquire());
    world_->run_for(milliseconds(50));
    CPPUNIT_ASSERT(result.finished);
    CPPUNIT_ASSERT(result.link != nullptr);
  }

  void waits_at_limit_for_released_link() {
    const AcquireResult first = acquire_one({});
    const AcquireResult second = acquire_one({});
    AcquireResult third;
    runtime_->spawn("take", acquire_and_apply(*runtime_, *pool_, {}, std::nullopt, third));
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(!third.finished);
    pool_->release(first.link);
    world_->run_for(milliseconds(10));
    CPPUNIT_ASSERT(third.link == first.link);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, dialer_->links.size());
    CPPUNIT_ASSERT_MESSAGE("the wait for a link times out", acquire_one({}).link == nullptr);
  }

  void discards_closed_links() {
    const AcquireResult first = acquire_one({});
    pool_->release(first.link);
    dialer_->links[0]->open = false;
    CPPUNIT_ASSERT(acquire_one({}).link != first.link);
  }

  void retire_closes_links() {
    const AcquireResult idle = acquire_one({});
    const AcquireResult used = acquire_one({});
    pool_->release(idle.link);
    pool_->retire();
    CPPUNIT_ASSERT(!dialer_->links[0]->open);
    CPPUNIT_ASSERT_MESSAGE("a link in use stays open until its release", dialer_->links[1]->open);
    pool_->release(used.link);
    CPPUNIT_ASSERT(!dialer_->links[1]->open);
  }

  void closes_link_when_setup_fails() {
    pool_->release(acquire_one({}).link);
    dialer_->links[0]->fails = true;
    const AcquireResult result = acquire_one({{"tag", "a"}});
    CPPUNIT_ASSERT(!result.applied);
    CPPUNIT_ASSERT(!dialer_->links[0]->open);
  }

  void reports_connection_refusal() {
    dialer_->full = true;
    const AcquireResult result = acquire_one({});
    CPPUNIT_ASSERT(!result.link);
    CPPUNIT_ASSERT(result.refusal == Refusal::kConnectionLimit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool_->in_use());
  }

  void pauses_dialling_after_refusal() {
    dialer_->full = true;
    CPPUNIT_ASSERT(!acquire_one({}).link);
    CPPUNIT_ASSERT(pool_->is_refused());
    const TimePoint before = runtime_->now();
    const AcquireResult again = acquire_one({});
    CPPUNIT_ASSERT(again.refusal == Refusal::kConnectionLimit);
    CPPUNIT_ASSERT_MESSAGE("the refusal does not wait", runtime_->now() - before <= milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(1, dialer_->dials);
    dialer_->full = false;
    world_->run_for(milliseconds(200));
    CPPUNIT_ASSERT(!pool_->is_refused());
    CPPUNIT_ASSERT(acquire_one({}).link != nullptr);
  }

  void trims_idle_links_but_one() {
    const AcquireResult first = acquire_one({});
    const AcquireResult second = acquire_one({});
    pool_->release(first.link);
    pool_->release(second.link);
    pool_->trim(runtime_->now(), 1);
    CPPUNIT_ASSERT(dialer_->links[0]->open && dialer_->links[1]->open);
    world_->run_for(seconds(3));
    pool_->trim(runtime_->now(), 1);
    CPPUNIT_ASSERT(!dialer_->links[0]->open && dialer_->links[1]->open);
  }

  void keeps_some_idle_links_longer() {
    pool_->set_limit(4);
    pool_->set_lasting(3, seconds(20));
    std::array<AcquireResult, 4> links;
    for (AcquireResult& link : links) link = acquire_one({});
    for (std::size_t link = 1; link < links.size(); ++link) pool_->release(links.at(link).link);
    world_->run_for(seconds(3));
    pool_->trim(runtime_->now(), 1);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the fourth goes, though one is in use", 2, open_links() - 1);
    world_->run_for(seconds(16));
    pool_->trim(runtime_->now(), 1);
    CPPUNIT_ASSERT_EQUAL(3, open_links());
    world_->run_for(seconds(2));
    pool_->trim(runtime_->now(), 1);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("one idle link and the one in use", 2, open_links());
  }

 private:
  /// Whether a link for the tenant is at hand or may be opened.
  bool has_room(const char* tenant) { return pool_->has_idle(TenantName(tenant)) || pool_->may_open(); }
  [[nodiscard]] int open_links() const {
    int open = 0;
    for (const auto& link : dialer_->links) open += link->open ? 1 : 0;
    return open;
  }
  AcquireResult acquire_one(SessionValues values, std::optional<PreparedShape> prepared = std::nullopt) {
    AcquireResult result;
    runtime_->spawn("take",
                    acquire_and_apply(*runtime_, *pool_, std::move(values), std::move(prepared), result));
    world_->run_until([&] { return result.finished; }, seconds(1));
    CPPUNIT_ASSERT(result.finished);
    return result;
  }

  std::unique_ptr<simulation::World> world_;
  simulation::VirtualRuntime* runtime_ = nullptr;
  std::unique_ptr<RecordingDialer> dialer_;
  std::unique_ptr<StatefulPool> pool_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatefulPoolTest);

}  // namespace cairnhollow::registered::proxy
