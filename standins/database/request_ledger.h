// Which requests were decided, and how: the memory by which a request runs at most once. Part of the
// replicated state, so that every member would answer alike.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/types.h"

namespace cairnhollow::standins::database {

/// A request's final outcome: the first entry in the log that decides it counts.
struct RequestOutcome {
  bool committed = false;
  std::string body;
  Position position;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(committed, body, position);
  }
};

/// Bounded for each session: an outcome is forgotten once the session says that it has the answer, or
/// when the session has more than `entries_per_session`. A request at or below the highest number
/// forgotten is expired: it can never run (again), and what became of it is no longer known.
class RequestLedger {
 public:
  explicit RequestLedger(std::uint64_t entries_per_session) : entries_per_session_(entries_per_session) {}

  void set_entries_per_session(std::uint64_t count) { entries_per_session_ = count; }
  [[nodiscard]] std::optional<RequestOutcome> find(const RequestId& request) const;
  [[nodiscard]] bool expired(const RequestId& request) const;
  /// Only for a request that is neither decided nor expired.
  void record(const RequestId& request, RequestOutcome outcome, std::uint64_t answered_up_to);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(sessions_);
  }

 private:
  struct Session {
    std::uint64_t expired_up_to = 0;
    std::map<std::uint64_t, RequestOutcome> outcomes;  ///< by request number, all above expired_up_to

    template <class Archive>
    void serialize(Archive& archive) {
      archive(expired_up_to, outcomes);
    }
  };

  static void expire_up_to(Session& session, std::uint64_t number);

  std::uint64_t entries_per_session_;
  std::map<SessionName, Session> sessions_;
};

}  // namespace cairnhollow::standins::database
