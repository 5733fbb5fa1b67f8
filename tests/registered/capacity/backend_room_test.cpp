// Tests an owner's part of a backend's slots with what the other owners told it, and plays owners that are
// lost, frozen or cut off from each other.
#include "registered/capacity/backend_room.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <set>

namespace cairnhollow::registered::capacity {

using scheduling::SlotDemand;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kSlots = 4;
constexpr Duration kWay = milliseconds(5);
const TimePoint kStart{seconds(1000)};

std::vector<subset::ProxyPointer> owners(const std::set<int>& numbers) {
  std::vector<subset::ProxyPointer> result;
  result.reserve(numbers.size());
  for (const int number : numbers) {
    result.push_back(std::make_shared<subset::ProxyView>(
        subset::ProxyView{NodeName(fmt::format("proxy-{}", number)), ZoneName("a"), {"", 1}}));
  }
  return result;
}

NodeName name_of(int number) { return NodeName(fmt::format("proxy-{}", number)); }

SlotDemand waiting(std::uint32_t count, std::uint32_t running = 0) {
  SlotDemand demand;
  demand.running = running;
  demand.waiting.front() = count;
  return demand;
}

/// Owners that tell each other their demand each kDemandInterval. Those in `silent` tell and hear nothing.
class Play {
 public:
  explicit Play(std::set<int> numbers) { set_owners(std::move(numbers)); }
  void set_owners(std::set<int> numbers) {
    numbers_ = std::move(numbers);
    for (const int number : numbers_) rooms_[number].set_owners(kSlots, owners(numbers_), name_of(number));
  }
  void run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kDemandInterval) {
      for (const int from : numbers_) {
        for (const int to : numbers_) {
          if (from == to || silent.count(from) + silent.count(to) > 0) continue;
          rooms_[to].record(name_of(from), demands[from], now_ - kWay);
        }
      }
    }
  }
  /// What the owner admits: its capacity, but never more than it needs.
  [[nodiscard]] std::uint32_t admitted(int number) {
    const std::uint32_t needed = demands[number].running + demands[number].total_waiting();
    return std::min(needed, rooms_[number].capacity(demands[number], now_));
  }
  [[nodiscard]] std::uint32_t admitted_by_all() {
    std::uint32_t sum = 0;
    for (const int number : numbers_) sum += admitted(number);
    return sum;
  }
  [[nodiscard]] std::uint32_t owner_count() const { return static_cast<std::uint32_t>(numbers_.size()); }

  std::map<int, SlotDemand> demands;
  std::set<int> silent;

 private:
  std::set<int> numbers_;
  std::map<int, BackendRoom> rooms_;
  TimePoint now_ = kStart;
};

/// The most that owners may have at a backend together: a slot each, and the backlog.
std::uint32_t most(const Play& play) { return kSlots + play.owner_count() * (1 + kBacklogPerOwner); }

}  // namespace

class BackendRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendRoomTest);
  CPPUNIT_TEST(without_news_each_has_its_static_part);
  CPPUNIT_TEST(static_parts_add_up_to_the_slots);
  CPPUNIT_TEST(uncontended_owner_uses_all_slots);
  CPPUNIT_TEST(news_expires);
  CPPUNIT_TEST(guest_runs_one);
  CPPUNIT_TEST(news_of_others_is_ignored);
  CPPUNIT_TEST(change_of_owners_keeps_news_of_those_that_stay);
  CPPUNIT_TEST(burst_is_divided_within_one_exchange);
  CPPUNIT_TEST(frozen_and_lost_owners_stop_nobody);
  CPPUNIT_TEST(owners_cut_off_do_not_both_use_all_slots);
  CPPUNIT_TEST(play_rejects_owners_that_keep_old_news);
  CPPUNIT_TEST_SUITE_END();

 public:
  void without_news_each_has_its_static_part() {
    BackendRoom room = room_of({0, 1, 2}, 1);
    CPPUNIT_ASSERT_EQUAL(1U + kBacklogPerOwner, room.capacity(waiting(9), kStart));
    CPPUNIT_ASSERT(room.is_owner() && room.is_divided() && !room.has_news(kStart));
    CPPUNIT_ASSERT(!BackendRoom().is_divided());
  }

  void static_parts_add_up_to_the_slots() {
    for (const std::set<int>& numbers : {std::set<int>{0}, std::set<int>{0, 1}, std::set<int>{0, 1, 2}}) {
      std::uint32_t sum = 0;
      for (const int number : numbers)
        sum += room_of(numbers, number).capacity(waiting(9), kStart) - kBacklogPerOwner;
      CPPUNIT_ASSERT_EQUAL(kSlots, sum);
    }
  }

  void uncontended_owner_uses_all_slots() {
    BackendRoom room = room_of({0, 1, 2}, 1);
    room.record(name_of(0), {}, kStart);
    room.record(name_of(2), {}, kStart);
    CPPUNIT_ASSERT_EQUAL(kSlots + kBacklogPerOwner, room.capacity(waiting(9), kStart));
    room.record(name_of(2), waiting(9), kStart);
    CPPUNIT_ASSERT_EQUAL(2U + kBacklogPerOwner, room.capacity(waiting(9), kStart));
  }

  void news_expires() {
    BackendRoom room = room_of({0, 1}, 0);
    room.record(name_of(1), {}, kStart);
    const TimePoint last = kStart + kDemandLifetime - milliseconds(1);
    CPPUNIT_ASSERT(room.has_news(last));
    CPPUNIT_ASSERT_EQUAL(kSlots + kBacklogPerOwner, room.capacity(waiting(9), last));
    CPPUNIT_ASSERT(!room.has_news(kStart + kDemandLifetime));
    CPPUNIT_ASSERT_EQUAL(2U + kBacklogPerOwner, room.capacity(waiting(9), kStart + kDemandLifetime));
  }

  void guest_runs_one() {
    BackendRoom room = room_of({0, 1, 2}, 7);
    CPPUNIT_ASSERT(room.is_divided() && !room.is_owner());
    CPPUNIT_ASSERT_EQUAL(kGuestStatements, room.capacity(waiting(9), kStart));
  }

  void news_of_others_is_ignored() {
    BackendRoom room = room_of({0, 1}, 0);
    room.record(name_of(5), waiting(9), kStart);
    CPPUNIT_ASSERT(!room.has_news(kStart));
  }

  void change_of_owners_keeps_news_of_those_that_stay() {
    BackendRoom room = room_of({0, 1, 2}, 0);
    room.record(name_of(1), {}, kStart);
    room.record(name_of(2), waiting(9), kStart);
    room.set_owners(kSlots, owners({0, 1}), name_of(0));
    CPPUNIT_ASSERT_EQUAL(kSlots + kBacklogPerOwner, room.capacity(waiting(9), kStart));
    room.set_owners(kSlots, owners({0, 1, 2}), name_of(0));
    CPPUNIT_ASSERT_MESSAGE("an owner that came back has told nothing",
                           room.capacity(waiting(9), kStart) < kSlots + kBacklogPerOwner);
  }

  void burst_is_divided_within_one_exchange() {
    Play play({0, 1, 2});
    play.demands[0] = waiting(20, 4);
    play.run(kDemandInterval);
    CPPUNIT_ASSERT_EQUAL(kSlots + kBacklogPerOwner, play.admitted(0));
    play.demands[1] = waiting(20);
    play.run(kDemandInterval);
    CPPUNIT_ASSERT_EQUAL(2U + kBacklogPerOwner, play.admitted(0));
    CPPUNIT_ASSERT_EQUAL(2U + kBacklogPerOwner, play.admitted(1));
  }

  void frozen_and_lost_owners_stop_nobody() {
    Play play({0, 1, 2});
    for (const int number : {0, 1, 2}) play.demands[number] = waiting(20);
    play.run(milliseconds(200));
    play.silent = {2};
    play.demands[2] = {};
    play.run(kDemandLifetime + kDemandInterval);
    CPPUNIT_ASSERT_MESSAGE("the frozen one's static part is kept for it",
                           play.admitted_by_all() >= kSlots - 1);
    play.set_owners({0, 1});
    play.run(kDemandInterval);
    CPPUNIT_ASSERT_EQUAL(kSlots + 2 * kBacklogPerOwner, play.admitted_by_all());
  }

  void owners_cut_off_do_not_both_use_all_slots() {
    Play play({0, 1, 2});
    play.demands[0] = waiting(20);
    play.run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(kSlots + kBacklogPerOwner, play.admitted(0));
    play.silent = {0, 1, 2};
    for (const int number : {0, 1, 2}) play.demands[number] = waiting(20);
    play.run(kDemandLifetime);
    CPPUNIT_ASSERT(play.admitted_by_all() <= most(play));
    CPPUNIT_ASSERT_EQUAL(kSlots + 3 * kBacklogPerOwner, play.admitted_by_all());
  }

  void play_rejects_owners_that_keep_old_news() {
    // Each owner heard once that the others need nothing, and is then cut off from them.
    std::uint32_t sum = 0;
    for (const int number : {0, 1, 2}) {
      BackendRoom room = room_of({0, 1, 2}, number);
      for (const int other : {0, 1, 2}) room.record(name_of(other), {}, kStart);
      sum += room.capacity(waiting(20), kStart);
    }
    CPPUNIT_ASSERT_MESSAGE("news that never expires breaks the bound", sum > most(Play({0, 1, 2})));
  }

 private:
  static BackendRoom room_of(const std::set<int>& numbers, int self) {
    BackendRoom room;
    room.set_owners(kSlots, owners(numbers), name_of(self));
    return room;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendRoomTest);

}  // namespace cairnhollow::registered::capacity
