// Checkers of runs in which callers offered more than the deployment can run.
#include <fmt/format.h>

#include "simulation/checkers/checkers.h"

namespace cairnhollow::simulation {

namespace {

double seconds_of(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

std::vector<Violation> check_overload(const History& history, const OverloadWindow& window) {
  const OverloadFigures figures = measure_overload(history, window);
  std::vector<Violation> violations;
  const auto expect = [&](bool holds, std::string what) {
    if (!holds) violations.push_back({"overload", "", "", std::move(what)});
  };
  expect(figures.goodput >= kLeastGoodput,
         fmt::format("{:.1f}% of the capacity was used", 100 * figures.goodput));
  expect(figures.offered >= kLeastOffered, "the callers did not offer an overload");
  expect(figures.urgent_writes > 0, "no urgent write was offered");
  expect(figures.urgent_refused == 0,
         fmt::format("{} of {} urgent writes were refused", figures.urgent_refused, figures.urgent_writes));
  expect(figures.urgent_late == 0,
         fmt::format("{} of {} urgent writes were late, the slowest took {:.3f} s", figures.urgent_late,
                     figures.urgent_writes, seconds_of(figures.urgent_slowest)));
  expect(figures.refused_after == 0,
         fmt::format("{} refused after it, the last {:.3f} s after its end", figures.refused_after,
                     seconds_of(figures.last_refusal_after)));
  expect(figures.p99_before > Duration(0) && figures.p99_after > Duration(0) &&
             figures.p99_after <= figures.p99_before * kSlowestReturn,
         fmt::format("p99 before {:.3f} s, after {:.3f} s", seconds_of(figures.p99_before),
                     seconds_of(figures.p99_after)));
  return violations;
}

}  // namespace cairnhollow::simulation
