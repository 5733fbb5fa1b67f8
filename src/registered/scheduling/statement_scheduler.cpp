#include "registered/scheduling/statement_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cairnhollow::registered::scheduling {

namespace {

bool may_open_link(const SlotRoom& room) { return room.links == nullptr || room.links->may_open(); }

Duration target_latency(const SlotRequest& request) { return request.target_end - request.arrived; }

}  // namespace

StatementScheduler::Planned StatementScheduler::describe(std::size_t index, TimePoint now,
                                                         const SlotRoom& room) const {
  const SlotRequest& request = waiting_[index].request;
  Planned planned;
  planned.index = index;
  planned.level = level_of(request);
  planned.cost = service_times_.expected(request, now);
  planned.is_late = !request.in_transaction && now + planned.cost > request.target_end;
  const bool has_idle = room.links == nullptr ? request.has_link : room.links->has_idle(request.tenant);
  planned.has_link = request.in_transaction || has_idle;
  const bool waited = now - request.arrived >= target_latency(request) / kNewLinkWaitDivisor;
  planned.gives_way = !planned.has_link && !waited;
  return planned;
}

void StatementScheduler::assign_tags(Plan& plan) const {
  const auto flow = [&](const Planned& planned) {
    return std::tie(planned.is_late, planned.level, waiting_[planned.index].request.tenant);
  };
  std::sort(plan.begin(), plan.end(), [&](const Planned& one, const Planned& other) {
    const Entry& first = waiting_[one.index];
    const Entry& second = waiting_[other.index];
    return std::tuple_cat(flow(one), std::tie(first.request.target_end, first.ticket)) <
           std::tuple_cat(flow(other), std::tie(second.request.target_end, second.ticket));
  });
  for (std::size_t place = 0; place < plan.size(); ++place) {
    Planned& planned = plan[place];
    const bool continues = place > 0 && flow(plan[place - 1]) == flow(planned);
    planned.tag = continues ? plan[place - 1].tag + plan[place - 1].cost
                            : shares_.start_tag(planned.level, waiting_[planned.index].request.tenant);
  }
}

StatementScheduler::Plan StatementScheduler::plan(TimePoint now, const SlotRoom& room) const {
  Plan plan;
  plan.reserve(waiting_.size());
  for (std::size_t index = 0; index < waiting_.size(); ++index) plan.push_back(describe(index, now, room));
  if (plan.size() < 2) return plan;
  assign_tags(plan);
  std::sort(plan.begin(), plan.end(), [&](const Planned& one, const Planned& other) {
    const Entry& first = waiting_[one.index];
    const Entry& second = waiting_[other.index];
    return std::tie(one.is_late, one.level, one.gives_way, one.tag, first.request.target_end, first.ticket) <
           std::tie(other.is_late, other.level, other.gives_way, other.tag, second.request.target_end,
                    second.ticket);
  });
  return plan;
}

Duration StatementScheduler::expected_wait(std::size_t ahead, Duration work, TimePoint now,
                                           const SlotRoom& room) const {
  const std::uint32_t capacity = std::max(room.capacity, 1U);
  const std::uint32_t free = capacity > room.running ? capacity - room.running : 0;
  if (ahead < free) return Duration(0);
  // While all slots are taken, the first one becomes free after a part of the mean service time.
  const Duration rest = free == 0 ? service_times_.mean(now) : Duration(0);
  return (work + rest) / capacity;
}

bool StatementScheduler::is_hopeless(const Planned& planned, Duration wait, TimePoint now) const {
  const SlotRequest& request = waiting_[planned.index].request;
  // A statement that need not wait is tried whatever is expected: only answers renew the expectation.
  if (wait == Duration(0)) return now >= request.wait_end;
  return now + wait > request.wait_end || now + wait + planned.cost > request.deadline;
}

bool StatementScheduler::may_be_hopeless(TimePoint now, const SlotRoom& room) const {
  Duration work{0};
  Duration longest{0};
  TimePoint first_end = TimePoint::max();
  for (const Entry& entry : waiting_) {
    const Duration cost = service_times_.expected(entry.request, now);
    work += cost;
    longest = std::max(longest, cost);
    first_end = std::min({first_end, entry.request.wait_end, entry.request.deadline});
  }
  return now + expected_wait(waiting_.size(), work, now, room) + longest >= first_end;
}

