#include "declared/control/follow/config_replica.h"

#include "declared/control/knobs.h"
#include "wire/codec.h"

namespace cairnhollow::declared::control {

void ConfigReplica::apply(std::uint64_t index, const std::string& command) {
  Reason reason;
  const auto request = wire::decode<config::ChangeRequest>(command, reason);
  config::ChangeOutcome outcome;
  if (request) {
    outcome = machine_.apply(*request);
  } else {
    // Deterministic: every node decodes the same bytes and fails alike. The configuration is left unchanged.
    outcome.revision = machine_.revision();
    outcome.reason = reason;
    runtime_.logger().log(runtime::LogLevel::kError, "change_not_readable", reason, {});
  }
  outcomes_.insert_or_assign(index, std::move(outcome));
  if (outcomes_.size() > kMaxRetainedOutcomes) outcomes_.erase(outcomes_.begin());
  record_revision();
}

bool ConfigReplica::restore_snapshot(const std::string& bytes, Reason& reason) {
  if (!machine_.restore_snapshot(bytes, reason)) return false;
  record_revision();
  return true;
}

void ConfigReplica::record_revision() {
  if (!revision_times_.empty() && revision_times_.back().revision >= machine_.revision()) return;
  revision_times_.push_back({machine_.revision(), runtime_.now()});
  if (revision_times_.size() > kMaxRetainedRevisionTimes) revision_times_.pop_front();
  changed_.notify_all();
}

std::optional<config::ChangeOutcome> ConfigReplica::outcome_at(std::uint64_t index) const {
  const auto outcome = outcomes_.find(index);
  if (outcome == outcomes_.end()) return std::nullopt;
  return outcome->second;
}

std::uint64_t ConfigReplica::revision_at(TimePoint time) const {
  std::uint64_t revision = 0;
  for (const auto& entry : revision_times_) {
    if (entry.applied_at > time) break;
    revision = entry.revision;
  }
  return revision;
}

}  // namespace cairnhollow::declared::control
