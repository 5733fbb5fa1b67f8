#include "standins/callers/checkers/answers.h"

#include <utility>

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

namespace {

using WriteKey = std::pair<std::string, std::string>;  ///< record and value

/// When each value was first sent to each record.
std::map<WriteKey, std::int64_t> invocation_times(const History& history) {
  std::map<WriteKey, std::int64_t> times;
  for (const OperationRecord& operation : history.operations) {
    if (!is_write(operation)) continue;
    for (const std::string& record : operation.records) times[{record, operation.value}] = operation.invoked;
  }
  return times;
}

void check_observed(const OperationRecord& read, const std::map<WriteKey, std::int64_t>& times,
                    std::vector<Violation>& violations) {
  const std::string& record = read.records.front();
  for (const std::string& entry : read.observed) {
    const auto time = times.find({record, entry});
    if (time != times.end() && time->second <= read.answered) continue;
    violations.push_back(
        {"foreign_answer", request_name(read), record, entry + " was not written to this record by then"});
  }
}

}  // namespace

std::vector<Violation> check_answers(const History& history) {
  std::vector<Violation> violations;
  const auto times = invocation_times(history);
  for (const OperationRecord& operation : history.operations) {
    const std::string name = request_name(operation);
    const std::string& record = operation.records.front();
    const bool to_another = !operation.answered_for.empty() && operation.answered_for != name;
    const bool unnamed = is_acknowledged(operation) && operation.answered_for.empty();
    if (to_another || unnamed) {
      violations.push_back({"foreign_answer", name, record, "answer to '" + operation.answered_for + "'"});
    }
    if (operation.refusal == "answer_not_whole") {
      violations.push_back({"foreign_answer", name, record, "the answer is not whole"});
    }
    if (!is_write(operation) && is_acknowledged(operation)) check_observed(operation, times, violations);
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
