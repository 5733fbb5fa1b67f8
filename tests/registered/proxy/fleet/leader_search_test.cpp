// The leader is found quickly even if other control nodes are unreachable, name another one or run an older
// build.
#include "registered/proxy/fleet/leader_search.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <vector>

#include "simulation/world.h"
#include "wire/codec.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint16_t kPort = 7440;

/// A control node that grants a lease or names the leader. Can act as an older build that supports plain
/// deltas only.
class ControlNode {
 public:
  explicit ControlNode(runtime::Runtime& runtime, const std::string& address) : runtime_(runtime) {
    Reason reason;
    listener_ = runtime_.network().listen({address, kPort}, reason);
    runtime_.spawn("control", accept());
  }
  bool leads = false;
  bool supports_compressed = true;
  std::string leader_hint;
  int asked = 0;

 private:
  Awaitable<void> accept() {
    Reason reason;
    while (auto frames = co_await listener_->accept(reason))
      runtime_.spawn("serve", serve(std::move(frames)));
  }
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> frames) {
    Reason reason;
    const auto first = co_await frames->receive(reason);
    std::optional<wire::Hello> hello;
    if (first) hello = wire::decode<wire::Hello>(*first, reason);
    const bool compressed = hello && hello->conversation == wire::Conversation::kServingCompressed;
    if (!hello || (compressed && !supports_compressed)) {
      frames->close();
      co_return;
    }
    while (const auto frame = co_await frames->receive(reason)) {
      const auto report = wire::decode<registry::ProxyReport>(*frame, reason);
      ++asked;
      registry::ProxyUpdate update;
      update.nonce = report->nonce;
      update.lease = seconds(1);
      if (!leads) update.refusal = Reason{ReasonCode::kNotLeader, "renew_lease", leader_hint, ""};
      co_await frames->send(wire::encode(update), reason);
    }
  }

  runtime::Runtime& runtime_;
  std::unique_ptr<runtime::FrameListener> listener_;
};

}  // namespace

class LeaderSearchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderSearchTest);
  CPPUNIT_TEST(unreachable_control_nodes_do_not_delay_the_search);
  CPPUNIT_TEST(asks_named_leader_immediately);
  CPPUNIT_TEST(finds_leader_soon_after_power_returns);
  CPPUNIT_TEST(falls_back_to_plain_deltas_for_older_builds);
  CPPUNIT_TEST(reports_that_control_nodes_are_alive);
  CPPUNIT_TEST(stop_ends_the_search);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    for (const std::string& address : addresses_) {
      auto& node = world_->start_bare({"control-" + address, address, ZoneName("a")});
      nodes_.push_back(std::make_unique<ControlNode>(node, address));
    }
    wire::Hello hello;
    hello.conversation = wire::Conversation::kServingCompressed;
    hello.highest_version = hello.protocol_version;
    search_ = std::make_unique<LeaderSearch>(
        *runtime_, hello, kPort, [this] { return make_report(); }, [this] { ++heard_; });
  }
  void tearDown() override {
    search_->stop();
    world_->run_for(seconds(2));
    found_.reset();
    search_.reset();
    nodes_.clear();
    world_.reset();
  }

  void unreachable_control_nodes_do_not_delay_the_search() {
    nodes_[4]->leads = true;
    for (int unreachable = 0; unreachable < 4; ++unreachable) cut(addresses_[unreachable]);
    CPPUNIT_ASSERT(run_search() < milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(addresses_[4], found_->conversation->endpoint.address);
    CPPUNIT_ASSERT(found_->conversation->is_compressed);
  }

  void asks_named_leader_immediately() {
    nodes_[3]->leads = true;
    for (const auto& node : nodes_) node->leader_hint = addresses_[3];
    known_count_ = 2;  // the proxy does not know the leader's endpoint
    CPPUNIT_ASSERT(run_search() < milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(addresses_[3], found_->conversation->endpoint.address);
  }

  void finds_leader_soon_after_power_returns() {
    nodes_[0]->leads = true;
    for (const std::string& address : addresses_) cut(address);
    runtime_->spawn("search", search());
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT(!found_);
    world_->heal();
    const TimePoint back = runtime_->now();
    world_->run_until([this] { return found_.has_value(); }, seconds(2));
    CPPUNIT_ASSERT(runtime_->now() - back <
                   kLongControlDialTimeout + kControlRetryMaxBackoff + milliseconds(20));
  }

  void falls_back_to_plain_deltas_for_older_builds() {
    for (const auto& node : nodes_) node->supports_compressed = false;
    nodes_[0]->leads = true;
    CPPUNIT_ASSERT(run_search() < seconds(1));
    CPPUNIT_ASSERT(!found_->conversation->is_compressed);
  }

  void reports_that_control_nodes_are_alive() {
    for (const std::string& address : addresses_) cut(address);
    runtime_->spawn("search", search());
    world_->run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("none accepts a connection", 0, heard_);
    world_->heal();
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("they answer that none of them leads", heard_ > 0 && !found_);
  }

  void stop_ends_the_search() {
    runtime_->spawn("search", search());
    world_->run_for(milliseconds(300));
    search_->stop();
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT(ended_);
    CPPUNIT_ASSERT(!found_);
    const int asked = nodes_[0]->asked;
    world_->run_for(seconds(2));
    CPPUNIT_ASSERT_EQUAL(asked, nodes_[0]->asked);
  }

 private:
  registry::ProxyReport make_report() {
    registry::ProxyReport report;
    report.nonce = next_nonce_++;
    return report;
  }
  void cut(const std::string& address) {
    world_->network().faults().cut_machines("10.0.0.1", address);
    world_->network().faults().cut_machines(address, "10.0.0.1");
  }
  Awaitable<void> search() {
    std::vector<Endpoint> endpoints;
    for (std::size_t number = 0; number < known_count_; ++number)
      endpoints.push_back({addresses_[number], kPort});
    auto found = co_await search_->run(std::move(endpoints));
    if (found) found_ = std::move(found);
    ended_ = true;
  }
  Duration run_search() {
    const TimePoint started_at = runtime_->now();
    runtime_->spawn("search", search());
    world_->run_until([this] { return ended_; }, seconds(10));
    CPPUNIT_ASSERT(found_.has_value());
    return runtime_->now() - started_at;
  }

  const std::vector<std::string> addresses_{"10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.4", "10.0.1.5"};
  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::vector<std::unique_ptr<ControlNode>> nodes_;
  std::unique_ptr<LeaderSearch> search_;
  std::optional<LeaderSearch::Found> found_;
  std::size_t known_count_ = 5;
  int heard_ = 0;  ///< contacts with control nodes that were reported
  std::uint64_t next_nonce_ = 1;
  bool ended_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderSearchTest);

}  // namespace cairnhollow::registered::proxy
