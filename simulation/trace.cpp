#include "simulation/trace.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>

namespace cairnhollow::simulation {

void Trace::event(TimePoint time, std::string_view kind, std::uint64_t actor, std::string_view content) {
  const std::array<std::uint64_t, 4> words{static_cast<std::uint64_t>(time.time_since_epoch().count()),
                                           XXH64(kind.data(), kind.size(), 0), actor,
                                           XXH64(content.data(), content.size(), 0)};
  hash_ = XXH64(words.data(), sizeof words, hash_);
  ++event_count_;
}

void Trace::log_line(TimePoint time, std::uint64_t actor, const std::string& line) {
  if (log_observer_) log_observer_(line);
  event(time, "log", actor, line);
  if (print_)
    fmt::print(stderr, "{:.6f} {}\n", std::chrono::duration<double>(time.time_since_epoch()).count(), line);
}

}  // namespace cairnhollow::simulation
