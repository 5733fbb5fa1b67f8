// The proxy's current knowledge of one domain: the routing view, the serving lease and the groups' primaries.
// Replaces the whole view when the follow stream or a backend's answer brings a change, and wakes coroutines
// that wait for one.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "declared/follow/serving_configuration.h"
#include "declared/proxy/statement/primary_watch.h"
#include "declared/routing/choice.h"
#include "declared/routing/view_builder.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::proxy {

/// Interface to the follow stream.
class FollowSource {
 public:
  virtual ~FollowSource() = default;
  [[nodiscard]] virtual std::uint64_t revision() const = 0;
  [[nodiscard]] virtual const std::map<config::ObjectKey, config::StoredObject>& objects() const = 0;
  [[nodiscard]] virtual const std::map<GroupName, follow::GroupState>& groups() const = 0;
  [[nodiscard]] virtual const std::set<std::string>& leaving() const = 0;
  [[nodiscard]] virtual bool lease_valid(TimePoint now) const = 0;
  /// Why the last control node was abandoned.
  [[nodiscard]] virtual const Reason& last_failure() const = 0;
  /// Reports the suspicion to control, which then probes the group at once.
  virtual void report_suspect(follow::SuspectPrimary suspect) = 0;
};

/// `runtime` and `source` are not owned and must outlive this object.
class ServingState {
 public:
  /// `domain` is empty if there is only one.
  ServingState(runtime::Runtime& runtime, FollowSource& source, NodeName this_proxy, DomainName domain = {});

  /// The current view; never null. A request keeps the view it started with.
  [[nodiscard]] routing::ViewPointer view() const { return view_; }
  /// Whether new work of the domain may be accepted or sent now; sets `reason` to kLeaseExpired if not.
  [[nodiscard]] bool check_lease(std::string_view step, Reason& reason) const;
  /// Applies the current content of the follow stream; `effect` describes what changed in it.
  void refresh(const follow::AnswerEffect& effect);
  /// Records a backend's report of the primary of a term, or only of the existence of a higher term (empty
  /// primary).
  void learn_group_state(const GroupName& group, std::uint64_t term, const BackendName& primary);
  /// Reports to control that a statement failed at the primary of `term`, unless a higher term is already
  /// known.
  void suspect_primary(const GroupName& group, const BackendName& backend, std::uint64_t term);
  /// Whether a primary of a higher term is known.
  [[nodiscard]] bool is_replaced(const GroupName& group, std::uint64_t term) const;
  /// Attempts that end when their primary is replaced.
  [[nodiscard]] PrimaryAttempts& primary_attempts() { return primary_attempts_; }
  /// Waits for the next change of the view. Returns false if `deadline` passes first.
  Awaitable<bool> wait_for_change(TimePoint deadline);
  /// Number of requests that wait for a change, for example for a new primary.
  [[nodiscard]] std::size_t waiting() const { return changed_.waiting(); }

  [[nodiscard]] routing::BackendOrdinals& ordinals() { return builder_.ordinals(); }

 private:
  /// Records a group's state if it is newer than the known one; returns whether it was.
  bool apply_if_newer(const follow::GroupState& state);
  /// Applies the changed group states; returns the groups whose state was newer.
  std::vector<GroupName> apply_group_states(const follow::AnswerEffect& effect);
  [[nodiscard]] routing::ViewSources sources() const;
  void replace_view(routing::ViewPointer view);

  runtime::Runtime& runtime_;
  FollowSource& source_;
  DomainName domain_;
  std::map<GroupName, follow::GroupState> groups_;  ///< the newer of the follow stream and backends' answers
  routing::ViewBuilder builder_;
  routing::ViewPointer view_;
  runtime::Signal changed_;
  PrimaryAttempts primary_attempts_;
};

}  // namespace cairnhollow::declared::proxy
