#include "standins/callers/checkers/monotonic_reads.h"

#include <fmt/format.h>

#include "standins/callers/checkers/history_index.h"

namespace cairnhollow::standins::callers {

std::vector<Violation> check_monotonic_reads(const History& history) {
  std::vector<Violation> violations;
  for (const auto& [session, operations] : by_session(history)) {
    std::map<std::string, std::size_t> seen;
    for (const OperationRecord* operation : operations) {
      if (is_write(*operation) || !is_acknowledged(*operation)) continue;
      const std::string& record = operation->records.front();
      std::size_t& most = seen[record];
      if (operation->observed.size() < most) {
        violations.push_back({"monotonic_reads", request_name(*operation), record,
                              fmt::format("{} entries from {} after {}", operation->observed.size(),
                                          operation->served_by, most)});
      }
      most = std::max(most, operation->observed.size());
    }
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
