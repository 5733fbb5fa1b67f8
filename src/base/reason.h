// Why a fallible call gave no value. Every fallible call returns std::optional<T> (or bool) and fills a
// Reason passed as its last argument.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cairnhollow {

/// What went wrong, as one value of a closed list: it becomes a metric label and a log field.
enum class ReasonCode : std::uint8_t {
  kNone = 0,
  kInvalidArgument,       ///< the caller's input is wrong; `detail` names the field
  kNotFound,              ///< the named object, database, route or transaction does not exist
  kConflict,              ///< a racing change with the same version was accepted first
  kAlreadyExists,         ///< the same identifier was used before with other content
  kUnreachable,           ///< no connection could be opened to the peer
  kConnectionLost,        ///< an open connection broke, or its peer broke the protocol
  kDeadlineExceeded,      ///< the deadline passed before the answer came
  kNotLeader,             ///< the control node asked is not the leader
  kNoQuorum,              ///< no majority answered
  kNotPrimary,            ///< the backend is not the primary of the named term
  kNoPrimary,             ///< no primary of the group is known
  kTooStale,              ///< the backend has not applied the required position
  kNoBackend,             ///< every backend of the group was passed over
  kNoRoute,               ///< no route selects a group for the statement
  kLeaseExpired,          ///< the proxy may not serve: its configuration may be out of date
  kOverloaded,            ///< a queue, slot or connection limit is reached
  kRetryBudgetExhausted,  ///< retries are held back so that they cannot multiply an outage
  kDraining,              ///< the node is leaving and takes no new work
  kFenced,                ///< a higher term was seen
  kOutcomeUnknown,        ///< a statement was sent and its outcome could not be learned
  kAborted,               ///< the request was recorded as aborted and can never run
  kTransactionLost,       ///< the transaction's connection or proxy is gone; it was rolled back
  kCorrupt,               ///< a file or a frame does not match its checksum or format
  kStorage,               ///< the operating system refused a file operation
  kUnsupported,           ///< a protocol version or operation that this build does not know
  kCancelled,             ///< the node is stopping
  kInternal,              ///< a fault of this program
};

/// The stable lower-case name of a code, e.g. "too_stale".
std::string_view reason_code_name(ReasonCode code);

/// Filled where the failure arose and not overwritten on the way up; a caller that retries keeps the last.
struct Reason {
  ReasonCode code = ReasonCode::kNone;
  std::string step;    ///< what was being done, e.g. "fence", "open_connection"
  std::string peer;    ///< node name or address:port at the other end; empty for local steps
  std::string detail;  ///< one plain sentence; names the field for bad input
  /// With kUnreachable: the peer's machine answered that no process listens at the endpoint. Not serialized.
  bool is_connection_refused = false;

  /// True once a failure was recorded.
  [[nodiscard]] bool failed() const { return code != ReasonCode::kNone; }
  /// "code at step from peer: detail", for people.
  [[nodiscard]] std::string to_string() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(code, step, peer, detail);
  }
};

}  // namespace cairnhollow
