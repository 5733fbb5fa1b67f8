// The replicated state of one member: data and request ledger, changed only by applying log entries.
#pragma once

#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "standins/database/log_entry.h"
#include "standins/database/record_store.h"
#include "standins/database/request_ledger.h"

namespace cairnhollow::standins::database {

enum class ApplyResultKind : std::uint8_t {
  kCommitted,
  kConflict,        ///< a record that the transaction read was written since; nothing was changed
  kAlreadyDecided,  ///< an earlier entry decided the request; nothing was changed
  kExpired,         ///< the request is older than the ledger's memory; nothing was changed
};

struct ApplyResult {
  ApplyResultKind kind = ApplyResultKind::kCommitted;
  RequestOutcome outcome;  ///< what counts for the request; unset for kExpired
};

/// Deterministic: equal entries in equal order give equal states.
class StateMachine {
 public:
  explicit StateMachine(std::uint64_t ledger_entries_per_session)
      : ledger_(ledger_entries_per_session), ledger_entries_per_session_(ledger_entries_per_session) {}

  /// `entry` is the one after the last applied.
  ApplyResult apply(const LogEntry& entry);
  [[nodiscard]] Position applied() const { return applied_; }
  [[nodiscard]] const RecordStore& records() const { return records_; }
  [[nodiscard]] const RequestLedger& ledger() const { return ledger_; }

  [[nodiscard]] std::string take_snapshot() const;
  /// False with kCorrupt, and nothing changed, when the bytes are no snapshot.
  bool restore_snapshot(const std::string& bytes, Reason& reason);

 private:
  ApplyResult apply_write(const WriteCommand& write);
  ApplyResult apply_abort(const AbortCommand& abort);
  [[nodiscard]] std::optional<ApplyResult> decided(const RequestId& request) const;
  [[nodiscard]] bool reads_still_hold(const WriteCommand& write) const;

  Position applied_;
  RecordStore records_;
  RequestLedger ledger_;
  std::uint64_t ledger_entries_per_session_;
};

}  // namespace cairnhollow::standins::database
