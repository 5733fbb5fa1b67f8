#include "standins/database/state_machine.h"

#include <algorithm>
#include <vector>

#include "standins/database/statement_text.h"
#include "wire/codec.h"

namespace cairnhollow::standins::database {

namespace {

struct SnapshotImage {
  Position applied;
  RecordStore records;
  RequestLedger ledger{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(applied, records, ledger);
  }
};

}  // namespace

ApplyResult StateMachine::apply(const LogEntry& entry) {
  applied_ = entry.position;
  if (const auto* write = std::get_if<WriteCommand>(&entry.command)) return apply_write(*write);
  if (const auto* abort = std::get_if<AbortCommand>(&entry.command)) return apply_abort(*abort);
  return {};
}

ApplyResult StateMachine::apply_write(const WriteCommand& write) {
  if (write.request) {
    if (auto earlier = decided(*write.request)) return *earlier;
  }
  ApplyResult result;
  result.outcome.position = applied_;
  if (reads_still_hold(write)) {
    std::vector<OperationResult> results;
    results.reserve(write.operations.size());
    for (const auto& operation : write.operations) {
      results.push_back(records_.run(operation, applied_.index));
    }
    result.outcome.committed = true;
    result.outcome.body = format_results(results, write.single_operation);
  } else {
    result.kind = ApplyResultKind::kConflict;
  }
  if (write.request) ledger_.record(*write.request, result.outcome, write.answered_up_to);
  return result;
}

ApplyResult StateMachine::apply_abort(const AbortCommand& abort) {
  if (auto earlier = decided(abort.request)) return *earlier;
  ApplyResult result;
  result.outcome.position = applied_;
  ledger_.record(abort.request, result.outcome, 0);
  return result;
}

std::optional<ApplyResult> StateMachine::decided(const RequestId& request) const {
  if (auto outcome = ledger_.find(request)) {
    return ApplyResult{ApplyResultKind::kAlreadyDecided, std::move(*outcome)};
  }
  if (ledger_.expired(request)) return ApplyResult{ApplyResultKind::kExpired, {}};
  return std::nullopt;
}

bool StateMachine::reads_still_hold(const WriteCommand& write) const {
  return std::all_of(write.reads.begin(), write.reads.end(), [this](const ReadVersion& read) {
    return records_.read(read.record).version == read.version;
  });
}

std::string StateMachine::take_snapshot() const {
  SnapshotImage image;
  image.applied = applied_;
  image.records = records_;
  image.ledger = ledger_;
  return wire::encode(image);
}

bool StateMachine::restore_snapshot(const std::string& bytes, Reason& reason) {
  auto image = wire::decode<SnapshotImage>(bytes, reason);
  if (!image) return false;
  applied_ = image->applied;
  records_ = std::move(image->records);
  ledger_ = std::move(image->ledger);
  ledger_.set_entries_per_session(ledger_entries_per_session_);
  return true;
}

}  // namespace cairnhollow::standins::database
