// What must hold in every run of a Raft group (figure 3.2), checked against what servers show of themselves.
// State machine safety is checked by AppliedRecord.
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
  /// Election safety: one leader a term. Leader completeness: its log reaches what was committed in lower
  /// terms. (One that was frozen between its last vote and its first act may lead an old term for a moment,
  /// without what higher terms have committed.)
  void record_leader(std::uint64_t term, const std::string& name, std::uint64_t last_index);
  /// A server in this term says that this entry is committed: so it was in this term or a lower one.
  void record_committed(std::uint64_t term, std::uint64_t index);
  /// Log matching: entries of the same index and term are the same and follow the same entry. `previous_term`
  /// is that of the entry before the first of `entries`.
  void record_log(std::uint64_t previous_term, const std::vector<LogEntry>& entries);

  /// A caller has its answer.
  void record_acknowledged(std::uint64_t index, const std::string& command);
  /// A caller was told that its command was not taken and never will be.
  void record_refused(const std::string& command) { refused_.insert(command); }
  /// The index that a read barrier begun now must reach.
  [[nodiscard]] std::uint64_t barrier_minimum() const { return last_acknowledged_; }
  void record_barrier(std::uint64_t minimum, std::uint64_t index, const std::string& name);
  /// Nothing acknowledged is lost, nothing refused is applied. `applied` is the group's final state.
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
  struct Place {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    auto operator<=>(const Place&) const = default;
  };

  std::map<std::uint64_t, std::string> leaders_;  ///< by term
  std::map<Place, KnownEntry> entries_;
  std::map<std::uint64_t, std::string> acknowledged_;
  std::set<std::string> refused_;
  std::map<std::uint64_t, std::uint64_t> last_committed_;  ///< by term
  std::uint64_t last_acknowledged_ = 0;
  std::size_t barriers_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace cairnhollow::consensus
