// Tests that promotions stay within the platform's rate limit and that the most urgent go first.
#include "registered/control/failover/promotion_turns.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "simulation/world.h"

namespace cairnhollow::registered::control {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PromotionTurnsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionTurnsTest);
  CPPUNIT_TEST(a_few_go_at_once);
  CPPUNIT_TEST(a_lost_zone_stays_within_the_rate_in_each_second);
  CPPUNIT_TEST(low_rates_hold_in_each_second);
  CPPUNIT_TEST(the_most_urgent_go_first);
  CPPUNIT_TEST(without_a_rate_nobody_waits);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"control", "10.0.0.1", ZoneName("a")});
  }
  void tearDown() override {
    turns_.reset();
    world_.reset();
  }

  void a_few_go_at_once() {
    begin(50);
    for (int call = 0; call < 10; ++call) ask(1);
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, calls_.size());
    CPPUNIT_ASSERT(std::all_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.at_once; }));
  }

  /// 100 primaries fail at once on a platform that accepts 50 calls a second.
  void a_lost_zone_stays_within_the_rate_in_each_second() {
    constexpr std::size_t kRate = 50;
    begin(kRate);
    for (int call = 0; call < 100; ++call) ask(1);
    world_->run_for(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("(100 - 10) / 40 s = 2.25 s after the burst", std::size_t{100},
                                 calls_.size());
    for (const Call& first : calls_) {
      const auto within = std::count_if(calls_.begin(), calls_.end(), [&](const Call& call) {
        return call.at >= first.at && call.at < first.at + seconds(1);
      });
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} calls within a second", within),
                             within <= static_cast<std::ptrdiff_t>(kRate));
    }
  }

  void low_rates_hold_in_each_second() {
    for (const double rate : {1.0, 1.5, 2.6, 4.0, 7.0}) {
      begin(rate);
      calls_.clear();
      for (int call = 0; call < 20; ++call) ask(1);
      world_->run_for(seconds(60));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("at {} calls a second", rate), std::size_t{20}, calls_.size());
      CPPUNIT_ASSERT_MESSAGE(
          fmt::format("{} calls within a second at a rate of {}", most_within_a_second(), rate),
          static_cast<double>(most_within_a_second()) <= rate);
    }
  }

  void the_most_urgent_go_first() {
    begin(5);
    ask(9);
    world_->run_for(milliseconds(1));
    ask(3);
    ask(2);
    ask(1);
    ask(2);
    world_->run_for(seconds(2));
    std::vector<std::uint64_t> order;
    for (const Call& call : calls_) order.push_back(call.urgency);
    CPPUNIT_ASSERT(order == (std::vector<std::uint64_t>{9, 1, 2, 2, 3}));
    CPPUNIT_ASSERT(!calls_.back().at_once);
  }

  void without_a_rate_nobody_waits() {
    begin(0);
    for (int call = 0; call < 200; ++call) ask(1);
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, calls_.size());
  }

 private:
  [[nodiscard]] std::ptrdiff_t most_within_a_second() const {
    std::ptrdiff_t most = 0;
    for (const Call& first : calls_) {
      const auto within = std::count_if(calls_.begin(), calls_.end(), [&](const Call& call) {
        return call.at >= first.at && call.at < first.at + seconds(1);
      });
      most = std::max(most, within);
    }
    return most;
  }

  struct Call {
    std::uint64_t urgency = 0;
    TimePoint at{};
    bool at_once = false;
  };

  void begin(double rate) { turns_ = std::make_unique<PromotionTurns>(*runtime_, rate); }
  void ask(std::uint64_t urgency) { runtime_->spawn("ask", take(urgency)); }
  Awaitable<void> take(std::uint64_t urgency) {
    const bool at_once = co_await turns_->take(urgency);
    calls_.push_back({urgency, runtime_->now(), at_once});
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<PromotionTurns> turns_;
  std::vector<Call> calls_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionTurnsTest);

}  // namespace cairnhollow::registered::control
