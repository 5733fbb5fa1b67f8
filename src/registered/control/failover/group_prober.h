// Asks the backends of a group what they are, over links that are kept.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registered/control/failover/promotion_choice.h"
#include "registered/protocol/backend_link.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

/// Longest wait for a backend's status. Chosen, not measured.
inline constexpr Duration kStatusTimeout = std::chrono::milliseconds(300);

/// The objects that it is given outlive it; it lives until the process ends.
class GroupProber {
 public:
  GroupProber(runtime::Runtime& runtime, BackendDialer& dialer) : runtime_(runtime), dialer_(dialer) {}

  /// Empty when it does not answer by `deadline`.
  Awaitable<std::optional<BackendStatus>> ask(registry::BackendEntry entry, TimePoint deadline,
                                              Reason& reason);
  /// As ask(), after telling it to step down from any term below `term`.
  Awaitable<std::optional<BackendStatus>> demote(registry::BackendEntry entry, std::uint64_t term,
                                                 TimePoint deadline, Reason& reason);
  /// As ask(), after keeping it from receiving under `term`, or letting it receive again.
  Awaitable<std::optional<BackendStatus>> pause(registry::BackendEntry entry, std::uint64_t term,
                                                TimePoint deadline, Reason& reason);
  Awaitable<std::optional<BackendStatus>> resume(registry::BackendEntry entry, TimePoint deadline,
                                                 Reason& reason);
  /// Whether a backend of another name answers at the entry's address. False when nobody answers clearly.
  Awaitable<bool> is_another(registry::BackendEntry entry, TimePoint deadline);
  /// All at once; returns when all have answered or the time is over, or `enough` says that what came will
  /// do.
  using Enough = std::function<bool(const std::vector<MemberFinding>&)>;
  Awaitable<std::vector<MemberFinding>> ask_all(std::vector<MemberFinding> members, Enough enough = nullptr);
  Awaitable<std::vector<MemberFinding>> ask_all(std::vector<registry::BackendEntry> entries);
  /// Closes the connection that is kept for the next question, if there is one.
  void close_idle(const BackendName& backend);

 private:
  struct Survey;
  Awaitable<std::optional<BackendStatus>> run(registry::BackendEntry entry, BackendRequest request,
                                              TimePoint deadline, Reason& reason);
  Awaitable<void> ask_one(std::shared_ptr<Survey> survey, std::size_t place);

  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  struct IdleLink {
    registry::BackendIncarnation to;
    std::shared_ptr<BackendLink> link;
  };
  /// An idle link to this incarnation of the backend; null: there is none. One to another incarnation is
  /// closed.
  std::shared_ptr<BackendLink> take_idle(const registry::BackendEntry& entry);
  std::map<BackendName, IdleLink> idle_;
};

}  // namespace cairnhollow::registered::control
