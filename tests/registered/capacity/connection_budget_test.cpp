// Tests that the proxies of a group never open more connections to a backend than it accepts, also while
// those of lost processes still count, and that takers find room.
#include "registered/capacity/connection_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>

#include "registered/capacity/backend_owners.h"

namespace cairnhollow::registered::capacity {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kUsable = 52;
constexpr std::uint64_t kServing = 12;
constexpr std::uint64_t kSlots = 4;
const TimePoint kStart{seconds(1000)};

ConnectionUsers users(std::uint64_t owners, bool is_owner) {
  return {kUsable, owners, kServing - owners, is_owner};
}

/// The proxies that serve a group, and what the backend counts while each opens as many links as it may.
class Play {
 public:
  /// `budgeted`: whether the proxies count the connections of lost owners; else their settled limits apply at
  /// once.
  explicit Play(std::set<int> owners, bool budgeted = true)
      : owners_(std::move(owners)), budgeted_(budgeted) {
    change(owners_, kStart - seconds(100));
    open(kStart);
  }

  /// The proxies learn of the new owners at once. Processes in `lost` end without closing their connections.
  void lose(const std::set<int>& lost, std::set<int> owners, TimePoint now) {
    for (const int one : lost) {
      ghosts_.emplace_back(now + kLostConnectionsCounted, open_[one]);
      open_.erase(one);
      budgets_.erase(one);
    }
    change(std::move(owners), now);
  }

  /// Each owner opens or closes links up to its maximum. Returns how many count at the backend.
  std::uint64_t open(TimePoint now) {
    std::uint64_t counted = 0;
    for (const int owner : owners_) open_[owner] = limits(owner, now).maximum;
    for (const auto& [process, links] : open_) counted += links;
    for (const auto& [until, links] : ghosts_) counted += now < until ? links : 0;
    return counted + (kServing - owners_.size()) * kReservedGuestLinks;
  }
  [[nodiscard]] LinkLimits limits(int owner, TimePoint now) const {
    if (!budgeted_) return settled_limits(users(owners_.size(), owners_.count(owner) > 0));
    return budgets_.at(owner).limits(now);
  }

 private:
  void change(std::set<int> owners, TimePoint now) {
    std::uint64_t removed = 0;
    for (const int owner : owners_) removed += owners.count(owner) == 0 ? 1 : 0;
    owners_ = std::move(owners);
    // All serving processes know the owners, so that each can tell who was lost when it becomes one.
    for (int process = 0; process < static_cast<int>(kServing); ++process)
      budgets_[process].set_users(users(owners_.size(), owners_.count(process) > 0), removed, now);
  }

  std::set<int> owners_;
  bool budgeted_ = true;
  std::map<int, ConnectionBudget> budgets_;
  std::map<int, std::uint64_t> open_;
  std::vector<std::pair<TimePoint, std::uint64_t>> ghosts_;
};

}  // namespace

class ConnectionBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionBudgetTest);
  CPPUNIT_TEST(parts_and_guest_links_stay_within_the_cap);
  CPPUNIT_TEST(lost_owners_are_replaced_within_the_cap);
  CPPUNIT_TEST(two_losses_in_a_row_stay_within_the_cap);
  CPPUNIT_TEST(play_rejects_limits_that_apply_at_once);
  CPPUNIT_TEST(limits_settle_once_lost_connections_are_gone);
  CPPUNIT_TEST(started_process_leaves_room_for_what_was_lost);
  CPPUNIT_TEST(guest_has_few_links);
  CPPUNIT_TEST(few_connections_leave_one_link_each);
  CPPUNIT_TEST(fewer_connections_than_reserved_leave_one_link_each);
  CPPUNIT_TEST(proxies_of_other_zones_share_where_the_zone_has_none);
  CPPUNIT_TEST_SUITE_END();

 public:
  void parts_and_guest_links_stay_within_the_cap() {
    CPPUNIT_ASSERT(settled_limits(users(4, true)) == (LinkLimits{10, 11}));
    for (std::uint64_t owners = 1; owners <= kServing; ++owners) {
      const LinkLimits limits = settled_limits(users(owners, true));
      CPPUNIT_ASSERT(owners * limits.maximum + (kServing - owners) * kReservedGuestLinks <= kUsable);
      CPPUNIT_ASSERT(limits.kept <= limits.maximum);
    }
  }

  void lost_owners_are_replaced_within_the_cap() {
    const std::vector<std::pair<std::set<int>, std::set<int>>> cases{
        {{0}, {1, 2, 3, 4}}, {{0, 1}, {2, 3, 4, 5}}, {{0, 1, 2}, {3, 4, 5, 6}}, {{0, 1}, {2, 3}}};
    for (const auto& [lost, successors] : cases) {
      Play play({0, 1, 2, 3});
      CPPUNIT_ASSERT(play.open(kStart) <= kUsable);
      play.lose(lost, successors, kStart);
      for (int step = 0; step < 50; ++step) {
        const TimePoint now = kStart + milliseconds(100) * step;
        const std::uint64_t counted = play.open(now);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} lost, step {}: {}", lost.size(), step, counted),
                               counted <= kUsable);
        std::uint64_t room = 0;
        for (const int owner : successors) room += play.limits(owner, now).maximum;
        CPPUNIT_ASSERT_MESSAGE("room for each slot", room >= kSlots);
      }
    }
  }

  void two_losses_in_a_row_stay_within_the_cap() {
    Play play({0, 1, 2, 3});
    play.lose({0}, {1, 2, 3, 4}, kStart);
    CPPUNIT_ASSERT(play.open(kStart) <= kUsable);
    const TimePoint second = kStart + seconds(1);
    play.lose({1}, {2, 3, 4, 5}, second);
    for (int step = 0; step < 50; ++step)
      CPPUNIT_ASSERT(play.open(second + milliseconds(100) * step) <= kUsable);
  }

  void play_rejects_limits_that_apply_at_once() {
    Play play({0, 1, 2, 3}, false);
    CPPUNIT_ASSERT(play.open(kStart) <= kUsable);
    play.lose({0}, {1, 2, 3, 4}, kStart);
    CPPUNIT_ASSERT(play.open(kStart) > kUsable);
    CPPUNIT_ASSERT(play.open(kStart + kLostConnectionsCounted - milliseconds(1)) > kUsable);
    CPPUNIT_ASSERT_MESSAGE("the lost ones count no longer",
                           play.open(kStart + kLostConnectionsCounted) <= kUsable);
  }

  void limits_settle_once_lost_connections_are_gone() {
    Play play({0, 1, 2, 3});
    play.lose({0}, {1, 2, 3, 4}, kStart);
    const LinkLimits settled = settled_limits(users(4, true));
    for (const int owner : {1, 4}) {
      CPPUNIT_ASSERT(play.limits(owner, kStart) != settled);
      CPPUNIT_ASSERT(play.limits(owner, kStart + kLostConnectionsCounted - milliseconds(1)) != settled);
      CPPUNIT_ASSERT(play.limits(owner, kStart + kLostConnectionsCounted) == settled);
    }
  }

  void started_process_leaves_room_for_what_was_lost() {
    ConnectionBudget budget;
    budget.set_users(users(4, true), 0, kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, budget.limits(kStart).maximum);
    budget.set_users(users(4, true), 0, kStart + seconds(1));
    CPPUNIT_ASSERT(budget.limits(kStart + kLostConnectionsCounted) == settled_limits(users(4, true)));
  }

  void guest_has_few_links() {
    ConnectionBudget budget;
    budget.set_users(users(4, false), 1, kStart);
    CPPUNIT_ASSERT_MESSAGE("a process that has just started",
                           budget.limits(kStart) == (LinkLimits{kReservedGuestLinks, kReservedGuestLinks}));
    CPPUNIT_ASSERT(budget.limits(kStart + kLostConnectionsCounted) == (LinkLimits{kGuestLinks, kGuestLinks}));
  }

  void few_connections_leave_one_link_each() {
    CPPUNIT_ASSERT(settled_limits({3, 3, 9, true}) == (LinkLimits{1, 1}));
    CPPUNIT_ASSERT_MESSAGE("unlimited", settled_limits({0, 3, 9, true}).kept >= 9);
  }

  void fewer_connections_than_reserved_leave_one_link_each() {
    constexpr std::uint64_t kFew = 8;
    constexpr std::uint64_t kGuests = 11;
    CPPUNIT_ASSERT(settled_limits({kFew, 4, kGuests, true}) == (LinkLimits{1, 1}));
    ConnectionBudget budget;
    budget.set_users({kFew, 4, kGuests, true}, 0, kStart);
    budget.set_users({kFew, 4, kGuests, true}, 1, kStart + seconds(10));
    CPPUNIT_ASSERT(budget.limits(kStart + seconds(10)) == (LinkLimits{1, 1}));
  }

  void proxies_of_other_zones_share_where_the_zone_has_none() {
    constexpr int kServing = 15;
    std::vector<subset::ProxyPointer> serving;
    serving.reserve(kServing);
    for (int number = 0; number < kServing; ++number) {
      serving.push_back(std::make_shared<subset::ProxyView>(
          subset::ProxyView{NodeName(fmt::format("proxy-{}", number)), ZoneName("zone-0"), {"", 1}}));
    }
    const std::uint64_t owners = owners_of(serving, ZoneName("zone-9"), owner_count(kSlots)).size();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, owners);
    const std::uint64_t guests = serving.size() - owners;
    const LinkLimits limits = settled_limits({kUsable, owners, guests, true});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, limits.maximum);
    CPPUNIT_ASSERT(owners * limits.maximum + guests * kReservedGuestLinks <= kUsable);
    CPPUNIT_ASSERT(settled_limits({kUsable, owners, guests, false}) ==
                   (LinkLimits{kGuestLinks, kGuestLinks}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionBudgetTest);

}  // namespace cairnhollow::registered::capacity