StatementScheduler::Enqueued StatementScheduler::enqueue(SlotRequest request, TimePoint now,
                                                         const SlotRoom& room) {
  const Ticket ticket = next_ticket_++;
  const std::size_t index = waiting_.size();
  waiting_.push_back({ticket, std::move(request)});
  const Plan order = plan(now, room);
  Enqueued enqueued;
  enqueued.ticket = ticket;
  Duration work{0};
  bool is_hopeless_here = false;
  for (std::size_t place = 0; place < order.size(); ++place) {
    if (order[place].index == index) {
      enqueued.forecast.ahead = place;
      enqueued.forecast.wait = expected_wait(place, work, now, room);
      is_hopeless_here = is_hopeless(order[place], enqueued.forecast.wait, now);
    }
    work += order[place].cost;
  }
  enqueued.forecast.drain = expected_wait(order.size(), work, now, room);
  const std::size_t last = order.back().index;
  const bool is_full = waiting_.size() > kMaxWaitingStatements;
  if (is_hopeless_here) enqueued.verdict = Verdict::kHopeless;
  if (!is_hopeless_here && is_full && last == index) enqueued.verdict = Verdict::kQueueFull;
  if (enqueued.verdict != Verdict::kWaits) {
    erase(index);
  } else if (is_full) {
    enqueued.displaced = waiting_[last].ticket;
    erase(last);
  }
  return enqueued;
}

const StatementScheduler::Planned* StatementScheduler::find_due(const Plan& plan, const Planned& regular,
                                                                TimePoint now, bool may_open) const {
  const Planned* due = nullptr;
  for (const Planned& planned : plan) {
    if (planned.is_late || !(regular.level < planned.level)) continue;
    if (!planned.has_link && !may_open) continue;
    const SlotRequest& request = waiting_[planned.index].request;
    if (now - request.arrived < target_latency(request) / kTurnDueDivisor) continue;
    if (due != nullptr && waiting_[due->index].request.target_end <= request.target_end) continue;
    due = &planned;
  }
  return due;
}

const StatementScheduler::Planned* StatementScheduler::choose(const Plan& plan, TimePoint now,
                                                              bool may_open) {
  const auto regular = std::find_if(plan.begin(), plan.end(),
                                    [&](const Planned& planned) { return planned.has_link || may_open; });
  if (regular == plan.end()) return nullptr;
  const Planned* due = regular->is_late ? nullptr : find_due(plan, *regular, now, may_open);
  if (due == nullptr) return &*regular;
  if (turn_credit_ >= due->cost) {
    turn_credit_ -= due->cost;
    return due;
  }
  turn_credit_ += regular->cost / kTurnShareDivisor;
  return &*regular;
}

std::optional<StatementScheduler::Admitted> StatementScheduler::next(TimePoint now, const SlotRoom& room) {
  if (waiting_.empty() || room.running >= std::max(room.capacity, 1U)) return std::nullopt;
  const Plan order = plan(now, room);
  const Planned* chosen = choose(order, now, may_open_link(room));
  if (chosen == nullptr) return std::nullopt;
  const Entry& entry = waiting_[chosen->index];
  const Admitted admitted{entry.ticket, chosen->cost};
  shares_.charge(chosen->level, entry.request.tenant, chosen->cost);
  erase(chosen->index);
  return admitted;
}

std::vector<StatementScheduler::Refused> StatementScheduler::take_hopeless(TimePoint now,
                                                                           const SlotRoom& room) {
  std::vector<Refused> refused;
  if (waiting_.empty() || !may_be_hopeless(now, room)) return refused;
  std::size_t ahead = 0;
  Duration work{0};
  for (const Planned& planned : plan(now, room)) {
    const Duration wait = expected_wait(ahead, work, now, room);
    if (is_hopeless(planned, wait, now)) {
      refused.push_back({waiting_[planned.index].ticket, {ahead, wait, Duration(0)}});
      continue;
    }
    ++ahead;
    work += planned.cost;
  }
  for (Refused& one : refused) {
    one.forecast.drain = expected_wait(ahead, work, now, room);
    remove(one.ticket);
  }
  return refused;
}

std::vector<StatementScheduler::Ticket> StatementScheduler::take_movable() {
  std::vector<Ticket> taken;
  for (const Entry& entry : waiting_) {
    if (!entry.request.in_transaction) taken.push_back(entry.ticket);
  }
  for (const Ticket ticket : taken) remove(ticket);
  return taken;
}

void StatementScheduler::remove(Ticket ticket) {
  const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                  [&](const Entry& entry) { return entry.ticket == ticket; });
  if (found != waiting_.end()) erase(static_cast<std::size_t>(found - waiting_.begin()));
}

void StatementScheduler::erase(std::size_t index) {
  const ShareLevel level = level_of(waiting_[index].request);
  waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
  const bool is_last = std::none_of(waiting_.begin(), waiting_.end(),
                                    [&](const Entry& entry) { return level_of(entry.request) == level; });
  if (is_last) shares_.forget(level);
}

void StatementScheduler::refund(const SlotRequest& request, Duration cost) {
  shares_.refund(level_of(request), request.tenant, cost);
}

SlotDemand StatementScheduler::demand(std::uint32_t running) const {
  SlotDemand demand;
  demand.running = running;
  for (const Entry& entry : waiting_) ++demand.waiting[demand_class(entry.request)];
  return demand;
}

}  // namespace cairnhollow::registered::scheduling
