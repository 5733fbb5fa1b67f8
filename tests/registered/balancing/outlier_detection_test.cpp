// Tests which backends are passed over for their share of failures, and for how long.
#include "registered/balancing/outlier_detection.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <vector>

namespace cairnhollow::registered::balancing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Backends of one group as a proxy sees them: each read goes to the next one that is not passed over.
class Play {
 public:
  explicit Play(std::vector<double> failing) : failing_(std::move(failing)), backends_(failing_.size()) {}

  /// Runs one read each 10 ms. Returns how many of each backend's were failures.
  void run_for(Duration duration) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(10)) run_one();
  }
  void set_failing(std::size_t backend, double share) { failing_[backend] = share; }
  [[nodiscard]] int reads(std::size_t backend) const { return backends_[backend].reads; }
  [[nodiscard]] int ejections() const { return ejections_; }
  [[nodiscard]] std::size_t most_ejected() const { return most_ejected_; }
  void reset_reads() {
    for (Backend& backend : backends_) backend.reads = 0;
  }

 private:
  struct Backend {
    OutcomeHistory history;
    Ejection ejection;
    int reads = 0;
  };

  std::size_t ejected() const {
    std::size_t count = 0;
    for (const Backend& backend : backends_) count += backend.ejection.is_active(now_) ? 1 : 0;
    return count;
  }
  void run_one() {
    do next_ = (next_ + 1) % backends_.size();
    while (backends_[next_].ejection.is_active(now_));
    Backend& backend = backends_[next_];
    ++backend.reads;
    backend.history.record(std::uniform_real_distribution<>(0, 1)(random_) < failing_[next_]);
    OutcomeCounts peers;
    for (const Backend& other : backends_) {
      if (&other != &backend) peers += other.history.counts();
    }
    if (!is_outlier(backend.history.counts(), peers) || !may_eject(ejected(), backends_.size())) return;
    backend.ejection.begin(now_);
    backend.history.clear();
    ++ejections_;
    most_ejected_ = std::max(most_ejected_, ejected());
  }

  std::vector<double> failing_;
  std::vector<Backend> backends_;
  std::mt19937 random_{7};
  TimePoint now_{seconds(1000)};
  std::size_t next_ = 0;
  int ejections_ = 0;
  std::size_t most_ejected_ = 0;
};

}  // namespace

class OutlierDetectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutlierDetectionTest);
  CPPUNIT_TEST(compares_with_peers);
  CPPUNIT_TEST(keeps_half_of_the_group);
  CPPUNIT_TEST(keeps_the_latest_outcomes);
  CPPUNIT_TEST(ejections_in_a_row_last_longer);
  CPPUNIT_TEST(backends_that_answer_alike_share_reads);
  CPPUNIT_TEST(failing_backend_gets_a_small_part);
  CPPUNIT_TEST(mended_backend_gets_its_part_again);
  CPPUNIT_TEST(never_passes_over_all);
  CPPUNIT_TEST_SUITE_END();

 public:
  void compares_with_peers() {
    struct Case {
      OutcomeCounts backend;
      OutcomeCounts peers;
      bool outlier;
    };
    const std::vector<Case> cases{
        {{10, 5}, {20, 0}, true},    {{10, 4}, {20, 0}, true},    {{10, 3}, {20, 0}, false},
        {{9, 9}, {20, 0}, false},    {{32, 6}, {60, 0}, false},   {{32, 7}, {60, 0}, true},
        {{10, 5}, {20, 6}, false},   {{10, 6}, {20, 6}, false},   {{32, 24}, {60, 18}, true},
        {{32, 18}, {60, 18}, false}, {{10, 10}, {20, 20}, false}, {{10, 10}, {0, 0}, false},
        {{10, 10}, {9, 0}, false},   {{0, 0}, {20, 0}, false},
    };
    for (const Case& each : cases) CPPUNIT_ASSERT_EQUAL(each.outlier, is_outlier(each.backend, each.peers));
  }

  void keeps_half_of_the_group() {
    CPPUNIT_ASSERT(!may_eject(0, 1));
    CPPUNIT_ASSERT(may_eject(0, 2) && !may_eject(1, 2));
    CPPUNIT_ASSERT(may_eject(0, 3) && !may_eject(1, 3));
    CPPUNIT_ASSERT(may_eject(1, 5) && !may_eject(2, 5));
  }

  void keeps_the_latest_outcomes() {
    OutcomeHistory history;
    for (int outcome = 0; outcome < 20; ++outcome) history.record(true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, history.counts().failures);
    for (std::size_t outcome = 0; outcome < kOutcomeWindow; ++outcome) history.record(false);
    CPPUNIT_ASSERT_EQUAL(kOutcomeWindow, history.counts().outcomes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, history.counts().failures);
  }

  void ejections_in_a_row_last_longer() {
    Ejection ejection;
    TimePoint now{seconds(100)};
    CPPUNIT_ASSERT(!ejection.is_active(now));
    for (const int length : {1, 2, 4, 8, 8}) {
      ejection.begin(now);
      CPPUNIT_ASSERT(ejection.until() == now + seconds(length));
      CPPUNIT_ASSERT(ejection.is_active(now + seconds(length) - milliseconds(1)));
      now += seconds(length + 1);
      CPPUNIT_ASSERT(!ejection.is_active(now));
    }
    now = ejection.until() + kEjectionMemory;
    ejection.begin(now);
    CPPUNIT_ASSERT_MESSAGE("long ago", ejection.until() == now + kEjectionTime);
  }

  void backends_that_answer_alike_share_reads() {
    for (const double share : {0.0, 0.025, 0.3, 0.6, 1.0}) {
      Play play({share, share, share});
      play.run_for(seconds(20));
      for (std::size_t backend = 0; backend < 3; ++backend)
        CPPUNIT_ASSERT_MESSAGE("a chance outlier is passed over briefly", play.reads(backend) >= 500);
      if (share < 0.1) CPPUNIT_ASSERT_EQUAL(0, play.ejections());
    }
  }

  void failing_backend_gets_a_small_part() {
    Play play({0.0, 0.45, 0.0});
    play.run_for(seconds(10));
    CPPUNIT_ASSERT(play.reads(1) < 80);
    CPPUNIT_ASSERT_MESSAGE("it is tried again", play.reads(1) >= 20);
  }

  void mended_backend_gets_its_part_again() {
    Play play({0.0, 0.45, 0.0});
    play.run_for(seconds(7));
    play.set_failing(1, 0);
    play.run_for(kMaxEjectionTime);
    play.reset_reads();
    play.run_for(seconds(3));
    CPPUNIT_ASSERT_EQUAL(100, play.reads(1));
  }

  void never_passes_over_all() {
    Play play({0.9, 0.5, 0.0});
    play.run_for(seconds(20));
    CPPUNIT_ASSERT(play.ejections() > 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, play.most_ejected());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutlierDetectionTest);

}  // namespace cairnhollow::registered::balancing
