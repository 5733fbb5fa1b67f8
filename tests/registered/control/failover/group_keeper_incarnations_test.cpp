// Tests failover when backends of a group restart under the same name.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "registered/control/failover/group_keeper.h"
#include "simulation/world.h"
#include "tests/registered/control/promotion_double.h"
#include "tests/support/applied_log.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kTerm = 3;
const GroupName kGroup("records");

/// Status that each backend reports; a backend without an entry does not answer.
using Statuses = std::map<BackendName, BackendStatus>;

class StatusLink : public BackendLink {
 public:
  StatusLink(runtime::Runtime& runtime, const Statuses& statuses, BackendName backend, Duration answer_delay)
      : runtime_(runtime), statuses_(statuses), backend_(std::move(backend)), answer_delay_(answer_delay) {}
  Awaitable<std::optional<Answer>> run(BackendRequest /*request*/, TimePoint /*deadline*/,
                                       runtime::SendState& /*sent*/, Reason& /*reason*/) override {
    std::optional<Answer> answer;
    co_await runtime_.sleep_for(answer_delay_);
    if (statuses_.count(backend_) > 0) answer.emplace();
    co_return answer;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return statuses_.at(backend_);
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return backend_.value; }

 private:
  runtime::Runtime& runtime_;
  const Statuses& statuses_;
  BackendName backend_;
  Duration answer_delay_;
  bool open_ = true;
};

class StatusDialer : public BackendDialer {
 public:
  StatusDialer(runtime::Runtime& runtime, const Statuses& statuses)
      : runtime_(runtime), statuses_(statuses) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    const Duration answer_delay = milliseconds(address.backend == slow ? 100 : 1);
    co_return std::make_shared<StatusLink>(runtime_, statuses_, address.backend, answer_delay);
  }
  BackendName slow;

 private:
  runtime::Runtime& runtime_;
  const Statuses& statuses_;
};

/// Promotes immediately. The backend `loses_log` loses its log just before its promotion.
class FakePromotionCaller : public registry::PromotionCaller {
 public:
  explicit FakePromotionCaller(Statuses& statuses) : statuses_(statuses) {}
  Awaitable<std::shared_ptr<registry::PromotionChannel>> connect(TimePoint /*deadline*/,
                                                                 Reason& /*reason*/) override {
    co_return std::make_shared<PromotionDouble>(
        [this](const registry::PromotionOrder& order, Reason& /*reason*/) { return accept(order); });
  }
  int orders = 0;
  BackendName loses_log;

 private:
  registry::PromotionOutcome accept(const registry::PromotionOrder& order) {
    ++orders;
    BackendStatus& status = statuses_[order.backend];
    status.is_primary = true;
    status.term = kTerm + 1;
    if (order.backend == loses_log) status.received = {1, 0};
    return registry::PromotionOutcome::kAccepted;
  }

  Statuses& statuses_;
};

struct Leader {
  Leader(runtime::Runtime& runtime, double promotion_rate)
      : fleet(runtime),
        log(fleet),
        directory({}, log),
        calls(runtime, log, directory, NodeName("node"), {"10.0.0.1", 7440}),
        leases(runtime, log, fleet, directory, calls, milliseconds(1500)),
        dialer(runtime, statuses),
        prober(runtime, dialer),
        promotions(statuses),
        keeper(runtime, log, fleet, calls, leases, prober, promotions,
               GroupKeeperSettings{NodeName("node"), {}, promotion_rate}) {}

  Statuses statuses;
  registry::FleetStateMachine fleet;
  tests::AppliedLog log;
  ControlNodeDirectory directory;
  LeaderCalls calls;
  LeaseKeeper leases;
  StatusDialer dialer;
  GroupProber prober;
  FakePromotionCaller promotions;
  GroupKeeper keeper;
};

}  // namespace

class GroupKeeperIncarnationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupKeeperIncarnationsTest);
  CPPUNIT_TEST(replaces_a_restarted_primary_immediately);
  CPPUNIT_TEST(does_not_open_with_a_promoted_backend_that_lost_its_log);
  CPPUNIT_TEST(does_not_promote_a_backend_that_restarted_after_the_choice);
  CPPUNIT_TEST(does_not_promote_a_backend_that_lost_its_log_while_waiting);
  CPPUNIT_TEST(does_not_promote_a_member_that_may_lack_earlier_commits);
  CPPUNIT_TEST(makes_no_unproved_choice_before_all_members_answer);
  CPPUNIT_TEST(waits_for_the_primary_after_a_replica_was_replaced);
  CPPUNIT_TEST(counts_unproved_promotions);
  CPPUNIT_TEST(new_keeper_knows_of_a_replacement);
  CPPUNIT_TEST(treats_a_returning_member_as_replaced);
  CPPUNIT_TEST(does_not_promote_a_member_registered_in_the_opening_batch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { start(0); }
  void tearDown() override {
    world_.reset();
    next_.reset();
    leader_.reset();
  }

  void start(double promotion_rate) {
    tearDown();
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"node", "10.0.0.1", ZoneName("a")});
    leader_ = std::make_unique<Leader>(*runtime_, promotion_rate);
    registry::ConfigurationDocument document;
    document.version = 1;
    document.groups = {registry::GroupRule{kGroup, 30, 1}};
    apply(registry::ReplaceDocument{document});
    put("p", 1, 1000, BackendStatus{true, kTerm, {kTerm, 9}});
    put("a", 2, 1000, BackendStatus{false, kTerm, {kTerm, 9}});
    put("b", 3, 1000, BackendStatus{false, kTerm, {kTerm, 6}});
    apply(registry::OpenGroup{kGroup, 0, kTerm, BackendName("p"), 1000});
    leader_->keeper.start();
    world_->run_for(seconds(4));
  }

  void replaces_a_restarted_primary_immediately() {
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(term().open);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), term().primary.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, term().primary_start_time_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, leader_->keeper.unproved_promotions());
  }

  void does_not_open_with_a_promoted_backend_that_lost_its_log() {
    leader_->promotions.loses_log = BackendName("a");
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(2, leader_->promotions.orders);
    CPPUNIT_ASSERT(term().open);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the next candidate", std::string("b"), term().primary.value);
  }

  void does_not_promote_a_backend_that_restarted_after_the_choice() {
    leader_->log.during_barrier = [this] { put("a", 2, 2000, BackendStatus{false, 1, {1, 0}}); };
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(term().open && term().primary.value == "b");
    CPPUNIT_ASSERT_EQUAL(1, leader_->promotions.orders);
  }

  /// The platform accepts one call every two seconds, and another group has just used one.
  void does_not_promote_a_backend_that_lost_its_log_while_waiting() {
    start(0.5);
    const GroupName other("other");
    registry::ConfigurationDocument document;
    document.version = 2;
    document.groups = {registry::GroupRule{kGroup, 30, 1}, registry::GroupRule{other, 30, 1}};
    apply(registry::ReplaceDocument{document});
    put("x", 4, 1000, BackendStatus{true, kTerm, {kTerm, 9}}, other);
    put("y", 5, 1000, BackendStatus{false, kTerm, {kTerm, 9}}, other);
    apply(registry::OpenGroup{other, 0, kTerm, BackendName("x"), 1000});
    world_->run_for(seconds(4));
    put("x", 4, 2000, BackendStatus{false, 1, {1, 0}}, other);
    CPPUNIT_ASSERT(world_->run_until([&] { return leader_->promotions.orders == 1; }, seconds(1)));
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("waits for its turn", !term().open && leader_->promotions.orders == 1);
    leader_->statuses[BackendName("a")] = BackendStatus{false, 1, {1, 0}};
    world_->run_for(seconds(4));
    CPPUNIT_ASSERT(term().open && term().primary.value == "b");
    CPPUNIT_ASSERT_EQUAL(2, leader_->promotions.orders);
  }

  /// No proxy has acknowledged anything in this term, and none of the proxies of earlier terms is left.
  void does_not_promote_a_member_that_may_lack_earlier_commits() {
    leader_->statuses.erase(BackendName("p"));
    leader_->statuses.erase(BackendName("b"));
    put("a", 2, 2000, BackendStatus{false, kTerm, {kTerm - 1, 4}});
    apply(registry::CloseGroup{kGroup, term().epoch});
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(!term().open);
    CPPUNIT_ASSERT_EQUAL(0, leader_->promotions.orders);
  }

  /// The primary's next incarnation returned with the log and as primary, and is the last to answer.
  void makes_no_unproved_choice_before_all_members_answer() {
    apply(registry::AdmitProxy{{NodeName("proxy"), 1, ZoneName("a"), {}, false}});
    apply(registry::ForgetProxy{NodeName("proxy"), 1});
    leader_->dialer.slow = BackendName("p");
    put("a", 2, 2000, BackendStatus{false, 1, {1, 0}});
    put("p", 1, 2000, BackendStatus{true, kTerm, {kTerm, 9}});
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(term().open && term().primary.value == "p");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, term().primary_start_time_ms);
    CPPUNIT_ASSERT_EQUAL(0, leader_->promotions.orders);
  }

  /// A proxy that may have acknowledged commits is gone, and the primary does not answer.
  void waits_for_the_primary_after_a_replica_was_replaced() {
    apply(registry::AdmitProxy{{NodeName("proxy"), 1, ZoneName("a"), {}, false}});
    apply(registry::ForgetProxy{NodeName("proxy"), 1});
    leader_->statuses.erase(BackendName("p"));
    put("a", 2, 2000, BackendStatus{false, kTerm, {kTerm, 4}});
    world_->run_for(seconds(1));
    apply(registry::CloseGroup{kGroup, term().epoch});
    world_->run_for(seconds(4));
    CPPUNIT_ASSERT(!term().open);
    CPPUNIT_ASSERT_EQUAL(0, leader_->promotions.orders);
    leader_->statuses[BackendName("p")] = BackendStatus{true, kTerm, {kTerm, 9}};
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("only the primary holds the newest commits",
                           term().open && term().primary.value == "p");
  }

  void counts_unproved_promotions() {
    apply(registry::AdmitProxy{{NodeName("proxy"), 1, ZoneName("a"), {}, false}});
    apply(registry::ForgetProxy{NodeName("proxy"), 1});
    leader_->statuses.erase(BackendName("p"));
    put("a", 2, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(1));
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(term().open);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("furthest remaining log", std::string("b"), term().primary.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, leader_->keeper.unproved_promotions());
  }

  /// The keeper starts after "a" restarted, whose former incarnation may have been the only replica with the
  /// newest commits.
  void new_keeper_knows_of_a_replacement() {
    admit_and_forget_proxy();
    leader_->keeper.stop();
    put("a", 2, 2000, BackendStatus{false, kTerm, {kTerm, 4}});
    replace_keeper();
    world_->run_for(seconds(60));
    leader_->statuses.erase(BackendName("p"));
    apply(registry::CloseGroup{kGroup, term().epoch});
    world_->run_for(seconds(5));
    CPPUNIT_ASSERT(!term().open);
    CPPUNIT_ASSERT_EQUAL(0, leader_->promotions.orders);
    leader_->statuses[BackendName("p")] = BackendStatus{true, kTerm, {kTerm, 9}};
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("only the primary holds the newest commits",
                           term().open && term().primary.value == "p");
  }

  /// The keeper observes the group without the member between its departure and its return.
  void treats_a_returning_member_as_replaced() {
    admit_and_forget_proxy();
    leader_->statuses.erase(BackendName("p"));
    apply(registry::DeregisterBackend{BackendName("a")});
    world_->run_for(seconds(1));
    put("a", 2, 2000, BackendStatus{false, kTerm, {kTerm, 4}});
    world_->run_for(seconds(1));
    apply(registry::CloseGroup{kGroup, term().epoch});
    world_->run_for(seconds(4));
    CPPUNIT_ASSERT(!term().open);
    CPPUNIT_ASSERT_EQUAL(0, leader_->promotions.orders);
  }

  /// The registration and the opening are committed in one batch.
  void does_not_promote_a_member_registered_in_the_opening_batch() {
    apply(registry::CloseGroup{kGroup, term().epoch});
    registry::BackendEntry next = entry("a", 2, 2000);
    leader_->statuses[next.name] = BackendStatus{false, kTerm, {kTerm - 1, 4}};
    leader_->statuses.erase(BackendName("p"));
    leader_->statuses.erase(BackendName("b"));
    registry::OpenGroup open{kGroup, term().epoch, kTerm, BackendName("p"), 1000};
    apply(registry::CommandBatch{{registry::RegisterBackend{next}, open}});
    CPPUNIT_ASSERT(term().open);
    apply(registry::CloseGroup{kGroup, term().epoch});
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(!term().open);
    CPPUNIT_ASSERT_EQUAL(0, leader_->promotions.orders);
  }

 private:
  /// Admits and forgets a proxy that may have acknowledged commits.
  void admit_and_forget_proxy() {
    apply(registry::AdmitProxy{{NodeName("proxy"), 1, ZoneName("a"), {}, false}});
    apply(registry::ForgetProxy{NodeName("proxy"), 1});
  }
  /// Replaces the running keeper.
  void replace_keeper() {
    leader_->keeper.stop();
    next_ = std::make_unique<GroupKeeper>(*runtime_, leader_->log, leader_->fleet, leader_->calls,
                                          leader_->leases, leader_->prober, leader_->promotions,
                                          GroupKeeperSettings{NodeName("node")});
    next_->start();
  }
  const registry::GroupTerm& term() { return *leader_->fleet.find_term(kGroup); }
  void apply(registry::Command command) {
    registry::LoggedCommand logged{std::move(command)};
    leader_->fleet.apply(++index_, wire::encode_from(logged, wire::kWrittenFormat));
  }
  static registry::BackendEntry entry(const std::string& name, std::uint16_t port,
                                      std::uint64_t start_time_ms, const GroupName& group = kGroup) {
    registry::BackendEntry entry;
    entry.name = BackendName(name);
    entry.group = group;
    entry.endpoint = {"10.0.0.9", port};
    entry.start_time_ms = start_time_ms;
    entry.sequence = 1;
    return entry;
  }
  void put(const std::string& name, std::uint16_t port, std::uint64_t start_time_ms, BackendStatus status,
           const GroupName& group = kGroup) {
    leader_->statuses[BackendName(name)] = status;
    apply(registry::RegisterBackend{entry(name, port, start_time_ms, group)});
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<Leader> leader_;
  std::unique_ptr<GroupKeeper> next_;
  std::uint64_t index_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupKeeperIncarnationsTest);

}  // namespace cairnhollow::registered::control
