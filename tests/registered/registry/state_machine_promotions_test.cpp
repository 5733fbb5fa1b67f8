// Verifies which promotion attempts the state machine records, and which openings it rejects meanwhile.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/registry/state_machine.h"
#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::registered::registry {

namespace {

const GroupName kGroup("records");
const BackendName kFormer("b1");
const BackendName kNext("b2");
const BackendName kOther("b3");

PromotionAttempt attempt(std::uint64_t number, const BackendName& backend = kNext, std::uint64_t epoch = 2) {
  return {kGroup, backend, NodeName("control-1"), 7, number, epoch};
}

}  // namespace

class FleetStateMachinePromotionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetStateMachinePromotionsTest);
  CPPUNIT_TEST(attempt_follows_the_close_of_its_epoch);
  CPPUNIT_TEST(unsettled_attempts_name_one_backend);
  CPPUNIT_TEST(attempt_is_recorded_once);
  CPPUNIT_TEST(attempts_are_limited);
  CPPUNIT_TEST(unsettled_attempt_prevents_opening_with_another_backend);
  CPPUNIT_TEST(unsettled_attempt_permits_opening_with_its_backend);
  CPPUNIT_TEST(attempts_of_other_groups_prevent_nothing);
  CPPUNIT_TEST(settling_is_idempotent);
  CPPUNIT_TEST(attempts_survive_other_commands);
  CPPUNIT_TEST(attempts_apply_in_batches);
  CPPUNIT_TEST(an_answer_settles_attempts_that_were_withdrawn_before);
  CPPUNIT_TEST(a_later_process_withdraws_attempts_of_its_holder);
  CPPUNIT_TEST(attempts_end_with_their_backend);
  CPPUNIT_TEST(attempts_end_with_a_leaving_backend);
  CPPUNIT_TEST(attempts_end_with_a_deregistered_backend);
  CPPUNIT_TEST(attempts_outlive_a_restart_of_their_backend);
  CPPUNIT_TEST(an_open_group_records_attempts_for_its_primary);
  CPPUNIT_TEST(snapshot_restores_attempts);
  CPPUNIT_TEST(snapshot_without_attempts_is_read_by_earlier_builds);
  CPPUNIT_TEST(earlier_builds_refuse_the_commands);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    machine_ = std::make_unique<FleetStateMachine>(world_->start_bare({"node", "10.0.0.1", ZoneName("a")}));
  }
  void tearDown() override {
    machine_.reset();
    world_.reset();
  }

  void attempt_follows_the_close_of_its_epoch() {
    check_without_effect("no term", BeginPromotion{attempt(1, kNext, 0)});
    apply(OpenGroup{kGroup, 0, 3, kFormer});
    check_without_effect("open", BeginPromotion{attempt(1, kNext, 1)});
    apply(CloseGroup{kGroup, 1});
    check_without_effect("of an earlier epoch", BeginPromotion{attempt(1, kNext, 1)});
    check_without_effect("of a later epoch", BeginPromotion{attempt(1, kNext, 3)});
    const std::uint64_t revision = machine_->revision();
    apply(BeginPromotion{attempt(1)});
    CPPUNIT_ASSERT(unsettled().all() == std::vector{attempt(1)});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("proxies are not sent the attempts", revision, machine_->revision());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the epoch remains", std::uint64_t{2}, machine_->find_term(kGroup)->epoch);
    CPPUNIT_ASSERT(!machine_->find_term(kGroup)->open);
  }

  void unsettled_attempts_name_one_backend() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    check_without_effect("another backend", BeginPromotion{attempt(2, kOther)});
    apply(OpenGroup{kGroup, 2, 4, kNext});
    apply(CloseGroup{kGroup, 3});
    check_without_effect("after another close", BeginPromotion{attempt(2, kOther, 4)});
    apply(BeginPromotion{attempt(2, kNext, 4)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, unsettled().size());
    apply(SettlePromotions{unsettled().all()});
    apply(BeginPromotion{attempt(3, kOther, 4)});
    CPPUNIT_ASSERT(unsettled().all() == (std::vector{attempt(3, kOther, 4)}));
  }

  void attempt_is_recorded_once() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    check_without_effect("again", BeginPromotion{attempt(1)});
  }

  void attempts_are_limited() {
    close_first_term();
    const std::uint64_t limit = UnsettledPromotions::kMaxAttemptsPerGroup;
    for (std::uint64_t number = 1; number <= limit; ++number) apply(BeginPromotion{attempt(number)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{limit}, unsettled().size());
    check_without_effect("beyond the limit", BeginPromotion{attempt(limit + 1)});
  }

  void unsettled_attempt_prevents_opening_with_another_backend() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    check_without_effect("the former primary", OpenGroup{kGroup, 2, 3, kFormer});
    check_without_effect("another replica", OpenGroup{kGroup, 2, 4, kOther, 0, TermStart{{3, 9}, 1}});
    CPPUNIT_ASSERT(!machine_->find_term(kGroup)->open);
    CPPUNIT_ASSERT(!machine_->term_start(kGroup));
    apply(SettlePromotions{{attempt(1)}});
    apply(OpenGroup{kGroup, 2, 4, kOther});
    CPPUNIT_ASSERT(machine_->find_term(kGroup)->open);
  }

  void unsettled_attempt_permits_opening_with_its_backend() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    apply(OpenGroup{kGroup, 2, 4, kNext});
    CPPUNIT_ASSERT(machine_->find_term(kGroup)->open);
    CPPUNIT_ASSERT(machine_->find_term(kGroup)->primary == kNext);
    apply(CloseGroup{kGroup, 3});
    check_without_effect("still unsettled", OpenGroup{kGroup, 4, 5, kOther});
  }

  void attempts_of_other_groups_prevent_nothing() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    const GroupName decks("decks");
    apply(OpenGroup{decks, 0, 3, kOther});
    CPPUNIT_ASSERT(machine_->find_term(decks)->open);
    apply(CloseGroup{decks, 1});
    PromotionAttempt second = attempt(2, kOther);
    second.group = decks;
    apply(BeginPromotion{second});
    CPPUNIT_ASSERT(unsettled().contains(second));
  }

  void settling_is_idempotent() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    apply(BeginPromotion{attempt(2)});
    const std::uint64_t revision = machine_->revision();
    apply(SettlePromotions{{attempt(1)}});
    CPPUNIT_ASSERT(unsettled().all() == std::vector{attempt(2)});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("proxies are not sent the attempts", revision, machine_->revision());
    check_without_effect("again", SettlePromotions{{attempt(1)}});
    check_without_effect("never recorded", SettlePromotions{{attempt(3)}});
  }

  void attempts_survive_other_commands() {
    BackendEntry entry;
    entry.name = kNext;
    entry.group = kGroup;
    apply(RegisterBackend{entry});
    ConfigurationDocument document;
    document.groups = {GroupRule{kGroup, 30, 1}};
    apply_version(document, 1);
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    apply(OpenGroup{kGroup, 2, 4, kNext});
    apply(CloseGroup{kGroup, 3});
    apply(DeregisterBackend{kNext});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("open, close, deregistration", std::size_t{1}, unsettled().size());
    const std::vector<GroupRule> groups = std::exchange(document.groups, {});
    apply_version(document, 2);
    document.groups = groups;
    apply_version(document, 3);
    CPPUNIT_ASSERT(machine_->find_group(kGroup) != nullptr);
    CPPUNIT_ASSERT_MESSAGE("removed and added again", unsettled().all() == std::vector{attempt(1)});
    check_without_effect("still unsettled", OpenGroup{kGroup, 4, 5, kOther});
  }

  void attempts_apply_in_batches() {
    close_first_term();
    const std::uint64_t revision = machine_->revision();
    apply(CommandBatch{{BeginPromotion{attempt(1)}, BeginPromotion{attempt(2, kOther)}}});
    CPPUNIT_ASSERT(unsettled().all() == std::vector{attempt(1)});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("proxies are not sent the attempts", revision, machine_->revision());
    apply(CommandBatch{{SettlePromotions{{attempt(1)}}, BeginPromotion{attempt(2, kOther)}}});
    CPPUNIT_ASSERT(unsettled().all() == (std::vector{attempt(2, kOther)}));
  }

  void an_answer_settles_attempts_that_were_withdrawn_before() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    check_without_effect("not withdrawn", BeginPromotion{attempt(2, kOther)});
    apply(WithdrawPromotions{{attempt(1)}});
    check_without_effect("it may have been received", OpenGroup{kGroup, 2, 4, kOther});
    apply(BeginPromotion{attempt(2, kOther)});
    check_without_effect("not answered", OpenGroup{kGroup, 2, 4, kOther});
    apply(SettlePromotions{{attempt(2, kOther)}, true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled().size());
    apply(OpenGroup{kGroup, 2, 4, kOther});
    CPPUNIT_ASSERT(machine_->find_term(kGroup)->open);
  }

  void a_later_process_withdraws_attempts_of_its_holder() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    check_without_effect("the same process", WithdrawEarlierPromotions{NodeName("control-1"), 0, 7});
    check_without_effect("another holder", WithdrawEarlierPromotions{NodeName("control-2"), 9, 7});
    check_without_effect("sent before the attempt's term",
                         WithdrawEarlierPromotions{NodeName("control-1"), 9, 6});
    apply(WithdrawEarlierPromotions{NodeName("control-1"), 9, 7});
    CPPUNIT_ASSERT(unsettled().awaits_answer(kGroup));
  }

  void attempts_end_with_their_backend() {
    BackendEntry entry = begin_with_registered_backend();
    entry.name = kOther;
    apply(RegisterBackend{entry});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("another backend has its address", std::size_t{0}, unsettled().size());
  }

  /// Guards against a group that stays bound to a backend that left and whose deregistration did not arrive.
  void attempts_end_with_a_leaving_backend() {
    BackendEntry entry = begin_with_registered_backend();
    entry.leaving = true;
    ++entry.sequence;
    apply(RegisterBackend{entry});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("it still runs", std::size_t{1}, unsettled().size());
    entry.name = kOther;
    entry.leaving = false;
    apply(RegisterBackend{entry});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled().size());
  }

  /// Guards against a group that stays bound to a backend that left, by a request whose holder is gone.
  void attempts_end_with_a_deregistered_backend() {
    BackendEntry entry = begin_with_registered_backend();
    apply(DeregisterBackend{kNext});
    CPPUNIT_ASSERT_EQUAL_MESSAGE("it may still run", std::size_t{1}, unsettled().size());
    entry.name = kOther;
    apply(RegisterBackend{entry});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled().size());
  }

  /// Guards against a late request that promotes the next incarnation of its backend, which has its name.
  void attempts_outlive_a_restart_of_their_backend() {
    BackendEntry entry = begin_with_registered_backend(1000);
    apply(DeregisterBackend{kNext});
    const Endpoint former = entry.endpoint;
    entry.endpoint = Endpoint{"10.0.1.2", 7000};
    entry.start_time_ms = 2000;
    apply(RegisterBackend{entry});
    entry.name = kOther;
    entry.endpoint = former;
    apply(RegisterBackend{entry});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled().size());
  }

  void an_open_group_records_attempts_for_its_primary() {
    apply(OpenGroup{kGroup, 0, 3, kFormer});
    check_without_effect("another backend", BeginPromotion{attempt(1, kNext, 1)});
    apply(BeginPromotion{attempt(2, kFormer, 1)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled().size());
  }

  void snapshot_restores_attempts() {
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    apply(BeginPromotion{attempt(2)});
    const std::string snapshot = machine_->take_snapshot();
    CPPUNIT_ASSERT(wire::marked_format(snapshot) == wire::kPromotionsFormat);
    FleetStateMachine other(world_->runtime("node"));
    Reason reason;
    CPPUNIT_ASSERT(other.restore_snapshot(snapshot, reason));
    CPPUNIT_ASSERT(other.unsettled_promotions() == unsettled());
    CPPUNIT_ASSERT_EQUAL(snapshot, other.take_snapshot());
  }

  void snapshot_without_attempts_is_read_by_earlier_builds() {
    close_first_term();
    const std::string snapshot = machine_->take_snapshot();
    CPPUNIT_ASSERT(wire::marked_format(snapshot) == wire::kEvidenceFormat);
    apply(BeginPromotion{attempt(1)});
    Reason reason;
    CPPUNIT_ASSERT(machine_->restore_snapshot(snapshot, reason));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unsettled().size());
  }

  /// Guards against voters of an earlier build that pass over the commands and go on with another state.
  void earlier_builds_refuse_the_commands() {
    const CommandBatch batch{{BeginPromotion{attempt(1)}}};
    const std::vector<Command> commands{BeginPromotion{attempt(1)}, SettlePromotions{{attempt(1)}},
                                        WithdrawPromotions{{attempt(1)}},
                                        WithdrawEarlierPromotions{NodeName("control-1"), 9, 7}, batch};
    for (const Command& command : commands) {
      const std::string bytes = wire::encode_from(LoggedCommand{command}, wire::kWrittenFormat);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(command.index()),
                             wire::marked_format(bytes) == wire::kPromotionsFormat);
    }
  }

 private:
  /// Records an attempt for a backend that is registered, and returns its entry.
  BackendEntry begin_with_registered_backend(std::uint64_t start_time_ms = 0) {
    BackendEntry entry;
    entry.start_time_ms = start_time_ms;
    entry.name = kNext;
    entry.group = kGroup;
    entry.endpoint = Endpoint{"10.0.1.1", 7000};
    apply(RegisterBackend{entry});
    close_first_term();
    apply(BeginPromotion{attempt(1)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unsettled().size());
    return entry;
  }

  /// The term of kFormer, closed with epoch 2.
  void close_first_term() {
    apply(OpenGroup{kGroup, 0, 3, kFormer});
    apply(CloseGroup{kGroup, 1});
  }
  [[nodiscard]] const UnsettledPromotions& unsettled() const { return machine_->unsettled_promotions(); }

  void check_without_effect(const std::string& why, Command command) {
    const std::uint64_t revision = machine_->revision();
    const std::string before = machine_->take_snapshot();
    apply(std::move(command));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(why, revision, machine_->revision());
    CPPUNIT_ASSERT_MESSAGE(why, before == machine_->take_snapshot());
  }

  void apply_version(ConfigurationDocument document, std::uint64_t version) {
    document.version = version;
    apply(ReplaceDocument{std::move(document)});
  }

  void apply(Command command) {
    LoggedCommand logged{std::move(command)};
    machine_->apply(++index_, wire::encode_from(logged, wire::kWrittenFormat));
  }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<FleetStateMachine> machine_;
  std::uint64_t index_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStateMachinePromotionsTest);

}  // namespace cairnhollow::registered::registry
