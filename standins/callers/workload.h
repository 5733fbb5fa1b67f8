// What the callers of each deployment do: the mix of reads, appends and transactions, by session.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runtime/random.h"
#include "standins/callers/history.h"
#include "standins/callers/proxy_client.h"
#include "standins/callers/record_statement.h"

namespace cairnhollow::standins::callers {

/// One operation before it is tried. A transaction's records share a database and a partition key.
struct PlannedOperation {
  OperationKind kind = OperationKind::kRead;
  std::vector<RecordKey> records;
  bool repeatable = true;
  Priority priority = Priority::kNormal;
};

class Workload {
 public:
  virtual ~Workload() = default;
  /// The next operation of session `session`, counted from 0.
  virtual PlannedOperation plan(std::uint32_t session, runtime::Random& random) = 0;
};

enum class Profile : std::uint8_t { kStudyCard, kScooterFleet };

std::optional<Profile> parse_profile(const std::string& text);

/// `run_name` is part of every partition key, so that runs against one fleet do not meet.
std::unique_ptr<Workload> make_workload(Profile profile, std::uint32_t sessions, std::string run_name);

}  // namespace cairnhollow::standins::callers
