#include "standins/callers/checkers/all_checkers.h"

#include <iterator>

#include "standins/callers/checkers/answers.h"
#include "standins/callers/checkers/doubled_writes.h"
#include "standins/callers/checkers/lost_writes.h"
#include "standins/callers/checkers/monotonic_reads.h"
#include "standins/callers/checkers/read_your_writes.h"
#include "standins/callers/checkers/record_prefixes.h"
#include "standins/callers/checkers/refused_writes.h"
#include "standins/callers/checkers/single_use_writes.h"
#include "standins/callers/checkers/transactions.h"

namespace cairnhollow::standins::callers {

std::vector<Violation> check_history(const History& history) {
  using Checker = std::vector<Violation> (*)(const History&);
  constexpr Checker kCheckers[] = {
      check_lost_writes,       check_doubled_writes,   check_refused_writes,
      check_single_use_writes, check_read_your_writes, check_monotonic_reads,
      check_record_prefixes,   check_answers,          check_transactions,
  };
  std::vector<Violation> violations;
  for (const Checker checker : kCheckers) {
    std::vector<Violation> found = checker(history);
    std::move(found.begin(), found.end(), std::back_inserter(violations));
  }
  return violations;
}

}  // namespace cairnhollow::standins::callers
