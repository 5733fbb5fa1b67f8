// Tests that the proxies of a group never open more connections to a backend than it accepts, also while
// those of lost processes still count, and that takers find room.
#include "registered/capacity/connection_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <map>
#include <set>

namespace cairnhollow::registered::capacity {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kUsable = 52;
const TimePoint kStart{seconds(1000)};

/// What each of `count` processes may have open at one backend, and what the lost ones still count for.
class Play {
 public:
  explicit Play(std::set<int> owners, int serving) : serving_(serving) {
    change(std::move(owners), kStart - seconds(100));
    open_all(kStart);
  }

  /// All proxies learn of the new owners at once. Processes in `lost` end without closing their connections.
  void lose(const std::set<int>& lost, std::set<int> owners, TimePoint now) {
    for (const int one : lost) {
      if (open_.count(one) > 0) ghosts_.emplace_back(now + kLostConnectionsCounted, open_[one]);
      open_.erase(one);
      budgets_.erase(one);
    }
    change(std::move(owners), now);
  }

  /// Each owner opens and closes connections up to the maximum. Returns how many count at the backend.
  std::uint64_t open_all(TimePoint now) {
    std::uint64_t counted = 0;
    for (const int owner : owners_) open_[owner] = budgets_[owner].limits(now).maximum;
    for (const auto& [process, links] : open_) counted += links;
    for (const auto& [until, links] : ghosts_) counted += now < until ? links : 0;
    return counted + (static_cast<std::uint64_t>(serving_) - owners_.size()) * kGuestLinks;
  }
  [[nodiscard]] LinkLimits limits(int owner, TimePoint now) const { return budgets_.at(owner).limits(now); }

 private:
  void change(std::set<int> owners, TimePoint now) {
    owners_ = std::move(owners);
    for (const int owner : owners_) {
      const ConnectionUsers users{kUsable, owners_.size(),
                                  static_cast<std::uint64_t>(serving_) - owners_.size(), true};
      budgets_[owner].set_users(users, true, now);
    }
  }

  int serving_;
  std::set<int> owners_;
  std::map<int, ConnectionBudget> budgets_;
  std::map<int, std::uint64_t> open_;
  std::vector<std::pair<TimePoint, std::uint64_t>> ghosts_;
};

}  // namespace

class ConnectionBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionBudgetTest);
  CPPUNIT_TEST(owners_keep_two_thirds_in_calm);
  CPPUNIT_TEST(lost_owners_are_replaced_within_the_cap);
  CPPUNIT_TEST(limits_without_delay_would_exceed_the_cap);
  CPPUNIT_TEST(limits_settle_once_lost_connections_are_gone);
  CPPUNIT_TEST(guest_has_one_link);
  CPPUNIT_TEST(few_connections_leave_one_link_each);
  CPPUNIT_TEST_SUITE_END();

 public:
  void owners_keep_two_thirds_in_calm() {
    const ConnectionUsers users{kUsable, 3, 9, true};
    // 43 are left by the guests; 14 of them for takers.
    CPPUNIT_ASSERT(settled_limits(users) == (LinkLimits{9, 11}));
    CPPUNIT_ASSERT(takeover_limits(users) == (LinkLimits{4, 4}));
    CPPUNIT_ASSERT(3 * settled_limits(users).kept + 3 * takeover_limits(users).kept + 9 <= kUsable);
  }

  void lost_owners_are_replaced_within_the_cap() {
    const std::vector<std::pair<std::set<int>, std::set<int>>> cases{
        {{0}, {1, 2, 3}}, {{0, 1}, {2, 3, 4}}, {{0, 1, 2}, {3, 4, 5}}};
    for (const auto& [lost, successors] : cases) {
      Play play({0, 1, 2}, 12);
      CPPUNIT_ASSERT(play.open_all(kStart) <= kUsable);
      play.lose(lost, successors, kStart);
      for (int step = 0; step < 50; ++step) {
        const TimePoint now = kStart + milliseconds(100) * step;
        const std::uint64_t counted = play.open_all(now);
        const std::string what = fmt::format("{} owners lost, step {}: {}", lost.size(), step, counted);
        // With transactions in use beyond what is kept, losing all owners at once may exceed the rest.
        if (lost.size() < 3) CPPUNIT_ASSERT_MESSAGE(what, counted <= kUsable);
        CPPUNIT_ASSERT_MESSAGE(what, counted <= kUsable + kUsable / kTakeoverDivisor / kTransactionDivisor);
        for (const int owner : successors)
          CPPUNIT_ASSERT_MESSAGE("a taker finds room for each slot", play.limits(owner, now).kept >= 4);
      }
    }
  }

  void limits_without_delay_would_exceed_the_cap() {
    // The same loss with limits that apply at once: the history that the budget must not allow.
    const ConnectionUsers users{kUsable, 3, 9, true};
    const std::uint64_t lost = 2 * settled_limits(users).maximum;
    CPPUNIT_ASSERT(lost + 3 * settled_limits(users).maximum + 9 > kUsable);
  }

  void limits_settle_once_lost_connections_are_gone() {
    Play play({0, 1, 2}, 12);
    play.lose({0}, {1, 2, 3}, kStart);
    const LinkLimits settled = settled_limits({kUsable, 3, 9, true});
    CPPUNIT_ASSERT(play.limits(3, kStart + kLostConnectionsCounted - milliseconds(1)) != settled);
    CPPUNIT_ASSERT(play.limits(3, kStart + kLostConnectionsCounted) == settled);
    CPPUNIT_ASSERT_MESSAGE("an owner that stays keeps its links", play.limits(1, kStart) == settled);
  }

  void guest_has_one_link() {
    const ConnectionUsers guest{kUsable, 3, 9, false};
    CPPUNIT_ASSERT(settled_limits(guest) == (LinkLimits{1, 1}));
    CPPUNIT_ASSERT(takeover_limits(guest) == (LinkLimits{1, 1}));
  }

  void few_connections_leave_one_link_each() {
    CPPUNIT_ASSERT(settled_limits({3, 3, 9, true}) == (LinkLimits{1, 1}));
    CPPUNIT_ASSERT_MESSAGE("unlimited", settled_limits({0, 3, 9, true}).kept >= 9);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBudgetTest);

}  // namespace cairnhollow::registered::capacity
