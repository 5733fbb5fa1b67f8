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
class SingleVoterConsensus : public consensus::Consensus {
 public:
  explicit SingleVoterConsensus(registry::FleetStateMachine& fleet) : fleet_(fleet) {}

  Awaitable<std::optional<std::uint64_t>> propose(std::string command, TimePoint, Reason&) override {
    fleet_.apply(++index_, command);
    co_return index_;
  }
  Awaitable<std::optional<std::uint64_t>> read_barrier(TimePoint, Reason& reason) override {
    if (!has_quorum) {
      reason = Reason{ReasonCode::kNoQuorum, "read_barrier", "", "no majority answered"};
      co_return std::nullopt;
    }
    if (unapplied_command) fleet_.apply(++index_, *std::exchange(unapplied_command, std::nullopt));
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
  std::optional<std::string> unapplied_command;  ///< committed command that is not applied locally yet

 private:
  registry::FleetStateMachine& fleet_;
  std::uint64_t index_ = 0;
};

/// Dialer whose target either reports itself as another backend or does not answer.
class WrongBackendDialer : public BackendDialer {
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

std::string encode_command(registry::Command command) {
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
  Awaitable<std::shared_ptr<registry::PromotionChannel>> connect(TimePoint /*deadline*/,
                                                                 Reason& /*reason*/) override {
    co_return nullptr;
  }
};

}  // namespace

class RegistrationRefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationRefusalTest);
  CPPUNIT_TEST(accepts_any_group_before_first_document);
  CPPUNIT_TEST(refuses_group_missing_from_document);
  CPPUNIT_TEST(refused_registration_takes_neither_name_nor_address);
  CPPUNIT_TEST(consults_newest_document_before_refusing);
  CPPUNIT_TEST(reports_no_quorum_instead_of_unknown_group);
  CPPUNIT_TEST(accepts_leaving_backend_of_removed_group);
  CPPUNIT_TEST(counts_address_conflicts);
  CPPUNIT_TEST(exports_refusals_by_cause);
  CPPUNIT_TEST(truncates_logged_names);
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

  void accepts_any_group_before_first_document() {
    CPPUNIT_ASSERT(submit_registration(entry("b-1", "records", 1, 1)) == ReasonCode::kNone);
    CPPUNIT_ASSERT(held("b-1") != nullptr);
    apply_document(1, "records");
    CPPUNIT_ASSERT(held("b-1") != nullptr);
  }

  void refuses_group_missing_from_document() {
    apply_document(7, "records");
    CPPUNIT_ASSERT(submit_registration(entry("b-1", "nonsense", 1, 1)) == ReasonCode::kNotFound);
    CPPUNIT_ASSERT_EQUAL(std::string("group: nonsense is not in the configuration document of version 7"),
                         reason_.detail);
    CPPUNIT_ASSERT(held("b-1") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, refused(registry::RegistrationFault::kUnknownGroup));
    CPPUNIT_ASSERT_MESSAGE("a newer document contains the group", apply_document(8, "nonsense"));
    CPPUNIT_ASSERT(submit_registration(entry("b-1", "nonsense", 1, 2)) == ReasonCode::kNone);
    CPPUNIT_ASSERT(held("b-1") != nullptr);
  }

  void refused_registration_takes_neither_name_nor_address() {
    apply_document(1, "records");
    submit_registration(entry("b-1", "records", 1, 1));
    submit_registration(entry("b-1", "nonsense", 2, 9));
    submit_registration(entry("b-2", "nonsense", 1, 9));
    const registry::BackendEntry* backend = held("b-1");
    CPPUNIT_ASSERT(backend != nullptr);
    CPPUNIT_ASSERT(backend->group == GroupName("records") && backend->endpoint.port == 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, backend->sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, refused(registry::RegistrationFault::kUnknownGroup));
  }

  void consults_newest_document_before_refusing() {
    apply_document(1, "records");
    parts_->consensus.unapplied_command = encode_command(document(2, "archive"));
    CPPUNIT_ASSERT(submit_registration(entry("b-1", "archive", 1, 1)) == ReasonCode::kNone);
    CPPUNIT_ASSERT(held("b-1") != nullptr);
  }

  void reports_no_quorum_instead_of_unknown_group() {
    apply_document(1, "records");
    parts_->consensus.has_quorum = false;
    CPPUNIT_ASSERT(submit_registration(entry("b-1", "archive", 1, 1)) == ReasonCode::kNoQuorum);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, refused(registry::RegistrationFault::kUnknownGroup));
  }

  void accepts_leaving_backend_of_removed_group() {
    apply_document(1, "records");
    submit_registration(entry("b-1", "records", 1, 1));
    apply_document(2, "archive");
    registry::BackendEntry leaving = entry("b-1", "records", 1, 2);
    leaving.leaving = true;
    CPPUNIT_ASSERT(submit_registration(leaving) == ReasonCode::kNone);
    CPPUNIT_ASSERT(held("b-1")->leaving);
  }

  void counts_address_conflicts() {
    apply_document(1, "records");
    submit_registration(entry("b-1", "records", 1, 1));
    parts_->dialer.another_answers = true;
    CPPUNIT_ASSERT(submit_registration(entry("b-2", "records", 1, 1)) == ReasonCode::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, refused(registry::RegistrationFault::kAddressInUse));
    CPPUNIT_ASSERT(held("b-1") != nullptr && held("b-2") == nullptr);
  }

  void exports_refusals_by_cause() {
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

  void truncates_logged_names() {
    CPPUNIT_ASSERT_EQUAL(std::string("a?b?"), registry::printable_name("a\nb\xff"));
    CPPUNIT_ASSERT_EQUAL(registry::kMaxLoggedNameBytes,
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
    SingleVoterConsensus consensus;
    ControlNodeDirectory directory;
    LeaderCalls calls;
    VoterKeeper voters;
    WrongBackendDialer dialer;
    GroupProber prober;
    RegistrationService service;
    LeaseKeeper leases;
    NoPromotions promotions;
    GroupKeeper groups;
    ControlMetrics metrics;
  };

  /// Returns kNone if the registration was accepted, otherwise the code of the failure.
  ReasonCode submit_registration(registry::BackendEntry entry) {
    std::optional<registry::Registration> accepted;
    const auto run = [&]() -> Awaitable<void> {
      accepted = co_await parts_->service.register_backend(std::move(entry), reason_);
    };
    reason_ = Reason{};
    parts_->runtime.spawn("register", run());
    world_->run_for(milliseconds(100));
    return accepted ? ReasonCode::kNone : reason_.code;
  }

  bool apply_document(std::uint64_t version, const std::string& group) {
    parts_->fleet.apply(0, encode_command(document(version, group)));
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
