// Virtual time: an ordered queue of events and the io_context that runs the coroutines they wake. No Asio
// timer or socket is ever made, so Asio never starts its reactor and no system call is made per event.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/types.h"

namespace cairnhollow::simulation {

using Action = std::function<void()>;

/// Single-threaded. Events of the same time run in the order in which they were scheduled.
class Scheduler {
 public:
  /// Names a scheduled event; unique in one scheduler.
  using EventId = std::pair<TimePoint, std::uint64_t>;

  [[nodiscard]] TimePoint now() const { return now_; }
  /// Runs `action` at `time`, or now when that has passed.
  EventId schedule(TimePoint time, Action action);
  EventId schedule_after(Duration delay, Action action) { return schedule(now_ + delay, std::move(action)); }
  /// Does nothing when the event has run.
  void cancel(const EventId& event) { events_.erase(event); }
  /// Runs all events up to `time`, each followed by the coroutines that it woke; then now() is `time`.
  /// Throws std::runtime_error when one instant never ends (kEventsPerInstant).
  void run_until(TimePoint time);
  /// Runs the coroutines that are ready, without moving the clock.
  void run_ready();
  /// Forgets every event; part of the end of the world.
  void clear() { events_.clear(); }
  [[nodiscard]] std::uint64_t events_run() const { return events_run_; }
  boost::asio::io_context& context() { return context_; }

 private:
  /// More events than any instant of a sound run needs: a loop that never waits.
  static constexpr std::uint64_t kEventsPerInstant = 1'000'000;

  boost::asio::io_context context_{1};
  TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  std::uint64_t events_run_ = 0;
  std::map<EventId, Action> events_;
};

}  // namespace cairnhollow::simulation
