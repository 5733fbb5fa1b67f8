#include "declared/control/failover/member_probe.h"

#include <algorithm>

#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

MemberProbe::MemberProbe(runtime::Runtime& runtime, backend::BackendConnector& connector,
                         MemberProbeSettings settings, GroupMember member, std::function<void()> on_result)
    : runtime_(runtime),
      connector_(connector),
      settings_(std::move(settings)),
      member_(std::move(member)),
      on_result_(std::move(on_result)),
      wake_(runtime),
      silent_since_(runtime.now()) {}

void MemberProbe::start() { runtime_.spawn("member_probe", run(shared_from_this())); }

void MemberProbe::stop() {
  stopping_ = true;
  if (connection_) connection_->close();
  wake_.notify_all();
}

void MemberProbe::update(GroupMember member) {
  const bool moved = member.endpoint != member_.endpoint;
  member_ = std::move(member);
  if (!moved) return;
  if (connection_) connection_->close();
  discard_results();
  probe_now_ = true;
  wake_.notify_all();
}

void MemberProbe::probe_urgently(TimePoint until) {
  urgent_until_ = std::max(urgent_until_, until);
  probe_now_ = true;
  wake_.notify_all();
}

void MemberProbe::discard_results() {
  ++generation_;
  status_.reset();
  answering_ = false;
  silent_since_ = runtime_.now();
  failures_in_a_row_ = 0;
  last_problem_ = Reason{};
}

MemberObservation MemberProbe::observe() const {
  MemberObservation observation;
  observation.member = member_;
  observation.status = status_;
  observation.answering = answering_;
  observation.silent_for = runtime_.now() - silent_since_;
  observation.failures_in_a_row = failures_in_a_row_;
  observation.refused = last_problem_.code == ReasonCode::kUnreachable;
  return observation;
}

TimePoint MemberProbe::next_probe(TimePoint started_at) const {
  const Duration interval =
      started_at < urgent_until_ ? std::min(settings_.interval, kUrgentProbeInterval) : settings_.interval;
  return started_at + interval;
}

Awaitable<void> MemberProbe::run(std::shared_ptr<MemberProbe> /*self*/) {
  while (!stopping_) {
    probe_now_ = false;
    const TimePoint started_at = runtime_.now();
    const std::uint64_t generation = generation_;
    Reason reason;
    auto status = co_await probe(reason);
    if (stopping_) break;
    if (generation == generation_) record_result(std::move(status), reason);
    while (!stopping_ && !probe_now_) {
      const bool notified = co_await wake_.wait_until(next_probe(started_at));
      if (!notified) break;
    }
  }
  if (connection_) connection_->close();
}

Awaitable<std::optional<backend::BackendStatus>> MemberProbe::probe(Reason& reason) {
  const TimePoint deadline = runtime_.now() + settings_.timeout;
  if (!connection_ || !connection_->is_open()) {
    connection_ = co_await connector_.open(member_.backend, member_.endpoint, deadline, reason);
  }
  if (!connection_) co_return std::nullopt;
  const auto connection = connection_;
  auto status = co_await connection->status(deadline, reason);
  if (!status || !is_expected(*status, reason)) co_return std::nullopt;
  co_return status;
}

bool MemberProbe::is_expected(const backend::BackendStatus& status, Reason& reason) const {
  if (status.backend == member_.backend && status.group == settings_.group) return true;
  reason = Reason{ReasonCode::kConflict, "probe", member_.endpoint.to_string(),
                  "the endpoint answers as " + status.backend.value + " of group " + status.group.value};
  return false;
}

void MemberProbe::record_result(std::optional<backend::BackendStatus> status, Reason reason) {
  answering_ = status.has_value();
  if (status) {
    status_ = std::move(status);
    silent_since_ = runtime_.now();
    failures_in_a_row_ = 0;
    last_problem_ = Reason{};
  } else {
    ++failures_in_a_row_;
    last_problem_ = std::move(reason);
  }
  on_result_();
}

}  // namespace cairnhollow::declared::control
