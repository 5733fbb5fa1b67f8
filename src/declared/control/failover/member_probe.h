// Probes one member of a database group over a connection of its own, apart from the statements', so that a
// full or slow server is not taken for a dead one.
#pragma once

#include <functional>
#include <memory>

#include "declared/backend/backend_connection.h"
#include "declared/control/failover/failover_rules.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::control {

struct MemberProbeSettings {
  GroupName group;
  Duration interval{0};  ///< between the beginnings of two probes
  Duration timeout{0};   ///< of one probe, opening the connection included
};

/// Lives as long as its own coroutine; `runtime` and `connector` outlive it.
class MemberProbe : public std::enable_shared_from_this<MemberProbe> {
 public:
  /// `on_result` is called after each probe, until stop().
  MemberProbe(runtime::Runtime& runtime, backend::BackendConnector& connector, MemberProbeSettings settings,
              GroupMember member, std::function<void()> on_result);

  void start();
  void stop();
  /// Takes over what an operator changed; another endpoint is probed anew.
  void update(GroupMember member);
  void set_interval(Duration interval) { settings_.interval = interval; }
  /// Probes at once and at kUrgentProbeInterval until `until`.
  void hurry(TimePoint until);
  /// Forgets what was seen, which is too old or from before a change of primary.
  void forget();

  [[nodiscard]] MemberObservation observe() const;
  [[nodiscard]] const GroupMember& member() const { return member_; }
  /// Why the last probe that failed did so; kNone when none did since the last one that was answered.
  [[nodiscard]] const Reason& last_problem() const { return last_problem_; }

 private:
  Awaitable<void> run(std::shared_ptr<MemberProbe> self);
  Awaitable<std::optional<backend::BackendStatus>> probe(Reason& reason);
  void take_result(std::optional<backend::BackendStatus> status, Reason reason);
  [[nodiscard]] bool is_expected(const backend::BackendStatus& status, Reason& reason) const;
  [[nodiscard]] TimePoint next_probe(TimePoint begun) const;

  runtime::Runtime& runtime_;
  backend::BackendConnector& connector_;
  MemberProbeSettings settings_;
  GroupMember member_;
  std::function<void()> on_result_;
  runtime::Signal wake_;
  std::shared_ptr<backend::BackendConnection> connection_;
  std::optional<backend::BackendStatus> status_;
  bool answering_ = false;
  TimePoint silent_since_{};  ///< of the last answer, or when the probes began
  std::uint32_t failures_in_a_row_ = 0;
  Reason last_problem_;
  TimePoint urgent_until_{};
  bool probe_now_ = false;
  std::uint64_t generation_ = 0;  ///< a probe begun before forget() or update() tells nothing
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
