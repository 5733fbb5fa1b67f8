#include "standins/callers/workload.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::standins::callers {

namespace {

PlannedOperation plan_read(RecordKey key, Priority priority) {
  return {OperationKind::kRead, {std::move(key)}, true, priority};
}

PlannedOperation plan_append(RecordKey key, bool repeatable, Priority priority) {
  return {OperationKind::kAppend, {std::move(key)}, repeatable, priority};
}

PlannedOperation plan_transaction(RecordKey first, RecordKey second) {
  return {OperationKind::kTransaction, {std::move(first), std::move(second)}, false, Priority::kHigh};
}

/// Learners record answers and read their own progress and decks; teachers read decks and progress.
class StudyCardWorkload : public Workload {
 public:
  StudyCardWorkload(std::uint32_t sessions, std::string run_name)
      : learners_(std::max(1U, sessions)), run_name_(std::move(run_name)) {}

  PlannedOperation plan(std::uint32_t session, runtime::Random& random) override {
    const bool is_teacher = session % kSessionsPerTeacher == kSessionsPerTeacher - 1;
    return is_teacher ? plan_teacher(random) : plan_learner(session, random);
  }

 private:
  static constexpr std::uint32_t kSessionsPerTeacher = 8;
  static constexpr std::uint32_t kDecks = 40;

  PlannedOperation plan_learner(std::uint32_t learner, runtime::Random& random) {
    const std::uint64_t percent = random.below(100);
    if (percent < 35) return plan_append(learner_record(learner, "answers"), false, Priority::kHigh);
    if (percent < 45) {
      return plan_transaction(learner_record(learner, "answers"), learner_record(learner, "progress"));
    }
    if (percent < 60) return plan_read(learner_record(learner, "answers"), Priority::kNormal);
    if (percent < 75) return plan_read(learner_record(learner, "progress"), Priority::kNormal);
    return plan_read(deck_record(random), Priority::kLow);
  }

  PlannedOperation plan_teacher(runtime::Random& random) {
    const std::uint64_t percent = random.below(100);
    if (percent < 60) return plan_read(deck_record(random), Priority::kLow);
    if (percent < 90) {
      const auto learner = static_cast<std::uint32_t>(random.below(learners_));
      return plan_read(learner_record(learner, "progress"), Priority::kLow);
    }
    return plan_append(deck_record(random), true, Priority::kNormal);
  }

  [[nodiscard]] RecordKey learner_record(std::uint32_t learner, const std::string& record) const {
    return {"learner", fmt::format("{}.learner-{}", run_name_, learner), record};
  }
  [[nodiscard]] RecordKey deck_record(runtime::Random& random) const {
    return {"deck", fmt::format("{}.deck-{}", run_name_, random.below(kDecks)), "cards"};
  }

  std::uint32_t learners_;
  std::string run_name_;
};

/// Riders unlock scooters and end trips; crews read the map and report positions.
class ScooterFleetWorkload : public Workload {
 public:
  ScooterFleetWorkload(std::uint32_t sessions, std::string run_name)
      : scooters_(std::max(1U, sessions)), run_name_(std::move(run_name)) {}

  PlannedOperation plan(std::uint32_t session, runtime::Random& random) override {
    const bool is_crew = session % kSessionsPerCrew == kSessionsPerCrew - 1;
    return is_crew ? plan_crew(random) : plan_rider(session, random);
  }

 private:
  static constexpr std::uint32_t kSessionsPerCrew = 4;
  static constexpr std::uint32_t kMapCells = 60;

  PlannedOperation plan_rider(std::uint32_t rider, runtime::Random& random) {
    const std::uint64_t percent = random.below(100);
    if (percent < 25) return plan_append(scooter_record(random), false, Priority::kHigh);
    if (percent < 45) return plan_append(rider_record(rider, "trips"), false, Priority::kHigh);
    if (percent < 50) return plan_transaction(rider_record(rider, "trips"), rider_record(rider, "bills"));
    if (percent < 65) return plan_read(rider_record(rider, "trips"), Priority::kNormal);
    if (percent < 75) return plan_read(scooter_record(random), Priority::kNormal);
    return plan_read(map_record(random), Priority::kLow);
  }

  PlannedOperation plan_crew(runtime::Random& random) {
    if (random.below(100) < 80) return plan_read(map_record(random), Priority::kLow);
    return plan_append(map_record(random), true, Priority::kLow);
  }

  [[nodiscard]] RecordKey rider_record(std::uint32_t rider, const std::string& record) const {
    return {"trip", fmt::format("{}.rider-{}", run_name_, rider), record};
  }
  [[nodiscard]] RecordKey scooter_record(runtime::Random& random) const {
    return {"trip", fmt::format("{}.scooter-{}", run_name_, random.below(scooters_)), "commands"};
  }
  [[nodiscard]] RecordKey map_record(runtime::Random& random) const {
    return {"vehicle", fmt::format("{}.cell-{}", run_name_, random.below(kMapCells)), "positions"};
  }

  std::uint32_t scooters_;
  std::string run_name_;
};

}  // namespace

std::optional<Profile> parse_profile(const std::string& text) {
  if (text == "study-card") return Profile::kStudyCard;
  if (text == "scooter-fleet") return Profile::kScooterFleet;
  return std::nullopt;
}

std::unique_ptr<Workload> make_workload(Profile profile, std::uint32_t sessions, std::string run_name) {
  if (profile == Profile::kStudyCard) {
    return std::make_unique<StudyCardWorkload>(sessions, std::move(run_name));
  }
  return std::make_unique<ScooterFleetWorkload>(sessions, std::move(run_name));
}

}  // namespace cairnhollow::standins::callers
