// The replicated configuration of a control node, driven by the consensus log.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "consensus/consensus.h"
#include "declared/config/state_machine.h"
#include "declared/control/follow/config_view.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::control {

/// Applies committed ChangeRequests; records their outcomes and the time at which each revision was applied.
/// `runtime` is not owned and must outlive this object.
class ConfigReplica : public consensus::ReplicatedStateMachine, public ConfigView {
 public:
  explicit ConfigReplica(runtime::Runtime& runtime, wire::Format feature_level = wire::kWrittenFormat)
      : runtime_(runtime), feature_level_(feature_level), changed_(runtime) {}

  void apply(std::uint64_t index, const std::string& command) override;
  [[nodiscard]] std::string take_snapshot() const override { return machine_.take_snapshot(feature_level_); }
  bool restore_snapshot(const std::string& bytes, Reason& reason) override;

  [[nodiscard]] const config::StateMachine& machine() const { return machine_; }
  [[nodiscard]] std::uint64_t revision() const override { return machine_.revision(); }
  [[nodiscard]] std::vector<config::StoredObject> objects() const override {
    return machine_.list(std::nullopt);
  }
  [[nodiscard]] std::optional<config::ConfigChanges> changes_since(std::uint64_t revision) const override {
    return machine_.changes_since(revision);
  }
  /// Returns the outcome of the change committed at log index `index`, or std::nullopt if it is not among the
  /// last kMaxRetainedOutcomes changes.
  [[nodiscard]] std::optional<config::ChangeOutcome> outcome_at(std::uint64_t index) const;
  /// Returns the highest revision that this node had applied by `time`; 0 if none of the retained revisions
  /// is that old.
  [[nodiscard]] std::uint64_t revision_at(TimePoint time) const;
  [[nodiscard]] wire::Format feature_level() const override { return feature_level_; }
  runtime::Signal& changed() override { return changed_; }

 private:
  struct RevisionTime {
    std::uint64_t revision = 0;
    TimePoint applied_at{};
  };

  void record_revision();

  runtime::Runtime& runtime_;
  wire::Format feature_level_;
  config::StateMachine machine_;
  std::map<std::uint64_t, config::ChangeOutcome> outcomes_;  ///< keyed by log index
  std::deque<RevisionTime> revision_times_;                  ///< in ascending order of revision
  runtime::Signal changed_;
};

}  // namespace cairnhollow::declared::control
