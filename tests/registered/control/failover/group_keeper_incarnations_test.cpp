// What the leader does when backends of a group start again under their names.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "registered/control/failover/group_keeper.h"
#include "simulation/world.h"
#include "tests/support/applied_log.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kTerm = 3;
const GroupName kGroup("records");

/// What each backend answers now; who is not there does not answer.
using Statuses = std::map<BackendName, BackendStatus>;

class StatusLink : public BackendLink {
 public:
  StatusLink(runtime::Runtime& runtime, const Statuses& statuses, BackendName backend, Duration takes)
      : runtime_(runtime), statuses_(statuses), backend_(std::move(backend)), takes_(takes) {}
  Awaitable<std::optional<Answer>> run(BackendRequest /*request*/, TimePoint /*deadline*/,
                                       runtime::SendState& /*sent*/, Reason& /*reason*/) override {
    std::optional<Answer> answer;
    co_await runtime_.sleep_for(takes_);
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
  Duration takes_;
  bool open_ = true;
};

class StatusDialer : public BackendDialer {
 public:
  StatusDialer(runtime::Runtime& runtime, const Statuses& statuses)
      : runtime_(runtime), statuses_(statuses) {}
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    const Duration takes = milliseconds(address.backend == slow ? 100 : 1);
    co_return std::make_shared<StatusLink>(runtime_, statuses_, address.backend, takes);
  }
  BackendName slow;

 private:
  runtime::Runtime& runtime_;
  const Statuses& statuses_;
};

/// Promotes at once; the backend `forgets` has started again just before.
class Promotions : public registry::PromotionCaller {
 public:
  explicit Promotions(Statuses& statuses) : statuses_(statuses) {}
  Awaitable<bool> promote(registry::PromotionOrder order, TimePoint /*deadline*/,
                          Reason& /*reason*/) override {
    ++orders;
    BackendStatus& status = statuses_[order.backend];
    status.is_primary = true;
    status.term = kTerm + 1;
    if (order.backend == forgets) status.received = {1, 0};
    co_return true;
  }
  int orders = 0;
  BackendName forgets;

 private:
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
  Promotions promotions;
  GroupKeeper keeper;
};

}  // namespace

class GroupKeeperIncarnationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupKeeperIncarnationsTest);
  CPPUNIT_TEST(another_incarnation_of_the_primary_is_given_up_at_once);
  CPPUNIT_TEST(who_leads_with_less_than_it_had_is_not_opened);
  CPPUNIT_TEST(who_started_again_after_the_look_is_not_ordered);
  CPPUNIT_TEST(who_lost_its_log_while_its_turn_was_awaited_is_not_ordered);
  CPPUNIT_TEST(who_joined_in_the_term_may_lack_earlier_commits);
  CPPUNIT_TEST(nobody_follows_without_proof_before_all_have_answered);
  CPPUNIT_TEST(a_replaced_incarnation_may_have_held_the_newest_commits);
  CPPUNIT_TEST(a_promotion_without_proof_is_counted);
  CPPUNIT_TEST(who_starts_to_look_may_have_missed_a_replaced_incarnation);
  CPPUNIT_TEST(a_incarnation_that_left_may_come_back_a_look_later);
  CPPUNIT_TEST(who_joined_in_the_revision_that_opened_the_term_joined_in_it);
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

  void another_incarnation_of_the_primary_is_given_up_at_once() {
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(term().open);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), term().primary.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, term().primary_start_time_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, leader_->keeper.unproved_promotions());
  }

  void who_leads_with_less_than_it_had_is_not_opened() {
    leader_->promotions.forgets = BackendName("a");
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(2, leader_->promotions.orders);
    CPPUNIT_ASSERT(term().open);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the next one", std::string("b"), term().primary.value);
  }

  void who_started_again_after_the_look_is_not_ordered() {
    leader_->log.during_barrier = [this] { put("a", 2, 2000, BackendStatus{false, 1, {1, 0}}); };
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(term().open && term().primary.value == "b");
    CPPUNIT_ASSERT_EQUAL(1, leader_->promotions.orders);
  }

  /// The platform takes a call each two seconds, and another group has just had one.
  void who_lost_its_log_while_its_turn_was_awaited_is_not_ordered() {
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
    CPPUNIT_ASSERT_MESSAGE("it waits", !term().open && leader_->promotions.orders == 1);
    leader_->statuses[BackendName("a")] = BackendStatus{false, 1, {1, 0}};
    world_->run_for(seconds(4));
    CPPUNIT_ASSERT(term().open && term().primary.value == "b");
    CPPUNIT_ASSERT_EQUAL(2, leader_->promotions.orders);
  }

  /// No proxy acknowledged anything in this term, and none is left of those that did before.
  void who_joined_in_the_term_may_lack_earlier_commits() {
    leader_->statuses.erase(BackendName("p"));
    leader_->statuses.erase(BackendName("b"));
    put("a", 2, 2000, BackendStatus{false, kTerm, {kTerm - 1, 4}});
    apply(registry::CloseGroup{kGroup, term().epoch});
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(!term().open);
    CPPUNIT_ASSERT_EQUAL(0, leader_->promotions.orders);
  }

  /// The primary's next incarnation came back with the log, as primary: it answers last.
  void nobody_follows_without_proof_before_all_have_answered() {
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

  /// A proxy that may have acknowledged something is gone, too, and the primary does not answer.
  void a_replaced_incarnation_may_have_held_the_newest_commits() {
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
    CPPUNIT_ASSERT_MESSAGE("only the primary holds them", term().open && term().primary.value == "p");
  }

  void a_promotion_without_proof_is_counted() {
    apply(registry::AdmitProxy{{NodeName("proxy"), 1, ZoneName("a"), {}, false}});
    apply(registry::ForgetProxy{NodeName("proxy"), 1});
    leader_->statuses.erase(BackendName("p"));
    put("a", 2, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(1));
    put("p", 1, 2000, BackendStatus{false, 1, {1, 0}});
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT(term().open);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the furthest that is left", std::string("b"), term().primary.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, leader_->keeper.unproved_promotions());
  }

  /// A control node starts after "a" did: the former incarnation may have been the only one with the newest
  /// commits.
  void who_starts_to_look_may_have_missed_a_replaced_incarnation() {
    lose_a_proxy();
    leader_->statuses[BackendName("a")] = BackendStatus{false, kTerm, {kTerm, 4}};
    start_another_keeper();
    world_->run_for(seconds(4));
    leader_->statuses.erase(BackendName("p"));
    apply(registry::CloseGroup{kGroup, term().epoch});
    world_->run_for(seconds(5));
    CPPUNIT_ASSERT(!term().open);
    CPPUNIT_ASSERT_EQUAL(0, leader_->promotions.orders);
    leader_->statuses[BackendName("p")] = BackendStatus{true, kTerm, {kTerm, 9}};
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("only the primary holds them", term().open && term().primary.value == "p");
  }

  /// Between the two the group was looked at without it.
  void a_incarnation_that_left_may_come_back_a_look_later() {
    lose_a_proxy();
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

  /// Both were gathered into one command.
  void who_joined_in_the_revision_that_opened_the_term_joined_in_it() {
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
  /// One that may have acknowledged something.
  void lose_a_proxy() {
    apply(registry::AdmitProxy{{NodeName("proxy"), 1, ZoneName("a"), {}, false}});
    apply(registry::ForgetProxy{NodeName("proxy"), 1});
  }
  /// In the place of the one that there was.
  void start_another_keeper() {
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
