#include "registered/proxy/capacity/demand_exchange.h"

namespace cairnhollow::registered::proxy {

void DemandExchange::announce_wait(const Group& group, const Backend& backend) {
  if (!backend->room.is_owner() || backend->gate.has_room()) return;
  start_following(group, backend)->notify_all();
}

void DemandExchange::receive(const ForwardDemand& told) {
  const auto group = view_.find_group(told.group);
  if (!group) return;
  const auto found = group->backends.all().find(told.backend);
  if (found == group->backends.all().end()) return;
  const Backend backend = found->second;
  if (!backend->room.is_owner(told.owner)) return;
  backend->room.record(told.owner, told.demand, runtime_.now());
  apply_capacity(*backend, runtime_.now());
  if (!backend->room.is_owner()) return;
  for (const subset::ProxyPointer& owner : backend->room.owners()) {
    if (told.wants_reply && owner->name == told.owner) start_telling(group->name, backend, owner, false);
  }
  start_following(group, backend);
}

std::shared_ptr<runtime::Signal> DemandExchange::start_following(const Group& group, const Backend& backend) {
  std::shared_ptr<runtime::Signal>& announced = followed_[backend.get()];
  if (announced) return announced;
  announced = std::make_shared<runtime::Signal>(runtime_);
  runtime_.spawn("follow_demand", follow(group, backend, announced));
  return announced;
}

Awaitable<void> DemandExchange::follow(Group group, Backend backend,
                                       std::shared_ptr<runtime::Signal> announced) {
  // The statement that is announced has to enter the queue first.
  co_await runtime_.sleep_for(Duration(0));
  TimePoint next_telling = runtime_.now();
  while (backend->gate.waiting() > 0 || backend->room.has_news(runtime_.now())) {
    const bool waits = backend->gate.waiting() > 0;
    const bool is_due = runtime_.now() >= next_telling;
    // A statement that is announced between two rounds is told at once where the others were not told lately.
    const bool all_told = waits && tell_others(*group, backend);
    if (is_due || all_told) next_telling = runtime_.now() + capacity::kDemandInterval;
    apply_capacity(*backend, runtime_.now());
    co_await announced->wait_until(next_telling);
  }
  apply_capacity(*backend, runtime_.now());
  followed_.erase(backend.get());
}

bool DemandExchange::tell_others(const GroupAccess& group, const Backend& backend) {
  bool all_told = true;
  for (const subset::ProxyPointer& owner : backend->room.owners()) {
    if (owner->name != view_.node()) all_told = start_telling(group.name, backend, owner, true) && all_told;
  }
  return all_told;
}

bool DemandExchange::start_telling(const GroupName& group, const Backend& backend,
                                   const subset::ProxyPointer& owner, bool wants_reply) {
  const TimePoint now = runtime_.now();
  std::erase_if(told_at_, [now](const auto& told) { return now - told.second >= capacity::kDemandInterval; });
  if (!told_at_.emplace(std::pair(backend->entry.name, owner->name), now).second) return false;
  runtime_.spawn("tell_demand", tell(group, backend, owner, wants_reply));
  return true;
}

Awaitable<void> DemandExchange::tell(GroupName group, Backend backend, subset::ProxyPointer owner,
                                     bool wants_reply) {
  const BackendName name = backend->entry.name;
  const TimePoint deadline = runtime_.now() + capacity::kDemandLifetime;
  Reason reason;
  const auto connection = co_await owners_.connect(owner, deadline, reason);
  if (connection) {
    ForwardRequest request;
    request.body = ForwardDemand{group, name, view_.node(), backend->gate.demand(), wants_reply};
    const auto answer = co_await connection->call(std::move(request), deadline, reason);
    if (!answer) owners_.record_no_answer(owner->name, group);
  }
}

}  // namespace cairnhollow::registered::proxy
