// What the proxy serves of one domain by now: the routing view, the serving lease and the groups' primaries.
// Swaps the view whole when the follow stream or a backend's answer brings news, and wakes those who wait for
// it.
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

/// The follow stream as the proxy sees it.
class FollowSource {
 public:
  virtual ~FollowSource() = default;
  [[nodiscard]] virtual std::uint64_t revision() const = 0;
  [[nodiscard]] virtual const std::map<config::ObjectKey, config::StoredObject>& objects() const = 0;
  [[nodiscard]] virtual const std::map<GroupName, follow::GroupState>& groups() const = 0;
  [[nodiscard]] virtual const std::set<std::string>& leaving() const = 0;
  [[nodiscard]] virtual bool lease_valid(TimePoint now) const = 0;
  /// Why the last control node was given up on.
  [[nodiscard]] virtual const Reason& last_failure() const = 0;
  /// Makes control probe the group at once.
  virtual void report_suspect(follow::SuspectPrimary suspect) = 0;
};

/// `runtime` and `source` outlive it.
class ServingState {
 public:
  /// `domain` is empty where there is only one.
  ServingState(runtime::Runtime& runtime, FollowSource& source, NodeName this_proxy, DomainName domain = {});

  /// The view in force; never null. A request keeps the one it started with.
  [[nodiscard]] routing::ViewPointer view() const { return view_; }
  /// Whether new work of the domain may be taken or sent now; kLeaseExpired when not.
  [[nodiscard]] bool check_lease(std::string_view step, Reason& reason) const;
  /// Takes in what the follow stream holds now; `effect` says what changed there.
  void refresh(const follow::AnswerEffect& effect);
  /// A backend said who the primary of a term is, or only that a higher term exists (empty primary).
  void learn_group_state(const GroupName& group, std::uint64_t term, const BackendName& primary);
  /// A statement failed at the primary of `term`: control is told, unless the view already moved on.
  void suspect_primary(const GroupName& group, const BackendName& backend, std::uint64_t term);
  /// Whether a primary of a higher term is known.
  [[nodiscard]] bool is_replaced(const GroupName& group, std::uint64_t term) const;
  /// Attempts that end when their primary is replaced.
  [[nodiscard]] PrimaryAttempts& primary_attempts() { return primary_attempts_; }
  /// Waits for the next change of the view; false when `deadline` has passed first.
  Awaitable<bool> wait_for_change(TimePoint deadline);
  /// Requests waiting for a change, e.g. for a new primary.
  [[nodiscard]] std::size_t waiting() const { return changed_.waiting(); }

  [[nodiscard]] routing::BackendOrdinals& ordinals() { return builder_.ordinals(); }

 private:
  /// Takes in what is known of a group; false when it is not new.
  bool take_newer(const follow::GroupState& state);
  /// The groups whose state was taken in as news.
  std::vector<GroupName> take_states(const follow::AnswerEffect& effect);
  [[nodiscard]] routing::ViewSources sources() const;
  void swap(routing::ViewPointer view);

  runtime::Runtime& runtime_;
  FollowSource& source_;
  DomainName domain_;
  std::map<GroupName, follow::GroupState> groups_;  ///< the newest of follow stream and backends' answers
  routing::ViewBuilder builder_;
  routing::ViewPointer view_;
  runtime::Signal changed_;
  PrimaryAttempts primary_attempts_;
};

}  // namespace cairnhollow::declared::proxy
