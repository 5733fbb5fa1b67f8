// Leadership of a group, and whether this proxy may use its primary: the term in force, the lease granted by
// the group's members, and whether the primary is reachable. Control's lease, which covers all groups, is in
// FleetView.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "registered/registry/model.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Time after a group closes within which its next primary is expected; statements wait for it.
inline constexpr Duration kPrimaryExpectedWithin = std::chrono::seconds(3);
/// Time for which statements go through other proxies after this proxy could not reach a leading primary.
inline constexpr Duration kRelayPeriod = std::chrono::milliseconds(1500);

/// What a new term invalidates about the previous primary.
struct TermChange {
  bool primary_changed = false;  ///< another backend, another incarnation, or another term
  bool epoch_ended = false;      ///< the previously open epoch has ended
};

/// References are not owned and must outlive this object.
class Leadership {
 public:
  /// `changed`: notified when a member lease is granted.
  Leadership(runtime::Runtime& runtime, runtime::Signal& changed) : runtime_(runtime), changed_(changed) {}

  [[nodiscard]] const registry::GroupTerm& term() const { return term_; }
  TermChange set_term(const registry::GroupTerm& term);
  /// Whether a group without a usable primary is expected to get one soon, as far as this proxy can tell.
  [[nodiscard]] bool is_primary_expected() const {
    return runtime_.now() - closed_at_ < kPrimaryExpectedWithin;
  }

  /// Records that this proxy cannot reach the open term's primary, which may still be leading.
  void mark_primary_unreachable() {
    unreachable_epoch_ = term_.epoch;
    unreachable_until_ = runtime_.now() + kRelayPeriod;
  }
  [[nodiscard]] bool is_primary_unreachable() const {
    return unreachable_epoch_ == term_.epoch && runtime_.now() < unreachable_until_;
  }

  /// Records that the group's members granted a lease for the primary of `epoch` (registry/member_lease.h).
  /// No effect if that epoch is not open any more, or `membership` is not the current one.
  void extend_member_lease(std::uint64_t epoch, std::uint64_t membership, TimePoint until);
  [[nodiscard]] bool has_member_lease() const { return runtime_.now() < member_lease_until_; }
  /// Increases with each member that joins. Control then relies on this proxy to ask the new member as well,
  /// so leases granted in answer to earlier queries are dropped.
  [[nodiscard]] std::uint64_t membership() const { return membership_; }
  void record_joined_member() {
    ++membership_;
    member_lease_until_ = TimePoint{};
  }

 private:
  runtime::Runtime& runtime_;
  runtime::Signal& changed_;
  registry::GroupTerm term_;
  TimePoint closed_at_{};
  TimePoint member_lease_until_{};
  std::uint64_t membership_ = 0;
  std::uint64_t unreachable_epoch_ = 0;
  TimePoint unreachable_until_{};
};

}  // namespace cairnhollow::registered::proxy
