// The logs of one database group whose backends do not check terms, for tests: what each backend holds, also
// while it is down. Replicas receive from the primary of the highest term that they reach and apply later; a
// promoted backend leads with what it had received and nothing more.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"

namespace cairnhollow::standins::registered {

/// One committed write.
struct LogEntry {
  std::uint64_t term = 0;
  std::string record;
  std::string token;
  auto operator<=>(const LogEntry&) const = default;
};

struct MemberState {
  bool running = false;
  bool primary = false;
  bool deaf = false;             ///< receives nothing
  std::uint64_t pause_term = 0;  ///< kept from receiving by a pause of this term; 0: not
  std::uint64_t term = 1;
  Duration lag{0};  ///< from receiving to applying
  std::vector<LogEntry> log;
  std::vector<TimePoint> applied_at;   ///< of each entry
  std::optional<TimePoint> old_since;  ///< a primary that reaches a newer one since then

  [[nodiscard]] Position received() const { return {log.empty() ? 1 : log.back().term, log.size()}; }
};

class GroupModel {
 public:
  GroupModel(GroupName name, std::vector<BackendName> members, Duration lag);

  /// Adds a replica with an empty log.
  void add_member(const BackendName& name, Duration lag) { members_[name].lag = lag; }
  MemberState& member(const BackendName& name) { return members_.at(name); }
  [[nodiscard]] const std::map<BackendName, MemberState>& members() const { return members_; }
  [[nodiscard]] const GroupName& name() const { return name_; }

  /// Two members that do not reach each other.
  void cut(const BackendName& one, const BackendName& other) { cuts_.insert({one, other}); }
  void heal() { cuts_.clear(); }

  /// Appends at a primary. The entry's index, from 1.
  std::uint64_t append(const BackendName& name, std::string record, std::string token, TimePoint now);
  /// Whether a replica has received the primary's entry at `index`.
  [[nodiscard]] bool is_replicated(const BackendName& primary, std::uint64_t index) const;
  /// One step of replication for one member, and the end of an old primary.
  void replicate(const BackendName& name, TimePoint now);
  /// Leads the next term from now on.
  void promote(const BackendName& name, TimePoint now);
  /// Whether the member leads the group's newest term, by its own account; it may be down.
  [[nodiscard]] bool is_present_primary(const BackendName& name) const;
  void demote(const BackendName& name, std::uint64_t term);
  /// Keeps a replica from receiving until resume(), its promotion or its restart; `term` is above the newest.
  void pause(const BackendName& name, std::uint64_t term);
  void resume(const BackendName& name) { members_.at(name).pause_term = 0; }

  /// Starts again with nothing; its next incarnation is what it is told to be.
  void forget(const BackendName& name);

  /// Entries applied at `now`.
  [[nodiscard]] std::uint64_t applied(const BackendName& name, TimePoint now) const;
  /// Tokens of one record at one member, in order, joined by commas.
  [[nodiscard]] std::string read(const BackendName& name, const std::string& record, TimePoint now) const;
  /// Whether the member's log holds the position, applied.
  [[nodiscard]] bool holds(const BackendName& name, Position position, TimePoint now) const;
  /// The running primary of the highest term; null when there is none.
  [[nodiscard]] const BackendName* leader() const;
  [[nodiscard]] std::uint64_t promotions() const { return promotions_; }

 private:
  [[nodiscard]] bool reaches(const BackendName& one, const BackendName& other) const;

  GroupName name_;
  std::map<BackendName, MemberState> members_;
  std::set<std::pair<BackendName, BackendName>> cuts_;
  std::uint64_t newest_term_ = 1;
  std::uint64_t promotions_ = 0;
};

}  // namespace cairnhollow::standins::registered
