// Who leads a group, and whether this proxy may use it: the term in force, the lease that the group's members
// gave, and whether the primary is in reach. Control's lease, which is for all groups, is FleetView's.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "registered/registry/model.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// So soon after the close of a group its next primary is expected, and statements wait for it. Chosen, not
/// measured.
inline constexpr Duration kPrimaryExpectedWithin = std::chrono::seconds(3);
/// After this proxy could not reach a primary that leads, statements for it go through other proxies for this
/// long. Chosen, not measured.
inline constexpr Duration kRelayPeriod = std::chrono::milliseconds(1500);

/// What was said of the primary that led before and holds no longer.
struct TermChange {
  bool other_primary = false;  ///< another one, another incarnation of it, or another term
  bool given_up = false;       ///< the open epoch is over
};

/// What is named outlives it.
class Leadership {
 public:
  /// `changed`: notified when a member lease was given.
  Leadership(runtime::Runtime& runtime, runtime::Signal& changed) : runtime_(runtime), changed_(changed) {}

  [[nodiscard]] const registry::GroupTerm& term() const { return term_; }
  TermChange set_term(const registry::GroupTerm& term);
  /// Whether a group without a usable primary will have one soon, as far as this proxy can tell.
  [[nodiscard]] bool is_changing() const { return runtime_.now() - closed_at_ < kPrimaryExpectedWithin; }

  /// This proxy does not reach the primary of the open term, which may lead all the same.
  void mark_primary_unreachable() {
    unreachable_epoch_ = term_.epoch;
    unreachable_until_ = runtime_.now() + kRelayPeriod;
  }
  [[nodiscard]] bool is_primary_unreachable() const {
    return unreachable_epoch_ == term_.epoch && runtime_.now() < unreachable_until_;
  }

  /// The group's members gave a lease for the primary of `epoch` (registry/member_lease.h). Without effect
  /// when the members asked are not those of now.
  void extend_member_lease(std::uint64_t epoch, std::uint64_t membership, TimePoint until);
  [[nodiscard]] bool has_member_lease() const { return runtime_.now() < member_lease_until_; }
  /// Grows with each member that joins. From then on control counts on this proxy to ask that one, too, so
  /// that no lease of earlier questions may be left.
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
