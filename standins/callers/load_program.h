// cairnhollow-load: runs a workload on real sockets, or judges a recorded history, and reports.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cairnhollow::standins::callers {

inline constexpr int kLoadExitPassed = 0;
inline constexpr int kLoadExitFailed = 1;  ///< a promise was broken, or the run could not be judged
inline constexpr int kLoadExitUsage = 2;

std::uint64_t random_load_seed();

/// Returns the exit code.
int run_load_program(const std::vector<std::string>& arguments);

}  // namespace cairnhollow::standins::callers
