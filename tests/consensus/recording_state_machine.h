// A state machine that keeps every command with its index, and a record of the whole run against which each
// server's applied commands are checked (state machine safety, figure 3.2).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "consensus/consensus.h"

namespace cairnhollow::consensus {

/// The command applied at each index, over all servers and restarts of one run.
class AppliedRecord {
 public:
  /// Reports a violation if a different command was applied at this index before.
  void record(std::uint64_t index, const std::string& command);
  /// Records the commands contained in a restored snapshot.
  void record_restored(const std::map<std::uint64_t, std::string>& commands);

  [[nodiscard]] const std::map<std::uint64_t, std::string>& commands() const { return commands_; }
  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::map<std::uint64_t, std::string> commands_;
  std::vector<std::string> violations_;
};

class RecordingStateMachine : public ReplicatedStateMachine {
 public:
  explicit RecordingStateMachine(AppliedRecord& record) : record_(record) {}

  void apply(std::uint64_t index, const std::string& command) override;
  [[nodiscard]] std::string take_snapshot() const override;
  bool restore_snapshot(const std::string& bytes, Reason& reason) override;

  /// Commands by log index.
  [[nodiscard]] const std::map<std::uint64_t, std::string>& commands() const { return commands_; }
  [[nodiscard]] bool has(const std::string& command) const;
  [[nodiscard]] int restores() const { return restores_; }

 private:
  AppliedRecord& record_;
  std::map<std::uint64_t, std::string> commands_;
  int restores_ = 0;
};

}  // namespace cairnhollow::consensus
