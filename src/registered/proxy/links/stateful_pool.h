// Links to one backend. A link keeps the values and prepared statements that were put on it; whoever takes it
// is given one that fits, or applies the state to it. The backend is told a link's tenant when it is opened,
// so a link serves no other tenant, ever.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "registered/protocol/backend_link.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Longest wait for a new connection to a backend. Chosen, not measured.
inline constexpr Duration kDialTimeout = std::chrono::milliseconds(350);
/// Longest wait for a link's own exchanges: values, prepared statements, begin. Chosen, not measured.
inline constexpr Duration kLinkSetupTimeout = std::chrono::milliseconds(400);
/// Prepared statements on one link; beyond that the link is reset. Chosen, not measured.
inline constexpr std::size_t kMaxPreparedOnLink = 128;
/// An idle link beyond the first is closed after this time: after a common loss of power the backends hold
/// the connections of before for a while (3 s), and the fewer there were, the more new ones they take.
/// Shorter serves no better since others are asked where a primary is full, and costs handshakes
/// (docs/WORTH.md).
inline constexpr Duration kIdleLinkLife = std::chrono::seconds(2);
/// After a backend refused one more connection none is opened for this long. Chosen, not measured.
inline constexpr Duration kFullPause = std::chrono::milliseconds(150);

using SessionValues = std::map<std::string, std::string>;

/// What a prepared statement is, whatever its name.
struct PreparedShape {
  bool writes = false;
  std::string shape;
  auto operator<=>(const PreparedShape&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(writes, shape);
  }
};

/// One link and what is known to be on it.
class StatefulLink {
 public:
  StatefulLink(std::shared_ptr<BackendLink> link, TenantName tenant)
      : link_(std::move(link)), tenant_(std::move(tenant)) {}

  /// Makes the link's values equal to `values`, and puts `prepared` on it where it is not null. False: the
  /// link can't be used any more.
  Awaitable<bool> apply_session_state(SessionValues values, std::optional<PreparedShape> prepared,
                                      TimePoint deadline, Reason& reason);
  /// The name of a prepared statement on this link; empty when it is not there.
  [[nodiscard]] std::string prepared_name(const PreparedShape& shape) const;
  /// The backend does not know a statement that should be there.
  void forget_prepared() { prepared_.clear(); }
  [[nodiscard]] const SessionValues& values() const { return values_; }
  BackendLink& link() { return *link_; }
  [[nodiscard]] const TenantName& tenant() const { return tenant_; }
  /// Whether a transaction is open on it, as far as its answers told.
  [[nodiscard]] bool has_open_transaction() const { return transaction_open_; }
  void record_state(TransactionState state) { transaction_open_ = state != TransactionState::kIdle; }
  void set_idle_since(TimePoint now) { idle_since_ = now; }
  void set_taken_at(TimePoint now) { taken_at_ = now; }
  [[nodiscard]] TimePoint taken_at() const { return taken_at_; }
  [[nodiscard]] TimePoint idle_since() const { return idle_since_; }
  std::shared_ptr<BackendLink> shared_link() { return link_; }

 private:
  Awaitable<bool> run_setup(BackendRequest request, TimePoint deadline, Reason& reason);

  std::shared_ptr<BackendLink> link_;
  TenantName tenant_;
  SessionValues values_;
  std::map<PreparedShape, std::string> prepared_;
  std::uint64_t next_name_ = 1;
  TimePoint idle_since_{};
  TimePoint taken_at_{};
  bool transaction_open_ = false;
};

/// Whose link is wanted, and what had best be on it.
struct LinkRequest {
  TenantName tenant;
  SessionValues values;
  bool any_tenant = false;  ///< for questions of the proxy's own, which run on behalf of nobody
};

/// How long a link is waited for.
struct LinkDeadlines {
  TimePoint free;  ///< while all links are in use
  TimePoint open;  ///< for a new one, which takes a handshake
};

/// Lives until the process ends. `runtime` and `dialer` outlive it.
class StatefulPool {
 public:
  StatefulPool(runtime::Runtime& runtime, BackendDialer& dialer, BackendAddress address)
      : runtime_(runtime), dialer_(dialer), address_(std::move(address)), returned_(runtime) {}

  /// Idle links beyond a lower limit close at once: whoever has a right to them now may open its own.
  void set_limit(std::uint64_t limit);
  [[nodiscard]] std::uint64_t limit() const { return limit_; }
  /// Links that are idle for longer are closed by trim().
  void set_idle_life(Duration life) { idle_life_ = life; }
  /// An idle link, best one with these values, or a new one; waits while the limit is reached by links in
  /// use. Where idle links of other tenants reach it, the one unused for longest is closed. Null on failure;
  /// `refusal` is set when the backend itself refused a new one.
  Awaitable<std::shared_ptr<StatefulLink>> acquire(LinkRequest wish, LinkDeadlines deadlines,
                                                   std::optional<Refusal>& refusal, Reason& reason);
  /// Gives a link back that has no transaction open and owes no answer; a closed one is dropped.
  void release(std::shared_ptr<StatefulLink> link);
  void close_idle();
  /// The backend's incarnation is over: no link is given any more, and those in use close when they are given
  /// back.
  void retire();
  /// Whether an idle link ended by itself since this was asked last.
  bool take_lost_idle() { return std::exchange(lost_idle_, false); }
  /// Closes links that have been idle for too long, but `kept` of them.
  void trim(TimePoint now, std::size_t kept);
  [[nodiscard]] std::size_t in_use() const { return in_use_; }
  /// Whether there is no link at all.
  [[nodiscard]] bool has_no_link() const { return in_use_ == 0 && idle_.empty(); }
  /// Whether there is no link and the backend refused to take one a moment ago.
  [[nodiscard]] bool is_refused() const { return has_no_link() && runtime_.now() < full_until_; }
  [[nodiscard]] const BackendAddress& address() const { return address_; }

 private:
  std::shared_ptr<StatefulLink> take_idle(const LinkRequest& wish);
  void drop_closed();
  /// The backend refused one more connection.
  void mark_full();
  /// Logs at level debug that a link is given back and whether it was new when it was taken.
  void log_use(const StatefulLink& link) const;
  /// Closes the idle link that was unused for longest when there are as many links as there may be, or as
  /// the backend takes.
  void make_room();
  /// Whether one more connection may be tried now: at a full backend only in the place of an idle one.
  [[nodiscard]] bool may_dial() const {
    return in_use_ < limit_ && (runtime_.now() >= full_until_ || !idle_.empty());
  }

  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  BackendAddress address_;
  runtime::Signal returned_;
  std::vector<std::shared_ptr<StatefulLink>> idle_;  ///< longest idle first
  std::uint64_t limit_ = 2;
  Duration idle_life_ = kIdleLinkLife;
  TimePoint full_until_{};  ///< the backend refused one more connection
  std::size_t in_use_ = 0;
  bool retired_ = false;
  bool lost_idle_ = false;
};

}  // namespace cairnhollow::registered::proxy
