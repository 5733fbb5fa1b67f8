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
  CPPUNIT_TEST(allows_a_burst);
  CPPUNIT_TEST(keeps_the_rate_when_a_zone_fails);
  CPPUNIT_TEST(keeps_low_rates);
  CPPUNIT_TEST(serves_the_most_urgent_first);
  CPPUNIT_TEST(does_not_wait_without_a_rate);
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

  void allows_a_burst() {
    start_limiter(50);
    for (int call = 0; call < 10; ++call) request_call(1);
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, calls_.size());
    CPPUNIT_ASSERT(
        std::all_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.immediate; }));
  }

  /// 100 primaries fail at once on a platform that accepts 50 calls a second.
  void keeps_the_rate_when_a_zone_fails() {
    constexpr std::size_t kRate = 50;
    start_limiter(kRate);
    for (int call = 0; call < 100; ++call) request_call(1);
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

  void keeps_low_rates() {
    for (const double rate : {1.0, 1.5, 2.6, 4.0, 7.0}) {
      start_limiter(rate);
      calls_.clear();
      for (int call = 0; call < 20; ++call) request_call(1);
      world_->run_for(seconds(60));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("at {} calls a second", rate), std::size_t{20}, calls_.size());
      CPPUNIT_ASSERT_MESSAGE(
          fmt::format("{} calls within a second at a rate of {}", max_calls_within_a_second(), rate),
          static_cast<double>(max_calls_within_a_second()) <= rate);
    }
  }

  void serves_the_most_urgent_first() {
    start_limiter(5);
    request_call(9);
    world_->run_for(milliseconds(1));
    request_call(3);
    request_call(2);
    request_call(1);
    request_call(2);
    world_->run_for(seconds(2));
    std::vector<std::uint64_t> order;
    for (const Call& call : calls_) order.push_back(call.urgency);
    CPPUNIT_ASSERT(order == (std::vector<std::uint64_t>{9, 1, 2, 2, 3}));
    CPPUNIT_ASSERT(!calls_.back().immediate);
  }

  void does_not_wait_without_a_rate() {
    start_limiter(0);
    for (int call = 0; call < 200; ++call) request_call(1);
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, calls_.size());
  }

 private:
  [[nodiscard]] std::ptrdiff_t max_calls_within_a_second() const {
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
    bool immediate = false;
  };

  void start_limiter(double rate) { turns_ = std::make_unique<PromotionTurns>(*runtime_, rate); }
  void request_call(std::uint64_t urgency) { runtime_->spawn("ask", acquire(urgency)); }
  Awaitable<void> acquire(std::uint64_t urgency) {
    const bool immediate = co_await turns_->acquire(urgency);
    calls_.push_back({urgency, runtime_->now(), immediate});
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  std::unique_ptr<PromotionTurns> turns_;
  std::vector<Call> calls_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionTurnsTest);

}  // namespace cairnhollow::registered::control
