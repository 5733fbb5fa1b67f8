// Verifies how a control node handles registrations from outdated and from replacing backend incarnations.
#include "registered/control/registration_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"
#include "tests/support/applied_log.h"
#include "wire/codec.h"

namespace cairnhollow::registered::control {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Dialer that never opens a connection.
class SilentDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

registry::BackendEntry incarnation(const std::string& name, std::uint64_t sequence,
                                   std::uint64_t start_time_ms) {
  registry::BackendEntry entry;
  entry.name = BackendName(name);
  entry.group = GroupName("records");
  entry.endpoint = {"10.0.0.9", 9000};
  entry.sequence = sequence;
  entry.start_time_ms = start_time_ms;
  return entry;
}

/// A control node that is the leader.
struct Node {
  explicit Node(runtime::Runtime& runtime)
      : fleet(runtime),
        log(fleet),
        directory({}, log),
        calls(runtime, log, directory, NodeName("node"), {"10.0.0.1", 7440}),
        voters(runtime, log, directory, 0),
        prober(runtime, dialer),
        service(runtime, log, fleet, calls, voters, prober) {}

  registry::FleetStateMachine fleet;
  tests::AppliedLog log;
  ControlNodeDirectory directory;
  LeaderCalls calls;
  VoterKeeper voters;
  SilentDialer dialer;
  GroupProber prober;
  RegistrationService service;
};

}  // namespace

class RegistrationServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationServiceTest);
  CPPUNIT_TEST(accepts_next_incarnation_and_ignores_former_one);
  CPPUNIT_TEST(accepts_removed_backend_in_next_incarnation);
  CPPUNIT_TEST(late_deregistration_keeps_next_incarnation);
  CPPUNIT_TEST(deregistration_at_stale_node_ends_current_incarnation);
  CPPUNIT_TEST(ignores_former_backend_of_address);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"node", "10.0.0.1", ZoneName("a")});
    node_ = std::make_unique<Node>(*runtime_);
  }
  void tearDown() override {
    node_.reset();
    world_.reset();
  }

  void accepts_next_incarnation_and_ignores_former_one() {
    CPPUNIT_ASSERT(register_at_node(incarnation("b1", 70, 1000)));
    CPPUNIT_ASSERT(register_at_node(incarnation("b1", 1, 2000)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, held("b1")->start_time_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node_->service.counts().replaced);
    registry::BackendEntry late = incarnation("b1", 71, 1000);
    late.leaving = true;
    CPPUNIT_ASSERT_MESSAGE("acknowledged, because the log already holds newer state", register_at_node(late));
    CPPUNIT_ASSERT(!held("b1")->leaving);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node_->service.counts().outdated);
  }

  void accepts_removed_backend_in_next_incarnation() {
    CPPUNIT_ASSERT(register_at_node(incarnation("b1", 5, 1000)));
    CPPUNIT_ASSERT(remove("b1"));
    CPPUNIT_ASSERT(register_at_node(incarnation("b1", 6, 1000)));
    CPPUNIT_ASSERT(held("b1") == nullptr);
    CPPUNIT_ASSERT(register_at_node(incarnation("b1", 1, 2000)));
    CPPUNIT_ASSERT(held("b1") != nullptr);
    CPPUNIT_ASSERT_MESSAGE("deregistered a second time", remove("b1"));
    CPPUNIT_ASSERT(held("b1") == nullptr);
  }

  /// The next incarnation registers before the deregistration of the previous one is committed.
  void late_deregistration_keeps_next_incarnation() {
    CPPUNIT_ASSERT(register_at_node(incarnation("b1", 5, 1000)));
    const auto removal = [this]() -> Awaitable<void> {
      Reason reason;
      co_await node_->service.deregister_backend(BackendName("b1"), reason);
    };
    runtime_->spawn("removal", removal());
    world_->run_for(milliseconds(1));
    apply_registration(incarnation("b1", 1, 2000));
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(held("b1") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, held("b1")->start_time_ms);
  }

  /// The node learns about the next incarnation only during the quorum round.
  void deregistration_at_stale_node_ends_current_incarnation() {
    CPPUNIT_ASSERT(register_at_node(incarnation("b1", 5, 1000)));
    node_->log.during_barrier = [this] { apply_registration(incarnation("b1", 1, 2000)); };
    CPPUNIT_ASSERT(remove("b1"));
    CPPUNIT_ASSERT(held("b1") == nullptr);
  }

  void ignores_former_backend_of_address() {
    CPPUNIT_ASSERT(register_at_node(incarnation("b2", 1, 2000)));
    CPPUNIT_ASSERT(register_at_node(incarnation("b1", 9, 1000)));
    CPPUNIT_ASSERT(held("b2") != nullptr);
    CPPUNIT_ASSERT(held("b1") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node_->service.counts().outdated);
  }

 private:
  const registry::BackendEntry* held(const std::string& name) {
    return node_->fleet.find_backend(BackendName(name));
  }
  bool register_at_node(const registry::BackendEntry& entry) {
    return run([&](Reason& reason) -> Awaitable<bool> {
      const auto taken = co_await node_->service.register_backend(entry, reason);
      co_return taken.has_value();
    });
  }
  /// Applies a registration that another control node committed.
  void apply_registration(const registry::BackendEntry& entry) {
    registry::LoggedCommand logged{registry::RegisterBackend{entry}};
    node_->fleet.apply(1, wire::encode_from(logged, wire::kWrittenFormat));
  }
  bool remove(const std::string& name) {
    return run([&](Reason& reason) { return node_->service.deregister_backend(BackendName(name), reason); });
  }
  template <class Call>
  bool run(const Call& call) {
    std::optional<bool> done;
    Reason reason;
    const auto task = [&]() -> Awaitable<void> {
      const bool taken = co_await call(reason);
      done = taken;
    };
    runtime_->spawn("call", task());
    world_->run_until([&] { return done.has_value(); }, seconds(2));
    return done.value_or(false);
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<Node> node_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationServiceTest);

}  // namespace cairnhollow::registered::control
