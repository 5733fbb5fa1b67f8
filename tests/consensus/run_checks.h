// Checks of Raft's safety properties (figure 3.2) on the observed state of servers. State machine safety is
// checked by AppliedRecord.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consensus/log_entry.h"

namespace cairnhollow::consensus {

class RunChecks {
 public:
  /// Election safety: at most one leader per term. Leader completeness: its log contains everything committed
  /// in lower terms. (A server frozen between its last vote and its first action may briefly be leader of an
  /// old term without the entries committed in higher terms.)
  void record_leader(std::uint64_t term, const std::string& name, std::uint64_t last_index);
  /// A server in this term reported the entry as committed, so it was committed in this term or a lower one.
  void record_committed(std::uint64_t term, std::uint64_t index);
  /// Log matching: entries with the same index and term are identical and have the same predecessor.
  /// `previous_term` is the term of the entry before the first of `entries`.
  void record_log(std::uint64_t previous_term, const std::vector<LogEntry>& entries);

  /// A client received a successful answer.
  void record_acknowledged(std::uint64_t index, const std::string& command);
  /// A client was told that its command was refused and will never be applied.
  void record_refused(const std::string& command) { refused_.insert(command); }
  /// Returns the minimum index for a read barrier that begins now.
  [[nodiscard]] std::uint64_t barrier_minimum() const { return last_acknowledged_; }
  void record_barrier(std::uint64_t minimum, std::uint64_t index, const std::string& name);
  /// Checks that no acknowledged command is lost and no refused one is applied. `applied` is the group's
  /// final state.
  void check_outcomes(const std::map<std::uint64_t, std::string>& applied);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] std::size_t leaders() const { return leaders_.size(); }
  [[nodiscard]] std::size_t acknowledged() const { return acknowledged_.size(); }
  [[nodiscard]] std::size_t barriers() const { return barriers_; }

 private:
  struct KnownEntry {
    std::uint64_t previous_term = 0;
    EntryKind kind = EntryKind::kNoOperation;
    std::string payload;
    auto operator<=>(const KnownEntry&) const = default;
  };
  struct EntryId {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    auto operator<=>(const EntryId&) const = default;
  };

  std::map<std::uint64_t, std::string> leaders_;  ///< by term
  std::map<EntryId, KnownEntry> entries_;
  std::map<std::uint64_t, std::string> acknowledged_;
  std::set<std::string> refused_;
  std::map<std::uint64_t, std::uint64_t> last_committed_;  ///< by term
  std::uint64_t last_acknowledged_ = 0;
  std::size_t barriers_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace cairnhollow::consensus
