#include "declared/control/machines/platform_poller.h"

#include <fmt/format.h>

#include "declared/control/knobs.h"

namespace cairnhollow::declared::control {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr const char* kMachinesTarget = "/v1/machines";

}  // namespace

PlatformPoller::PlatformPoller(runtime::Runtime& runtime, Endpoint platform, Duration interval,
                               ClusterStateDirectory& directory, EventLog& events)
    : runtime_(runtime),
      platform_(std::move(platform)),
      interval_(interval),
      directory_(directory),
      events_(events),
      wake_(runtime) {}

void PlatformPoller::start() {
  if (platform_.port != 0) runtime_.spawn("platform_poller", run());
}

void PlatformPoller::stop() {
  stopping_ = true;
  if (connection_) connection_->close();
  wake_.notify_all();
}

Awaitable<void> PlatformPoller::run() {
  while (!stopping_) {
    Reason reason;
    const auto listed = co_await fetch(reason);
    if (stopping_) co_return;
    if (listed) {
      apply_list(*listed);
    } else {
      record_failure(reason);
    }
    const Duration pause = runtime_.random().between(interval_, interval_ + interval_ / kPollJitterDivisor);
    co_await wake_.wait_until(runtime_.now() + pause);
  }
}

Awaitable<std::optional<MachineStates>> PlatformPoller::fetch(Reason& reason) {
  const TimePoint deadline = runtime_.now() + kPlatformTimeout;
  if (!connection_ || !connection_->is_open()) {
    connection_ = co_await runtime_.http().connect(platform_, deadline, reason);
  }
  if (!connection_) co_return std::nullopt;
  runtime::HttpRequest request;
  request.target = kMachinesTarget;
  runtime::SendState sent = runtime::SendState::kNotSent;
  const auto connection = connection_;
  const auto response = co_await connection->exchange(std::move(request), deadline, sent, reason);
  if (!response) co_return std::nullopt;
  if (response->status != kStatusOk) {
    reason = Reason{ReasonCode::kUnreachable, "read_machine_list", platform_.to_string(),
                    fmt::format("the platform answered with HTTP status {}", response->status)};
    co_return std::nullopt;
  }
  co_return parse_machine_list(response->body, reason);
}

void PlatformPoller::apply_list(const MachineStates& listed) {
  answering_ = true;
  const auto before = directory_.leaving();
  const auto leaving = leaving_machines(before, listed);
  if (!directory_.set_leaving(leaving)) return;
  for (const auto& name : leaving) {
    if (!before.contains(name))
      events_.record("machine_leaving", name, "reported as leaving by the platform");
  }
  for (const auto& name : before) {
    if (!leaving.contains(name))
      events_.record("machine_stays", name, "reported as live again by the platform");
  }
}

void PlatformPoller::record_failure(const Reason& reason) {
  if (answering_) {
    events_.record("platform_unreachable", platform_.to_string(),
                   "cannot read the list of machines; the last one remains in effect", reason);
  }
  answering_ = false;
}

}  // namespace cairnhollow::declared::control
