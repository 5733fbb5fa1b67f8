#include "simulation/scheduler.h"

#include <stdexcept>

namespace cairnhollow::simulation {

Scheduler::EventId Scheduler::schedule(TimePoint time, Action action) {
  const EventId event{std::max(time, now_), next_sequence_++};
  events_.emplace(event, std::move(action));
  return event;
}

void Scheduler::run_ready() {
  context_.restart();
  while (context_.poll() > 0) context_.restart();
}

void Scheduler::run_until(TimePoint time) {
  run_ready();
  std::uint64_t events_of_instant = 0;
  while (!events_.empty() && events_.begin()->first.first <= time) {
    auto event = events_.extract(events_.begin());
    events_of_instant = event.key().first == now_ ? events_of_instant + 1 : 0;
    if (events_of_instant > kEventsPerInstant) throw std::runtime_error("a loop runs without waiting");
    now_ = event.key().first;
    ++events_run_;
    event.mapped()();
    run_ready();
  }
  now_ = std::max(now_, time);
}

}  // namespace cairnhollow::simulation
