// What callers saw, as one list of events in order. Written by cairnhollow-load and by the simulator
// alike, so that the same checkers judge both.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types.h"

namespace cairnhollow::standins::callers {

enum class OperationKind : std::uint8_t {
  kRead,         ///< reads one record: the list of entries appended to it
  kAppend,       ///< appends one unique value to one record
  kTransaction,  ///< appends one unique value to each of several records, all or none
};

enum class OperationOutcome : std::uint8_t {
  kAcknowledged,  ///< answered; for a write: committed
  kNotRun,        ///< the system says that it was not run and never will
  kUnknown,       ///< the system cannot tell
  kNoAnswer,      ///< the caller gave up, or the connection broke
};

/// One operation of one session. Times are nanoseconds on the recorder's clock.
struct OperationRecord {
  SessionName session;
  std::uint64_t number = 0;  ///< request number within the session
  OperationKind kind = OperationKind::kRead;
  bool repeatable = false;
  bool priority = false;              ///< unlock, trip-end, answer: above map and deck reads
  std::vector<std::string> records;   ///< database/key of each record touched
  std::string value;                  ///< appended; unique in the whole history
  std::vector<std::string> observed;  ///< reads: the entries seen, in order
  std::string answered_for;           ///< request id echoed in the answer
  OperationOutcome outcome = OperationOutcome::kNoAnswer;
  std::string refusal;    ///< reason code of a refusal
  std::string served_by;  ///< backend named in the answer
  bool served_by_replica = false;
  std::string proxy;
  std::int64_t invoked = 0;
  std::int64_t answered = 0;  ///< 0 when no answer came
};

/// The final content of a record, read from the group's primary after the run has settled.
struct FinalRecord {
  std::string record;
  std::vector<std::string> entries;
};

struct History {
  std::vector<OperationRecord> operations;
  std::vector<FinalRecord> final_records;
};

}  // namespace cairnhollow::standins::callers
