#include "registered/proxy/links/stateful_pool.h"

#include <fmt/format.h>

#include <algorithm>

namespace cairnhollow::registered::proxy {

namespace {

/// Whether `from` can be made equal to `to` by setting values, without a reset.
bool can_extend(const SessionValues& from, const SessionValues& to) {
  return std::all_of(from.begin(), from.end(), [&](const auto& entry) { return to.count(entry.first) > 0; });
}

}  // namespace

std::string StatefulLink::prepared_name(const PreparedShape& shape) const {
  const auto found = prepared_.find(shape);
  return found == prepared_.end() ? std::string() : found->second;
}

bool StatefulLink::needs_reset(const SessionValues& values) const {
  return !can_extend(values_, values) || prepared_.size() >= kMaxPreparedOnLink;
}

bool StatefulLink::needs_setup(const SessionValues& values,
                               const std::optional<PreparedShape>& prepared) const {
  return needs_reset(values) || values != values_ || (prepared && prepared_.count(*prepared) == 0);
}

Awaitable<bool> StatefulLink::run_setup(BackendRequest request, TimePoint deadline, Reason& reason) {
  runtime::SendState sent = runtime::SendState::kNotSent;
  const auto answer = co_await link_->run(std::move(request), deadline, sent, reason);
  if (answer && answer->succeeded()) co_return true;
  if (answer) reason = Reason{ReasonCode::kInternal, "set_up_link", link_->peer(), answer->detail};
  link_->close();
  co_return false;
}

Awaitable<bool> StatefulLink::apply_session_state(SessionValues values, std::optional<PreparedShape> prepared,
                                                  TimePoint deadline, Reason& reason) {
  if (needs_reset(values)) {
    BackendRequest request = ResetState{};
    const bool reset = co_await run_setup(std::move(request), deadline, reason);
    if (!reset) co_return false;
    values_.clear();
    prepared_.clear();
  }
  for (const auto& [name, value] : values) {
    const auto held = values_.find(name);
    if (held != values_.end() && held->second == value) continue;
    BackendRequest request = SetValue{name, value};
    const bool set = co_await run_setup(std::move(request), deadline, reason);
    if (!set) co_return false;
    values_[name] = value;
  }
  if (!prepared || prepared_.count(*prepared) > 0) co_return true;
  const std::string name = fmt::format("p{}", next_name_++);
  BackendRequest request = Prepare{name, prepared->writes, prepared->shape};
  const bool done = co_await run_setup(std::move(request), deadline, reason);
  if (!done) co_return false;
  prepared_[*prepared] = name;
  co_return true;
}

void StatefulPool::drop_closed() {
  const auto lost = std::erase_if(idle_, [](const auto& link) { return !link->link().is_open(); });
  idle_link_lost_ = idle_link_lost_ || lost > 0;
}

std::shared_ptr<StatefulLink> StatefulPool::take_idle(const LinkRequest& link_request) {
  drop_closed();
  auto best = idle_.end();
  for (auto candidate = idle_.end(); candidate != idle_.begin();) {
    --candidate;
    if (!link_request.any_tenant && (*candidate)->tenant() != link_request.tenant) continue;
    if ((*candidate)->values() == link_request.values) {
      best = candidate;
      break;
    }
    const bool extends = can_extend((*candidate)->values(), link_request.values);
    if (best == idle_.end() || (extends && !can_extend((*best)->values(), link_request.values)))
      best = candidate;
  }
  if (best == idle_.end()) return nullptr;
  auto link = *best;
  idle_.erase(best);
  return link;
}

void StatefulPool::set_limits(std::uint64_t kept, std::uint64_t limit) {
  kept_limit_ = kept;
  limit_ = limit;
  while (!idle_.empty() && in_use_ + idle_.size() > kept_limit_) {
    idle_.front()->link().close();
    idle_.erase(idle_.begin());
  }
  if (room_listener_) room_listener_();
}

bool StatefulPool::has_idle(const TenantName& tenant) const {
  return std::any_of(idle_.begin(), idle_.end(),
                     [&](const auto& link) { return link->tenant() == tenant && link->link().is_open(); });
}

TimePoint StatefulPool::next_opening() const {
  const bool is_paused = in_use_ < limit_ && runtime_.now() < dial_paused_until_;
  return is_paused ? dial_paused_until_ : TimePoint::max();
}

void StatefulPool::announce_room() {
  released_.notify_one();
  if (room_listener_) room_listener_();
}

void StatefulPool::evict_idle_link() {
  const bool is_full = in_use_ + idle_.size() >= kept_limit_ || runtime_.now() < dial_paused_until_;
  if (idle_.empty() || !is_full) return;
  idle_.front()->link().close();
  idle_.erase(idle_.begin());
}

Awaitable<std::shared_ptr<StatefulLink>> StatefulPool::acquire(LinkRequest link_request,
                                                               LinkDeadlines deadlines,
                                                               std::optional<Refusal>& refusal,
                                                               Reason& reason) {
  while (true) {
    if (retired_) {
      reason = Reason{ReasonCode::kUnreachable, "acquire_link", address_.backend.value,
                      "the backend has restarted or was removed"};
      co_return nullptr;
    }
    if (is_refused()) {
      refusal = Refusal::kConnectionLimit;
      reason = Reason{ReasonCode::kOverloaded, "acquire_link", address_.backend.value,
                      "the backend recently refused a connection at its limit, dialling is paused"};
      co_return nullptr;
    }
    if (auto idle = take_idle(link_request)) {
      ++in_use_;
      idle->set_taken_at(runtime_.now());
      co_return idle;
    }
    if (may_dial()) break;
    const bool waits_for_room = in_use_ < limit_;
    const TimePoint wake = waits_for_room ? std::min(deadlines.free, dial_paused_until_) : deadlines.free;
    co_await released_.wait_until(wake);
    if (runtime_.now() < deadlines.free) continue;
    reason = Reason{ReasonCode::kOverloaded, "acquire_link", address_.backend.value,
                    "all links are in use and none was released in time"};
    co_return nullptr;
  }
  evict_idle_link();
  ++in_use_;
  const TimePoint taken_at = runtime_.now();
  const TimePoint dial_deadline = std::min(deadlines.open, runtime_.now() + kDialTimeout);
  BackendAddress address = address_;
  address.tenant = link_request.tenant;
  auto link = co_await dialer_.open(std::move(address), dial_deadline, refusal, reason);
  if (link && retired_) link->close();
  if (link) {
    auto opened = std::make_shared<StatefulLink>(std::move(link), std::move(link_request.tenant));
    opened->set_taken_at(taken_at);
    co_return opened;
  }
  --in_use_;
  if (refusal == Refusal::kConnectionLimit) pause_dialling();
  announce_room();
  co_return nullptr;
}

void StatefulPool::pause_dialling() {
  dial_paused_until_ = runtime_.now() + kDialPause;
  runtime_.logger().log(runtime::LogLevel::kWarning, "backend_full",
                        {{"group", address_.group.value},
                         {"backend", address_.backend.value},
                         {"in_use", std::to_string(in_use_)},
                         {"idle", std::to_string(idle_.size())},
                         {"limit", std::to_string(limit_)}});
}

void StatefulPool::log_release(const StatefulLink& link) const {
  if (!runtime_.logger().is_enabled(runtime::LogLevel::kDebug)) return;
  const auto held = std::chrono::duration_cast<std::chrono::microseconds>(runtime_.now() - link.taken_at());
  runtime_.logger().log(runtime::LogLevel::kDebug, "link_used",
                        {{"group", address_.group.value},
                         {"backend", address_.backend.value},
                         {"tenant", link.tenant().value},
                         {"opened", link.idle_since() == TimePoint{} ? "true" : "false"},
                         {"held_us", std::to_string(held.count())}});
}

void StatefulPool::release(std::shared_ptr<StatefulLink> link) {
  --in_use_;
  log_release(*link);
  if (retired_ || in_use_ + idle_.size() >= kept_limit_) link->link().close();
  link->set_idle_since(runtime_.now());
  if (link->link().is_open()) idle_.push_back(std::move(link));
  announce_room();
}

void StatefulPool::trim(TimePoint now, std::size_t kept) {
  drop_closed();
  while (idle_.size() > kept) {
    const bool lasts = in_use_ + idle_.size() <= lasting_links_;
    if (now - idle_.front()->idle_since() <= (lasts ? lasting_timeout_ : idle_timeout_)) return;
    idle_.front()->link().close();
    idle_.erase(idle_.begin());
  }
}

void StatefulPool::retire() {
  retired_ = true;
  close_idle();
  released_.notify_all();
  if (room_listener_) room_listener_();
}

void StatefulPool::close_idle() {
  for (const auto& link : idle_) link->link().close();
  idle_.clear();
}

}  // namespace cairnhollow::registered::proxy
