// Tests where reads go by their expected completion: table, and two regions whose demand comes in waves.
#include "registered/balancing/expected_completion.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace cairnhollow::registered::balancing {

namespace {

/// Two regions with one backend each, 5 slots and 40 ms of work; reads arrive in each region in waves of 13 s
/// that are out of phase.
class TwoRegions {
 public:
  /// Reads a second of each region, on average and the part by which a wave exceeds it.
  TwoRegions(double rate, double swing) : rate_(rate), swing_(swing) {}

  void run_periods(int periods) {
    const double end_ms = 13'000.0 * periods;
    for (; now_ms_ < end_ms; now_ms_ += 1) {
      for (std::vector<double>& ends : running_)
        std::erase_if(ends, [this](double end) { return end <= now_ms_; });
      for (std::size_t region = 0; region < 2; ++region) arrive(region);
    }
  }
  [[nodiscard]] double crossing_share() const { return static_cast<double>(crossed_) / reads_; }
  /// Reads that ran in the other region while a slot of their own was free.
  [[nodiscard]] int crossed_in_vain() const { return crossed_in_vain_; }
  [[nodiscard]] double longest_queue() const { return longest_queue_; }

 private:
  void arrive(std::size_t region) {
    const double phase = 2 * 3.14159 * (now_ms_ / 13'000.0 + 0.5 * static_cast<double>(region));
    due_[region] += rate_ * (1 + swing_ * std::sin(phase)) / 1000;
    for (; due_[region] >= 1; due_[region] -= 1) read(region);
  }
  void read(std::size_t region) {
    const std::size_t other = 1 - region;
    const bool crosses = cost(other, Way::kOtherRegion) < cost(region, Way::kSameZone);
    if (crosses && running_[region].size() < 5) ++crossed_in_vain_;
    run_at(crosses ? other : region);
    crossed_ += crosses ? 1 : 0;
    ++reads_;
  }
  [[nodiscard]] double cost(std::size_t at, Way way) const {
    return expected_completion_ms({40, running_[at].size(), 5, way, false});
  }
  void run_at(std::size_t at) {
    std::vector<double>& ends = running_[at];
    std::sort(ends.begin(), ends.end());
    const double begins = ends.size() < 5 ? now_ms_ : ends[ends.size() - 5];
    ends.push_back(begins + 40);
    longest_queue_ = std::max(longest_queue_, static_cast<double>(ends.size()));
  }

  double rate_;
  double swing_;
  double now_ms_ = 0;
  double due_[2] = {0, 0};
  std::vector<double> running_[2];
  int reads_ = 0;
  int crossed_ = 0;
  int crossed_in_vain_ = 0;
  double longest_queue_ = 0;
};

}  // namespace

class ExpectedCompletionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExpectedCompletionTest);
  CPPUNIT_TEST(prefers_the_earlier_completion);
  CPPUNIT_TEST(reads_stay_while_their_region_has_room);
  CPPUNIT_TEST(waves_spill_over_only_while_a_region_is_full);
  CPPUNIT_TEST(one_full_region_does_not_fill_the_other);
  CPPUNIT_TEST_SUITE_END();

 public:
  void prefers_the_earlier_completion() {
    struct Case {
      const char* name;
      ReadCandidate one;
      ReadCandidate other;
    };
    const std::vector<Case> cases{
        {"own zone", {40, 0, 5, Way::kSameZone, false}, {40, 0, 5, Way::kOtherZone, false}},
        {"own region", {40, 0, 5, Way::kOtherZone, false}, {40, 0, 5, Way::kOtherRegion, false}},
        {"replica", {40, 0, 5, Way::kSameZone, false}, {40, 0, 5, Way::kSameZone, true}},
        {"primary nearby", {40, 0, 5, Way::kSameZone, true}, {40, 0, 5, Way::kOtherZone, false}},
        {"shorter queue", {40, 2, 5, Way::kSameZone, false}, {40, 3, 5, Way::kSameZone, false}},
        {"long queue here", {40, 0, 5, Way::kOtherZone, false}, {40, 5, 5, Way::kSameZone, false}},
        {"slow here", {20, 0, 5, Way::kOtherRegion, false}, {160, 0, 5, Way::kSameZone, false}},
        {"a queue shorter than the way",
         {40, 10, 5, Way::kSameZone, false},
         {40, 0, 5, Way::kOtherRegion, false}},
        {"a queue longer than the way",
         {40, 0, 5, Way::kOtherRegion, false},
         {40, 15, 5, Way::kSameZone, false}},
        {"unknown slots count as one", {40, 1, 5, Way::kSameZone, false}, {40, 1, 0, Way::kSameZone, false}},
    };
    for (const Case& each : cases)
      CPPUNIT_ASSERT_MESSAGE(each.name,
                             expected_completion_ms(each.one) < expected_completion_ms(each.other));
  }

  void reads_stay_while_their_region_has_room() {
    TwoRegions regions(60, 0.55);  // at most 93 of 125 reads a second
    regions.run_periods(20);
    CPPUNIT_ASSERT_EQUAL(0.0, regions.crossing_share());
  }

  void waves_spill_over_only_while_a_region_is_full() {
    TwoRegions regions(110, 0.55);  // at most 170 of 125
    regions.run_periods(20);
    CPPUNIT_ASSERT(regions.crossing_share() > 0.05);
    CPPUNIT_ASSERT(regions.crossing_share() < 0.2);
    CPPUNIT_ASSERT_EQUAL(0, regions.crossed_in_vain());
    CPPUNIT_ASSERT_MESSAGE("the wait stays about as long as the way", regions.longest_queue() <= 20);
  }

  void one_full_region_does_not_fill_the_other() {
    TwoRegions regions(115, 0.9);
    regions.run_periods(20);
    CPPUNIT_ASSERT_EQUAL(0, regions.crossed_in_vain());
    CPPUNIT_ASSERT(regions.longest_queue() <= 25);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExpectedCompletionTest);

}  // namespace cairnhollow::registered::balancing
