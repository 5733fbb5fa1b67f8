// Tests that a pause applies to one incarnation of a member: the next incarnation under the same name is
// neither paused nor as long known.
#include "registered/control/failover/replication_pauses.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/registry/member_lease.h"
#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kTerm = 3;
constexpr std::uint64_t kLatestRevision = 1'000'000;

/// Every member answers as a paused replica.
class PausedLink : public BackendLink {
 public:
  Awaitable<std::optional<Answer>> run(BackendRequest /*request*/, TimePoint /*deadline*/,
                                       runtime::SendState& /*sent*/, Reason& /*reason*/) override {
    co_return Answer{};
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return BackendStatus{false, kTerm, {kTerm, 7}, kTerm + 1};
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return "member"; }

 private:
  bool open_ = true;
};

class PausedDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    links.push_back(std::make_shared<PausedLink>());
    co_return links.back();
  }
  std::vector<std::shared_ptr<PausedLink>> links;
};

}  // namespace

class ReplicationPausesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicationPausesTest);
  CPPUNIT_TEST(pause_ends_with_the_paused_incarnation);
  CPPUNIT_TEST(a_new_incarnation_is_unknown_to_unresponsive_proxies);
  CPPUNIT_TEST(pauses_a_new_incarnation_of_the_primary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"node", "10.0.0.1", ZoneName("a")});
    fleet_ = std::make_unique<registry::FleetStateMachine>(*runtime_);
    prober_ = std::make_unique<GroupProber>(*runtime_, dialer_);
    pauses_ = std::make_unique<ReplicationPauses>(*runtime_, *fleet_, *prober_);
    registry::ConfigurationDocument document;
    document.version = 1;
    document.groups = {registry::GroupRule{GroupName("records"), 30, 1}};
    apply(registry::ReplaceDocument{document});
    put("old", 1, 1000);
    put("a", 2, 1000);
    closed_.group = GroupName("records");
    closed_.term = kTerm;
    closed_.primary = BackendName("old");
    closed_.primary_start_time_ms = 1000;
    closed_.epoch = 2;
  }
  void tearDown() override {
    pauses_.reset();
    prober_.reset();
    fleet_.reset();
    dialer_.links.clear();
    world_.reset();
  }

  void pause_ends_with_the_paused_incarnation() {
    pause();
    world_->run_for(registry::kMemberLeaseWait);
    CPPUNIT_ASSERT(fences_old_primary("a", kLatestRevision));
    const auto former = dialer_.links.back();
    put("a", 2, 2000);
    CPPUNIT_ASSERT_MESSAGE("only the former incarnation was paused",
                           !fences_old_primary("a", kLatestRevision));
    CPPUNIT_ASSERT(pauses_->earliest_promotion(closed_, kLatestRevision) == TimePoint::max());
    pause();
    CPPUNIT_ASSERT_MESSAGE("connection to the former incarnation is closed", !former->is_open());
    CPPUNIT_ASSERT_MESSAGE("paused too recently", !fences_old_primary("a", kLatestRevision));
    world_->run_for(registry::kMemberLeaseWait);
    CPPUNIT_ASSERT(fences_old_primary("a", kLatestRevision));
  }

  void a_new_incarnation_is_unknown_to_unresponsive_proxies() {
    world_->run_for(registry::kServeWithoutControl + registry::kMemberLease);
    pause();
    world_->run_for(registry::kMemberLeaseWait);
    CPPUNIT_ASSERT(fences_old_primary("a", 0));
    put("a", 2, 2000);
    pause();
    world_->run_for(registry::kMemberLeaseWait);
    CPPUNIT_ASSERT(!fences_old_primary("a", 0));
    world_->run_for(registry::kServeWithoutControl + registry::kMemberLease);
    CPPUNIT_ASSERT(fences_old_primary("a", 0));
  }

  void pauses_a_new_incarnation_of_the_primary() {
    pause();
    world_->run_for(registry::kMemberLeaseWait);
    CPPUNIT_ASSERT(!fences_old_primary("old", kLatestRevision));
    put("old", 1, 2000);
    pause();
    world_->run_for(registry::kMemberLeaseWait);
    CPPUNIT_ASSERT(fences_old_primary("old", kLatestRevision));
  }

 private:
  void apply(registry::Command command) {
    registry::LoggedCommand logged{std::move(command)};
    fleet_->apply(++index_, wire::encode_from(logged, wire::kWrittenFormat));
  }
  void put(const std::string& name, std::uint16_t port, std::uint64_t start_time_ms) {
    registry::BackendEntry entry;
    entry.name = BackendName(name);
    entry.group = GroupName("records");
    entry.endpoint = {"10.0.0.9", port};
    entry.start_time_ms = start_time_ms;
    entry.sequence = 1;
    apply(registry::RegisterBackend{entry});
    pauses_->record_members();
  }
  void pause() {
    runtime_->spawn("pause", pauses_->pause(closed_));
    world_->run_for(milliseconds(50));
  }
  bool fences_old_primary(const std::string& name, std::uint64_t min_unresponsive_revision) {
    const BackendStatus paused{false, kTerm, {kTerm, 7}, kTerm + 1};
    std::vector<MemberFinding> findings;
    for (const auto& entry : fleet_->backends()) findings.push_back({entry, paused, false});
    return pauses_->fences_old_primary(closed_, min_unresponsive_revision, findings, BackendName(name));
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<registry::FleetStateMachine> fleet_;
  PausedDialer dialer_;
  std::unique_ptr<GroupProber> prober_;
  std::unique_ptr<ReplicationPauses> pauses_;
  registry::GroupTerm closed_;
  std::uint64_t index_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationPausesTest);

}  // namespace cairnhollow::registered::control
