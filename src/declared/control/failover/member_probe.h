// Probes one member of a database group on a dedicated connection, so that a server whose statement
// connections are full or slow is not considered dead.
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
  Duration interval{0};  ///< between the starts of two consecutive probes
  Duration timeout{0};   ///< of one probe, including opening the connection
};

/// Its coroutine keeps it alive until stop(). `runtime` and `connector` must outlive this object.
class MemberProbe : public std::enable_shared_from_this<MemberProbe> {
 public:
  /// `on_result` is called after each probe until stop().
  MemberProbe(runtime::Runtime& runtime, backend::BackendConnector& connector, MemberProbeSettings settings,
              GroupMember member, std::function<void()> on_result);

  void start();
  void stop();
  /// Applies a changed member definition. If the endpoint changed, earlier results are discarded and the new
  /// endpoint is probed immediately.
  void update(GroupMember member);
  void set_interval(Duration interval) { settings_.interval = interval; }
  /// Probes immediately, then every kUrgentProbeInterval until `until`.
  void probe_urgently(TimePoint until);
  /// Discards earlier results because they are too old or precede a change of primary.
  void discard_results();

  [[nodiscard]] MemberObservation observe() const;
  [[nodiscard]] const GroupMember& member() const { return member_; }
  /// Why the most recent probe failed; kNone if it was answered or there was none.
  [[nodiscard]] const Reason& last_problem() const { return last_problem_; }

 private:
  Awaitable<void> run(std::shared_ptr<MemberProbe> self);
  Awaitable<std::optional<backend::BackendStatus>> probe(Reason& reason);
  void record_result(std::optional<backend::BackendStatus> status, Reason reason);
  [[nodiscard]] bool is_expected(const backend::BackendStatus& status, Reason& reason) const;
  [[nodiscard]] TimePoint next_probe(TimePoint started_at) const;

  runtime::Runtime& runtime_;
  backend::BackendConnector& connector_;
  MemberProbeSettings settings_;
  GroupMember member_;
  std::function<void()> on_result_;
  runtime::Signal wake_;
  std::shared_ptr<backend::BackendConnection> connection_;
  std::optional<backend::BackendStatus> status_;
  bool answering_ = false;
  TimePoint silent_since_{};  ///< time of the last answer, or when probing started
  std::uint32_t failures_in_a_row_ = 0;
  Reason last_problem_;
  TimePoint urgent_until_{};
  bool probe_now_ = false;
  /// Incremented to ignore the results of probes started before discard_results() or update().
  std::uint64_t generation_ = 0;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::control
