// Tests how a backend's slots are divided among its owners by what each of them needs.
#include "registered/scheduling/slot_shares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <numeric>
#include <random>
#include <vector>

namespace cairnhollow::registered::scheduling {

namespace {

using Shares = std::vector<std::uint32_t>;

SlotDemand demand(std::uint32_t running, std::uint32_t highest = 0, std::uint32_t lowest = 0) {
  SlotDemand result;
  result.running = running;
  result.waiting.front() = highest;
  result.waiting.back() = lowest;
  return result;
}

Shares shares(std::uint32_t slots, const std::vector<SlotDemand>& demands) {
  Shares result;
  for (std::size_t owner = 0; owner < demands.size(); ++owner)
    result.push_back(divide_slots(slots, demands, owner));
  return result;
}

struct Case {
  std::string name;
  std::uint32_t slots;
  std::vector<SlotDemand> demands;
  Shares expected;
};

}  // namespace

class SlotSharesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotSharesTest);
  CPPUNIT_TEST(divides_by_class_and_evenly_within_one);
  CPPUNIT_TEST(leaves_no_slot_idle_and_exceeds_slots_by_one_per_owner);
  CPPUNIT_TEST(higher_class_is_never_given_less_for_more_of_a_lower_one);
  CPPUNIT_TEST_SUITE_END();

 public:
  void divides_by_class_and_evenly_within_one() {
    const std::vector<Case> cases{
        {"nobody needs any", 4, {demand(0), demand(0), demand(0)}, {2, 1, 1}},
        {"one waits, the others are idle", 4, {demand(0), demand(1, 9), demand(0)}, {1, 4, 1}},
        {"one waits with the lowest class, the others are idle", 4, {demand(0, 0, 9), demand(0)}, {4, 1}},
        {"the highest class goes first", 4, {demand(0, 0, 9), demand(0, 9)}, {1, 3}},
        {"each waiting owner has one", 4, {demand(0, 0, 9), demand(0, 9), demand(0, 9)}, {1, 2, 1}},
        {"evenly within a class", 6, {demand(0, 9), demand(0, 9), demand(0, 9)}, {2, 2, 2}},
        {"what runs gives no claim on the next slot", 4, {demand(4, 0, 9), demand(0, 3)}, {1, 3}},
        {"what runs keeps its slot from the lowest class", 4, {demand(2), demand(0, 0, 9)}, {2, 2}},
        {"what only runs needs no more", 8, {demand(1), demand(0, 0, 9)}, {1, 7}},
        {"more owners than slots", 2, {demand(1, 3), demand(1, 3), demand(1, 3)}, {1, 1, 1}},
        {"more slots than wanted", 9, {demand(1, 1), demand(0), demand(2)}, {4, 2, 3}},
        {"one owner", 4, {demand(0)}, {4}},
        {"no slots", 0, {demand(0, 3), demand(1)}, {1, 1}},
    };
    for (const Case& one : cases)
      CPPUNIT_ASSERT_MESSAGE(one.name, one.expected == shares(one.slots, one.demands));
  }

  void leaves_no_slot_idle_and_exceeds_slots_by_one_per_owner() {
    std::mt19937 random(11);
    for (int round = 0; round < 3000; ++round) {
      const std::vector<SlotDemand> demands = random_demands(random);
      const std::uint32_t slots = random() % 20;
      std::uint32_t wanted = 0;
      for (const SlotDemand& one : demands) wanted += one.running + one.total_waiting();
      const Shares given = shares(slots, demands);
      const std::uint32_t sum = std::accumulate(given.begin(), given.end(), 0U);
      const std::string what = fmt::format("round {}: {} of {} slots, {} wanted", round, sum, slots, wanted);
      CPPUNIT_ASSERT_MESSAGE(what, sum >= slots);
      CPPUNIT_ASSERT_MESSAGE(what, sum <= slots + demands.size());
      // A slot is idle if an owner has more than it needs while another one that waits has less.
      std::uint32_t used = 0;
      for (std::size_t owner = 0; owner < demands.size(); ++owner) {
        used += std::min(given[owner], demands[owner].running + demands[owner].total_waiting());
        CPPUNIT_ASSERT_MESSAGE(what, given[owner] >= 1);
      }
      CPPUNIT_ASSERT_MESSAGE(what, used >= std::min(slots, wanted));
    }
  }

  void higher_class_is_never_given_less_for_more_of_a_lower_one() {
    std::mt19937 random(12);
    for (int round = 0; round < 1000; ++round) {
      std::vector<SlotDemand> demands(3);
      demands[0].waiting.front() = random() % 9;
      demands[1].waiting.back() = 1 + random() % 3;
      const std::uint32_t before = divide_slots(6, demands, 0);
      demands[1].waiting.back() += 20;
      // What it does not want itself may go to the others.
      const std::uint32_t needed = std::min(before, std::max(demands[0].waiting.front(), 1U));
      CPPUNIT_ASSERT(divide_slots(6, demands, 0) >= needed);
    }
  }

 private:
  static std::vector<SlotDemand> random_demands(std::mt19937& random) {
    std::vector<SlotDemand> demands(1 + random() % 5);
    for (SlotDemand& one : demands) {
      if (random() % 3 == 0) continue;
      one.running = random() % 6;
      for (std::uint32_t& waiting : one.waiting) waiting = random() % 2 == 0 ? 0 : random() % 8;
    }
    return demands;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotSharesTest);

}  // namespace cairnhollow::registered::scheduling
