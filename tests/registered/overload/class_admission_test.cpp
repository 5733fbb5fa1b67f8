// Which classes an overloaded proxy refuses: a table of loads, and a play in which what is admitted makes the
// load.
#include "registered/overload/class_admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <vector>

#include "registered/overload/link_load.h"

namespace cairnhollow::registered::overload {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kClasses = 3;
using Counts = std::array<int, kClasses>;

/// A machine whose load is what it admitted in the last interval, as a part of what it can carry.
class Play {
 public:
  explicit Play(bool refuses) : refuses_(refuses) {}

  /// Offers `offered` statements of each class in each interval, evenly, against `room` statements.
  void run(const Counts& offered, int room, Duration length) {
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += kLoadInterval) {
      int sent = 0;
      for (std::size_t one = 0; one < kClasses; ++one) {
        for (int number = 0; number < offered[one]; ++number) {
          const bool admitted = !refuses_ || admission_.admits(one, now_);
          sent += admitted ? 1 : 0;
          admitted_[one] += admitted ? 1 : 0;
          offered_[one] += 1;
        }
      }
      loads_.push_back(static_cast<double>(sent) / room);
      admission_.update(loads_.back(), now_);
    }
  }
  /// Part of the class that was admitted since the last call.
  double take_admitted(std::size_t one) {
    const double part = static_cast<double>(admitted_[one]) / offered_[one];
    admitted_[one] = offered_[one] = 0;
    return part;
  }
  /// Whether the load stayed below what the machine carries, after the first second.
  [[nodiscard]] bool is_carried() const {
    for (std::size_t place = 10; place < loads_.size(); ++place) {
      if (loads_[place] > 1) return false;
    }
    return true;
  }
  const ClassAdmission& admission() const { return admission_; }

 private:
  bool refuses_;
  TimePoint now_{seconds(100)};
  ClassAdmission admission_;
  Counts admitted_{};
  Counts offered_{};
  std::vector<double> loads_;
};

}  // namespace

class ClassAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClassAdmissionTest);
  CPPUNIT_TEST(admits_all_below_high_load);
  CPPUNIT_TEST(burst_of_lowest_class_leaves_others_alone);
  CPPUNIT_TEST(refuses_the_next_class_when_the_lowest_is_not_enough);
  CPPUNIT_TEST(some_of_the_highest_class_is_always_admitted);
  CPPUNIT_TEST(admits_all_again_after_overload);
  CPPUNIT_TEST(admits_all_within_two_seconds_of_an_overload);
  CPPUNIT_TEST(refuses_no_more_than_the_load_asks_for);
  CPPUNIT_TEST(one_measurement_refuses_little);
  CPPUNIT_TEST(a_class_that_is_gone_counts_no_more);
  CPPUNIT_TEST(load_counts_payload_and_headers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void admits_all_below_high_load() {
    Play play(true);
    play.run({20, 30, 25}, 100, seconds(10));
    for (std::size_t one = 0; one < kClasses; ++one) CPPUNIT_ASSERT_EQUAL(1.0, play.take_admitted(one));
  }

  void burst_of_lowest_class_leaves_others_alone() {
    Play play(true);
    play.run({20, 40, 100}, 100, seconds(2));
    for (std::size_t one = 0; one < kClasses; ++one) play.take_admitted(one);
    play.run({20, 40, 100}, 100, seconds(20));
    CPPUNIT_ASSERT_EQUAL(1.0, play.take_admitted(0));
    CPPUNIT_ASSERT_EQUAL(1.0, play.take_admitted(1));
    CPPUNIT_ASSERT_MESSAGE("what room is left goes to the lowest class", play.take_admitted(2) > 0.05);
    CPPUNIT_ASSERT(play.is_carried());
    Play without(false);
    without.run({20, 40, 100}, 100, seconds(20));
    CPPUNIT_ASSERT_MESSAGE("the check rejects a play without refusals", !without.is_carried());
  }

  void refuses_the_next_class_when_the_lowest_is_not_enough() {
    Play play(true);
    play.run({50, 80, 60}, 100, seconds(3));
    for (std::size_t one = 0; one < kClasses; ++one) play.take_admitted(one);
    play.run({50, 80, 60}, 100, seconds(20));
    CPPUNIT_ASSERT_EQUAL(1.0, play.take_admitted(0));
    const double next = play.take_admitted(1);
    CPPUNIT_ASSERT(next > 0.1 && next < 0.8);
    CPPUNIT_ASSERT(play.take_admitted(2) < 0.1);
    CPPUNIT_ASSERT(play.is_carried());
  }

  void some_of_the_highest_class_is_always_admitted() {
    Play play(true);
    play.run({500, 0, 0}, 10, seconds(5));
    play.take_admitted(0);
    play.run({500, 0, 0}, 10, seconds(5));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kAlwaysAdmitted, play.take_admitted(0), 0.01);
  }

  void admits_all_again_after_overload() {
    Play play(true);
    play.run({20, 40, 200}, 100, seconds(5));
    play.run({10, 20, 20}, 100, seconds(3));
    CPPUNIT_ASSERT_EQUAL(0.0, play.admission().refused_classes());
  }

  void admits_all_within_two_seconds_of_an_overload() {
    Play play(true);
    play.run({200, 200, 200}, 100, seconds(5));
    CPPUNIT_ASSERT(play.admission().refused_classes() > 2);
    play.run({13, 13, 14}, 100, seconds(2));
    CPPUNIT_ASSERT_EQUAL(0.0, play.admission().refused_classes());
  }

  void refuses_no_more_than_the_load_asks_for() {
    Play play(true);
    play.run({20, 40, 50}, 100, seconds(5));
    for (std::size_t one = 0; one < kClasses; ++one) play.take_admitted(one);
    play.run({20, 40, 50}, 100, seconds(20));
    CPPUNIT_ASSERT_EQUAL(1.0, play.take_admitted(0));
    CPPUNIT_ASSERT_EQUAL(1.0, play.take_admitted(1));
    CPPUNIT_ASSERT_MESSAGE("there is room for a tenth of it at the least", play.take_admitted(2) >= 0.1);
  }

  void one_measurement_refuses_little() {
    ClassAdmission admission;
    const TimePoint start{seconds(100)};
    for (const std::uint64_t priority : {0, 1, 2}) admission.admits(priority, start);
    admission.update(20, start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kMaxRefuseStep, admission.refused_classes(), 1e-9);
  }

  void a_class_that_is_gone_counts_no_more() {
    ClassAdmission admission;
    const TimePoint start{seconds(100)};
    for (const std::uint64_t priority : {0, 1, 2}) admission.admits(priority, start);
    for (int number = 0; number < 100; ++number) admission.update(2, start);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3 - kAlwaysAdmitted, admission.refused_classes(), 1e-9);
    const TimePoint later = start + kClassMemory + milliseconds(1);
    admission.admits(0, later);
    admission.update(2, later);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1 - kAlwaysAdmitted, admission.refused_classes(), 1e-9);
  }

  void load_counts_payload_and_headers() {
    LinkLoad load(2.0);
    TimePoint now{seconds(100)};
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no interval yet", 0.0, load.measure({1'000'000, 0}, now));
    now += milliseconds(100);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, load.measure({1'012'500, 0}, now), 1e-9);
    now += milliseconds(100);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100 * kMessageOverheadBytes / 25'000, load.measure({1'012'500, 100}, now),
                                 1e-9);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("no time has passed", 0.0, load.measure({1'112'500, 100}, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClassAdmissionTest);

}  // namespace cairnhollow::registered::overload
