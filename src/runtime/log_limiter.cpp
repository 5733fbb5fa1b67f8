#include "runtime/log_limiter.h"

#include <utility>

namespace cairnhollow::runtime {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

}  // namespace

std::optional<std::uint64_t> LogLimiter::admit(std::string_view event, std::int64_t now_microseconds) {
  auto found = budgets_.find(event);
  if (found == budgets_.end()) found = budgets_.emplace(std::string(event), Budget{}).first;
  Budget& budget = found->second;
  const std::int64_t second = now_microseconds / kMicrosecondsPerSecond;
  if (second != budget.second) {
    budget.second = second;
    budget.written = 0;
  }
  if (budget.written >= kLogLinesPerSecond) {
    ++budget.suppressed;
    return std::nullopt;
  }
  ++budget.written;
  return std::exchange(budget.suppressed, 0);
}

}  // namespace cairnhollow::runtime
