// Verifies that registrations for unconfigured groups are refused and that valid ones are not lost while a
// document is propagating.
#include "registered/control/registration_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/control/control_metrics.h"
#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

using std::chrono::milliseconds;

namespace {

/// Single-voter consensus: proposals are applied immediately; commands committed by other nodes are applied
/// in the next quorum round.
class OneVoter : public consensus::Consensus {
 public:
  explicit OneVoter(registry::FleetStateMachine& fleet) : fleet_(fleet) {}

  Awaitable<std::optional<std::uint64_t>> propose(std::string command, TimePoint, Reason&) override {
    fleet_.apply(++index_, command);
    co_return index_;
  }
  Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint, Reason& reason) override {
    if (!has_quorum) {
      reason = Reason{ReasonCode::kNoQuorum, "read_barrier", "", "no majority answered"};
      co_return std::nullopt;
    }
    if (behind) fleet_.apply(++index_, *std::exchange(behind, std::nullopt));
    co_return index_;
  }
  Awaitable<bool> add_member(consensus::Member, TimePoint, Reason&) override { co_return false; }
  Awaitable<bool> remove_member(NodeName, TimePoint, Reason&) override { co_return false; }
  Awaitable<bool> replace_member(NodeName, consensus::Member, TimePoint, Reason&) override {
    co_return false;
  }
  [[nodiscard]] consensus::ConsensusStatus status() const override {
    consensus::ConsensusStatus status;
    status.state = consensus::ServerState::kLeader;
    return status;
  }

  bool has_quorum = true;
  std::optional<std::string> behind;  ///< committed command that is not applied locally yet

 private:
  registry::FleetStateMachine& fleet_;
  std::uint64_t index_ = 0;
};

/// Dialer whose target either reports itself as another backend or does not answer.
class StrangerOrSilence : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress, TimePoint, std::optional<Refusal>& refusal,
                                               Reason&) override {
    if (another_answers) refusal = Refusal::kWrongBackend;
    co_return nullptr;
  }

  bool another_answers = false;
};

registry::Command document(std::uint64_t version, const std::string& group) {
  registry::ConfigurationDocument document;
  document.version = version;
  document.groups.push_back(registry::GroupRule{GroupName(group)});
  return registry::ReplaceDocument{std::move(document)};
}

std::string logged(registry::Command command) {
  return wire::encode_from(registry::LoggedCommand{std::move(command)}, wire::kWrittenFormat);
}

registry::BackendEntry entry(const std::string& name, const std::string& group, std::uint16_t port,
                             std::uint64_t sequence) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = GroupName(group);
  entry.endpoint = Endpoint{"10.0.0.9", port};
  entry.zone = ZoneName("a");
  entry.slots = 2;
  entry.sequence = sequence;
  return entry;
}

class NoPromotions : public registry::PromotionCaller {
 public:
  Awaitable<bool> promote(registry::PromotionOrder /*order*/, TimePoint /*deadline*/,
                          Reason& /*reason*/) override {
    co_return false;
  }
};

}  // namespace

class RegistrationRefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationRefusalTest);
  CPPUNIT_TEST(before_the_first_document_every_group_may_be_one);
  CPPUNIT_TEST(a_group_that_the_document_does_not_name_is_refused);
  CPPUNIT_TEST(a_stranger_takes_neither_a_name_nor_an_address);
  CPPUNIT_TEST(a_document_that_is_not_known_here_yet_is_asked_for);
  CPPUNIT_TEST(without_a_quorum_nothing_is_said_to_be_unknown);
  CPPUNIT_TEST(a_backend_of_a_group_that_went_takes_its_leave);
  CPPUNIT_TEST(an_address_at_which_another_answers_is_counted);
  CPPUNIT_TEST(refusals_are_shown_by_cause);
  CPPUNIT_TEST(the_names_that_are_logged_are_bounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    parts_ = std::make_unique<Parts>(world_->start_bare({"node", "10.0.0.1", ZoneName("a")}));
  }
  void tearDown() override {
    world_.reset();
    parts_.reset();
  }

  void before_the_first_document_every_group_may_be_one() {
    CPPUNIT_ASSERT(take(entry("b-1", "records", 1, 1)) == ReasonCode::kNone);
    CPPUNIT_ASSERT(held("b-1") != nullptr);
    send(1, "records");
    CPPUNIT_ASSERT(held("b-1") != nullptr);
  }

  void a_group_that_the_document_does_not_name_is_refused() {
    send(7, "records");
    CPPUNIT_ASSERT(take(entry("b-1", "nonsense", 1, 1)) == ReasonCode::kNotFound);
    CPPUNIT_ASSERT_EQUAL(std::string("group: nonsense is not in the configuration document of version 7"),
                         reason_.detail);
    CPPUNIT_ASSERT(held("b-1") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, refused(registry::RegistrationFault::kUnknownGroup));
    CPPUNIT_ASSERT_MESSAGE("a newer document contains the group", send(8, "nonsense"));
    CPPUNIT_ASSERT(take(entry("b-1", "nonsense", 1, 2)) == ReasonCode::kNone);
    CPPUNIT_ASSERT(held("b-1") != nullptr);
  }

  void a_stranger_takes_neither_a_name_nor_an_address() {
    send(1, "records");
    take(entry("b-1", "records", 1, 1));
    take(entry("b-1", "nonsense", 2, 9));
    take(entry("b-2", "nonsense", 1, 9));
    const registry::BackendEntry* backend = held("b-1");
    CPPUNIT_ASSERT(backend != nullptr);
    CPPUNIT_ASSERT(backend->group == GroupName("records") && backend->endpoint.port == 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, backend->sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, refused(registry::RegistrationFault::kUnknownGroup));
  }

  void a_document_that_is_not_known_here_yet_is_asked_for() {
    send(1, "records");
    parts_->consensus.behind = logged(document(2, "archive"));
    CPPUNIT_ASSERT(take(entry("b-1", "archive", 1, 1)) == ReasonCode::kNone);
    CPPUNIT_ASSERT(held("b-1") != nullptr);
  }

  void without_a_quorum_nothing_is_said_to_be_unknown() {
    send(1, "records");
    parts_->consensus.has_quorum = false;
    CPPUNIT_ASSERT(take(entry("b-1", "archive", 1, 1)) == ReasonCode::kNoQuorum);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, refused(registry::RegistrationFault::kUnknownGroup));
  }

  void a_backend_of_a_group_that_went_takes_its_leave() {
    send(1, "records");
    take(entry("b-1", "records", 1, 1));
    send(2, "archive");
    registry::BackendEntry leaving = entry("b-1", "records", 1, 2);
    leaving.leaving = true;
    CPPUNIT_ASSERT(take(leaving) == ReasonCode::kNone);
    CPPUNIT_ASSERT(held("b-1")->leaving);
  }

  void an_address_at_which_another_answers_is_counted() {
    send(1, "records");
    take(entry("b-1", "records", 1, 1));
    parts_->dialer.another_answers = true;
    CPPUNIT_ASSERT(take(entry("b-2", "records", 1, 1)) == ReasonCode::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, refused(registry::RegistrationFault::kAddressInUse));
    CPPUNIT_ASSERT(held("b-1") != nullptr && held("b-2") == nullptr);
  }

  void refusals_are_shown_by_cause() {
    const Reason reason{ReasonCode::kInvalidArgument, "read_body", "", "Slots: is missing"};
    parts_->service.record_refused({registry::RegistrationFault::kMissingField, "b-1", reason});
    std::string text;
    const auto run = [&]() -> Awaitable<void> {
      runtime::HttpRequest request;
      request.target = "/metrics";
      const auto response = co_await parts_->metrics.handle(std::move(request), 1);
      text = response.body;
    };
    parts_->runtime.spawn("metrics", run());
    world_->run_for(milliseconds(10));
    const std::string name = "cairnhollow_registry_registrations_refused_total";
    CPPUNIT_ASSERT(text.find(name + "{cause=\"missing_field\"} 1") != std::string::npos);
    CPPUNIT_ASSERT(text.find(name + "{cause=\"unknown_group\"} 0") != std::string::npos);
  }

  void the_names_that_are_logged_are_bounded() {
    CPPUNIT_ASSERT_EQUAL(std::string("a?b?"), registry::printable_name("a\nb\xff"));
    CPPUNIT_ASSERT_EQUAL(registry::kMostLoggedName,
                         registry::printable_name(std::string(100'000, 'x')).size());
  }

 private:
  struct Parts {
    explicit Parts(runtime::Runtime& a_runtime)
        : runtime(a_runtime),
          fleet(runtime),
          consensus(fleet),
          directory({}, consensus),
          calls(runtime, consensus, directory, NodeName("control-1"), Endpoint{"10.0.0.1", 7000}),
          voters(runtime, consensus, directory, 0),
          prober(runtime, dialer),
          service(runtime, consensus, fleet, calls, voters, prober),
          leases(runtime, consensus, fleet, directory, calls, milliseconds(1500)),
          groups(runtime, consensus, fleet, calls, leases, prober, promotions,
                 GroupKeeperSettings{NodeName("control-1")}),
          metrics(consensus, fleet, leases, groups, service) {}

    runtime::Runtime& runtime;
    registry::FleetStateMachine fleet;
    OneVoter consensus;
    ControlNodeDirectory directory;
    LeaderCalls calls;
    VoterKeeper voters;
    StrangerOrSilence dialer;
    GroupProber prober;
    RegistrationService service;
    LeaseKeeper leases;
    NoPromotions promotions;
    GroupKeeper groups;
    ControlMetrics metrics;
  };

  /// Returns kNone if the registration was accepted, otherwise the code of the failure.
  ReasonCode take(registry::BackendEntry entry) {
    std::optional<registry::Registration> taken;
    const auto run = [&]() -> Awaitable<void> {
      taken = co_await parts_->service.register_backend(std::move(entry), reason_);
    };
    reason_ = Reason{};
    parts_->runtime.spawn("register", run());
    world_->run_for(milliseconds(100));
    return taken ? ReasonCode::kNone : reason_.code;
  }

  bool send(std::uint64_t version, const std::string& group) {
    parts_->fleet.apply(0, logged(document(version, group)));
    return parts_->fleet.document_version() == version;
  }

  const registry::BackendEntry* held(const std::string& name) {
    return parts_->fleet.find_backend(BackendName(name));
  }
  std::uint64_t refused(registry::RegistrationFault fault) { return parts_->service.refused().of(fault); }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<Parts> parts_;
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationRefusalTest);

}  // namespace cairnhollow::registered::control
