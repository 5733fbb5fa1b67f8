// Decides which of the statements that wait for one backend runs next, and which of them cannot run in time.
// Pure: the caller passes the time and the room, and resumes the statements.
//
// Order: those that can still meet their target before those that cannot; then statements of open
// transactions, route priority, tenant priority; among tenants of one level by fair shares of the expected
// service time; within a tenant by the end of the target.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "registered/scheduling/fair_shares.h"
#include "registered/scheduling/link_room.h"
#include "registered/scheduling/service_times.h"
#include "registered/scheduling/slot_request.h"
#include "registered/scheduling/slot_shares.h"

namespace cairnhollow::registered::scheduling {

/// Maximum number of waiting statements, some kilobytes each. At the shortest service time, more than four
/// slots run within a second.
inline constexpr std::size_t kMaxWaitingStatements = 256;
/// A statement that has waited for its route's target latency divided by this is due for a turn: the rest of
/// the target is left to run it.
inline constexpr int kTurnDueDivisor = 2;
/// Statements due for a turn get one part in this number of the service time that higher classes take:
/// enough that no class stands still, and little enough that the higher ones still meet their targets.
inline constexpr int kTurnShareDivisor = 8;
/// A statement that needs a new link gives way to those of its level that need none until it has waited for
/// its route's target latency divided by this: about a handshake at the shortest targets, in which a link
/// of its tenant may become idle.
inline constexpr int kNewLinkWaitDivisor = 8;

/// The room at the backend when a decision is made.
struct SlotRoom {
  std::uint32_t capacity = 1;       ///< statements that may run at once; at least 1
  std::uint32_t running = 0;        ///< statements that run
  const LinkRoom* links = nullptr;  ///< not owned; null: SlotRequest::has_link holds, and links may be opened
};

/// What is expected for a waiting statement.
struct WaitForecast {
  std::size_t ahead = 0;  ///< waiting statements that go first
  Duration wait{0};       ///< until it is admitted
  Duration drain{0};      ///< until all that wait now are admitted
};

class StatementScheduler {
 public:
  /// Identifies a waiting statement.
  using Ticket = std::uint64_t;

  enum class Verdict : std::uint8_t {
    kWaits,
    kHopeless,   ///< it cannot be admitted before its wait ends, or not answered by its deadline
    kQueueFull,  ///< kMaxWaitingStatements wait, all of them ahead of it
  };

  struct Enqueued {
    Verdict verdict = Verdict::kWaits;
    Ticket ticket = 0;                ///< valid if it waits
    std::optional<Ticket> displaced;  ///< the last in order, which had to leave the full queue
    WaitForecast forecast;
  };

  struct Admitted {
    Ticket ticket = 0;
    Duration cost{0};  ///< charged to its tenant
  };

  struct Refused {
    Ticket ticket = 0;
    WaitForecast forecast;
  };

  /// Adds a statement to those that wait, unless it is refused.
  Enqueued enqueue(SlotRequest request, TimePoint now, const SlotRoom& room);
  /// Removes and returns the statement that runs next. Empty if no slot is free, or no waiting statement has
  /// a link or may open one.
  std::optional<Admitted> next(TimePoint now, const SlotRoom& room);
  /// Removes and returns the statements that have become hopeless.
  std::vector<Refused> take_hopeless(TimePoint now, const SlotRoom& room);
  /// Removes and returns the statements that do not belong to an open transaction.
  std::vector<Ticket> take_movable();
  /// Removes a statement that waits no longer. No effect if it does not wait.
  void remove(Ticket ticket);
  /// To be called for a statement that next() returned and that gave its slot back unused. `cost`: what it
  /// was charged.
  void refund(const SlotRequest& request, Duration cost);

  [[nodiscard]] ServiceTimes& service_times() { return service_times_; }
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
  /// `running`: the caller's count of statements that run.
  [[nodiscard]] SlotDemand demand(std::uint32_t running) const;

 private:
  struct Entry {
    Ticket ticket = 0;
    SlotRequest request;
  };
  /// A waiting statement with what its place in the order depends on at one moment.
  struct Planned {
    std::size_t index = 0;  ///< in waiting_
    ShareLevel level;
    bool is_late = false;    ///< it cannot meet its target any more
    bool has_link = true;    ///< an idle link is at hand, or it brings one
    bool gives_way = false;  ///< it lets those pass that need no new link
    Duration cost{0};        ///< expected service time
    Duration tag{0};         ///< start tag, by fair shares
  };
  using Plan = std::vector<Planned>;

  /// The waiting statements in the order in which they would be admitted.
  [[nodiscard]] Plan plan(TimePoint now, const SlotRoom& room) const;
  [[nodiscard]] Planned describe(std::size_t index, TimePoint now, const SlotRoom& room) const;
  void assign_tags(Plan& plan) const;
  /// `work`: expected service time of the `ahead` statements that go first.
  [[nodiscard]] Duration expected_wait(std::size_t ahead, Duration work, TimePoint now,
                                       const SlotRoom& room) const;
  /// Whether any waiting statement would be hopeless if it were the last in order: a cheap bound.
  [[nodiscard]] bool may_be_hopeless(TimePoint now, const SlotRoom& room) const;
  [[nodiscard]] bool is_hopeless(const Planned& planned, Duration wait, TimePoint now) const;
  /// The statement that next() admits; null if none may be admitted.
  [[nodiscard]] const Planned* choose(const Plan& plan, TimePoint now, bool may_open);
  /// The first statement due for a turn that comes after `regular` in the order; null if there is none.
  [[nodiscard]] const Planned* find_due(const Plan& plan, const Planned& regular, TimePoint now,
                                        bool may_open) const;
  void erase(std::size_t index);

  std::vector<Entry> waiting_;  ///< by arrival
  FairShares shares_;
  ServiceTimes service_times_;
  Ticket next_ticket_ = 1;
  Duration turn_credit_{0};  ///< service time that statements due for a turn may take
};

}  // namespace cairnhollow::registered::scheduling
