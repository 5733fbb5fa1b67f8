// Plays statements against a StatementScheduler and a backend with some slots, without a network: each
// statement arrives at a given time and holds its slot for a given time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "registered/scheduling/statement_scheduler.h"

namespace cairnhollow::registered::scheduling {

/// Times of the play are counted from here.
inline constexpr TimePoint kPlayStart = TimePoint(std::chrono::hours(1));

/// Idle links by tenant, and whether new ones may be opened.
class PlayedLinks : public LinkRoom {
 public:
  [[nodiscard]] bool has_idle(const TenantName& tenant) const override {
    const auto found = idle.find(tenant);
    return found != idle.end() && found->second > 0;
  }
  [[nodiscard]] bool may_open() const override { return opens; }
  [[nodiscard]] TimePoint next_opening() const override { return TimePoint::max(); }
  [[nodiscard]] bool is_retired() const override { return false; }

  std::map<TenantName, int> idle;
  bool opens = true;
};

struct PlayedStatement {
  SlotRequest request;
  Duration service{0};  ///< time for which it holds its slot

  // What became of it.
  std::optional<TimePoint> admitted_at;
  std::optional<TimePoint> refused_at;  ///< it was told that it cannot be served in time
  bool expired = false;                 ///< it waited until its deadline
  bool displaced = false;               ///< the queue was full

  [[nodiscard]] Duration waited() const { return *admitted_at - request.arrived; }
  [[nodiscard]] bool is_on_time() const {
    return admitted_at && *admitted_at + service <= request.target_end;
  }
};

/// Returns a statement that arrives `after` the start of the play.
inline PlayedStatement play_statement(Duration after, std::uint64_t route_priority, const char* tenant,
                                      Duration service, Duration target, Duration timeout) {
  PlayedStatement statement;
  statement.request.route_priority = route_priority;
  statement.request.tenant = TenantName(tenant);
  statement.request.arrived = kPlayStart + after;
  statement.request.target_end = statement.request.arrived + target;
  statement.request.wait_end = statement.request.arrived + timeout;
  statement.request.deadline = statement.request.wait_end;
  statement.service = service;
  return statement;
}

class SchedulerPlay {
 public:
  explicit SchedulerPlay(std::uint32_t slots) { room.capacity = slots; }

  void add(PlayedStatement statement) { statements.push_back(std::move(statement)); }
  /// Plays until `end` has passed, in steps of half a millisecond.
  void run(Duration end) {
    std::stable_sort(statements.begin(), statements.end(), [](const auto& one, const auto& other) {
      return one.request.arrived < other.request.arrived;
    });
    for (; now <= kPlayStart + end; now += kStep) step();
  }

  /// Called at each step, before anything else.
  std::function<void(SchedulerPlay&)> at_step;

  SlotRoom room;
  StatementScheduler scheduler;
  std::vector<PlayedStatement> statements;  ///< by arrival, once run() was called
  TimePoint now = kPlayStart;
  bool was_idle_in_vain = false;  ///< a slot was free while an admissible statement waited
  std::size_t most_waiting = 0;

 private:
  static constexpr Duration kStep = std::chrono::microseconds(500);

  void step() {
    if (at_step) at_step(*this);
    finish_running();
    expire();
    for (; arrived_ < statements.size() && statements[arrived_].request.arrived <= now; ++arrived_)
      arrive(arrived_);
    for (const auto& refused : scheduler.take_hopeless(now, room)) {
      statements[waiting_.at(refused.ticket)].refused_at = now;
      waiting_.erase(refused.ticket);
    }
    while (const auto next = scheduler.next(now, room)) admit(next->ticket);
    most_waiting = std::max(most_waiting, scheduler.waiting());
    was_idle_in_vain = was_idle_in_vain || (room.running < room.capacity && is_any_admissible());
  }

  void finish_running() {
    std::erase_if(running_, [&](std::size_t index) {
      const PlayedStatement& statement = statements[index];
      if (*statement.admitted_at + statement.service > now) return false;
      scheduler.service_times().record(statement.request, statement.service, now);
      --room.running;
      return true;
    });
  }

  void expire() {
    std::erase_if(waiting_, [&](const auto& entry) {
      if (statements[entry.second].request.deadline > now) return false;
      scheduler.remove(entry.first);
      return statements[entry.second].expired = true;
    });
  }

  void arrive(std::size_t index) {
    const auto enqueued = scheduler.enqueue(statements[index].request, now, room);
    using Verdict = StatementScheduler::Verdict;
    if (enqueued.verdict == Verdict::kWaits) waiting_[enqueued.ticket] = index;
    if (enqueued.verdict == Verdict::kHopeless) statements[index].refused_at = now;
    if (enqueued.verdict == Verdict::kQueueFull) statements[index].displaced = true;
    if (!enqueued.displaced) return;
    statements[waiting_.at(*enqueued.displaced)].displaced = true;
    waiting_.erase(*enqueued.displaced);
  }

  void admit(StatementScheduler::Ticket ticket) {
    const std::size_t index = waiting_.at(ticket);
    waiting_.erase(ticket);
    statements[index].admitted_at = now;
    running_.push_back(index);
    ++room.running;
  }

  [[nodiscard]] bool is_any_admissible() const {
    return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& entry) {
      const SlotRequest& request = statements[entry.second].request;
      if (room.links == nullptr || request.in_transaction) return true;
      return room.links->may_open() || room.links->has_idle(request.tenant);
    });
  }

  std::map<StatementScheduler::Ticket, std::size_t> waiting_;
  std::vector<std::size_t> running_;
  std::size_t arrived_ = 0;
};

}  // namespace cairnhollow::registered::scheduling
