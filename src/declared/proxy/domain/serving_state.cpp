#include "declared/proxy/domain/serving_state.h"

namespace cairnhollow::declared::proxy {

ServingState::ServingState(runtime::Runtime& runtime, FollowSource& source, NodeName this_proxy,
                           DomainName domain)
    : runtime_(runtime),
      source_(source),
      domain_(std::move(domain)),
      builder_(std::move(this_proxy), domain_),
      view_(std::make_shared<routing::RoutingView>()),
      changed_(runtime),
      primary_attempts_(runtime) {}

bool ServingState::check_lease(std::string_view step, Reason& reason) const {
  if (source_.lease_valid(runtime_.now())) return true;
  reason = Reason{ReasonCode::kLeaseExpired, std::string(step), "",
                  "no valid serving lease: no control node granted one in time"};
  if (domain_.empty()) return false;
  const auto& failure = source_.last_failure();
  reason.peer = failure.peer.empty() ? domain_.value : failure.peer;
  reason.detail =
      "no valid serving lease: no control node of domain " + domain_.value + " granted one in time";
  if (failure.failed()) reason.detail += " (" + failure.to_string() + ")";
  return false;
}

bool ServingState::apply_if_newer(const follow::GroupState& state) {
  auto& known = groups_[state.group];
  const bool higher_term = state.term > known.term;
  const bool primary_learned = state.term == known.term && known.primary.empty() && !state.primary.empty();
  if (!higher_term && !primary_learned) return false;
  known = state;
  if (!state.primary.empty()) primary_attempts_.replaced(state.group, state.term);
  return true;
}

bool ServingState::is_replaced(const GroupName& group, std::uint64_t term) const {
  const auto known = groups_.find(group);
  return known != groups_.end() && known->second.term > term && !known->second.primary.empty();
}

std::vector<GroupName> ServingState::apply_group_states(const follow::AnswerEffect& effect) {
  std::vector<GroupName> changed;
  const auto& states = source_.groups();
  for (const auto& name : effect.touched_groups) {
    const auto state = states.find(name);
    if (state != states.end() && apply_if_newer(state->second)) changed.push_back(name);
  }
  return changed;
}

routing::ViewSources ServingState::sources() const {
  return {source_.revision(), source_.objects(), groups_, source_.leaving()};
}

void ServingState::refresh(const follow::AnswerEffect& effect) {
  auto groups = apply_group_states(effect);
  if (effect.snapshot) {
    replace_view(builder_.rebuild(sources()));
    return;
  }
  replace_view(builder_.update(sources(), {effect.touched, std::move(groups), effect.leaving}));
}

void ServingState::learn_group_state(const GroupName& group, std::uint64_t term, const BackendName& primary) {
  follow::GroupState state;
  state.group = group;
  state.term = term;
  state.primary = primary;
  if (!apply_if_newer(state)) return;
  runtime_.logger().log(runtime::LogLevel::kInfo, "primary_learned_from_backend",
                        {{"group", group.value}, {"term", std::to_string(term)}, {"primary", primary.value}});
  replace_view(builder_.update(sources(), {{}, {group}, false}));
}

void ServingState::suspect_primary(const GroupName& group, const BackendName& backend, std::uint64_t term) {
  const auto known = groups_.find(group);
  if (known != groups_.end() && known->second.term > term) return;
  follow::SuspectPrimary suspect;
  suspect.group = group;
  suspect.backend = backend;
  suspect.term = term;
  source_.report_suspect(std::move(suspect));
}

Awaitable<bool> ServingState::wait_for_change(TimePoint deadline) {
  const bool changed = co_await changed_.wait_until(deadline);
  co_return changed;
}

void ServingState::replace_view(routing::ViewPointer view) {
  view_ = std::move(view);
  changed_.notify_all();
}

}  // namespace cairnhollow::declared::proxy
