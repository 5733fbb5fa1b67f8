// Pool of links to one backend. A link keeps the values and prepared statements that were applied to it; a
// caller gets a link that matches, or applies the state to it. The backend is told a link's tenant when the
// link is opened, so a link never serves another tenant.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "registered/protocol/backend_link.h"
#include "registered/scheduling/link_room.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::proxy {

/// Timeout for opening a connection to a backend.
inline constexpr Duration kDialTimeout = std::chrono::milliseconds(350);
/// Timeout for the setup exchanges on a link: values, prepared statements, begin.
inline constexpr Duration kLinkSetupTimeout = std::chrono::milliseconds(400);
/// Prepared statements on one link; a link that reaches this number is reset.
inline constexpr std::size_t kMaxPreparedOnLink = 128;
/// Idle timeout of links beyond the first. After a power loss that hits many proxies, backends hold the
/// previous connections for some 3 s, and accept more new ones the fewer there were. A shorter timeout
/// costs handshakes.
inline constexpr Duration kIdleLinkTimeout = std::chrono::seconds(2);
/// Time after a backend refused a connection at its limit in which a new one may only replace an idle one.
inline constexpr Duration kDialPause = std::chrono::milliseconds(150);

using SessionValues = std::map<std::string, std::string>;

/// Identifies a prepared statement independently of its name.
struct PreparedShape {
  bool writes = false;
  std::string shape;
  auto operator<=>(const PreparedShape&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(writes, shape);
  }
};

/// One link and the state known to be applied to it.
class StatefulLink {
 public:
  StatefulLink(std::shared_ptr<BackendLink> link, TenantName tenant)
      : link_(std::move(link)), tenant_(std::move(tenant)) {}

  /// Makes the link's values equal to `values`, and prepares `prepared` if set. Returns false if the link
  /// cannot be used any more.
  Awaitable<bool> apply_session_state(SessionValues values, std::optional<PreparedShape> prepared,
                                      TimePoint deadline, Reason& reason);
  /// Whether apply_session_state() would send anything.
  [[nodiscard]] bool needs_setup(const SessionValues& values,
                                 const std::optional<PreparedShape>& prepared) const;
  /// Returns the name of a prepared statement on this link; empty if it is not prepared.
  [[nodiscard]] std::string prepared_name(const PreparedShape& shape) const;
  /// To be called when the backend does not know a statement that was prepared on this link.
  void forget_prepared() { prepared_.clear(); }
  [[nodiscard]] const SessionValues& values() const { return values_; }
  BackendLink& link() { return *link_; }
  [[nodiscard]] const TenantName& tenant() const { return tenant_; }
  /// Whether a transaction is open on it, according to the backend's answers.
  [[nodiscard]] bool has_open_transaction() const { return transaction_open_; }
  void record_state(TransactionState state) { transaction_open_ = state != TransactionState::kIdle; }
  void set_idle_since(TimePoint now) { idle_since_ = now; }
  void set_taken_at(TimePoint now) { taken_at_ = now; }
  [[nodiscard]] TimePoint taken_at() const { return taken_at_; }
  [[nodiscard]] TimePoint idle_since() const { return idle_since_; }
  std::shared_ptr<BackendLink> shared_link() { return link_; }

 private:
  /// Whether its values or prepared statements have to be discarded before `values` can be set.
  [[nodiscard]] bool needs_reset(const SessionValues& values) const;
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

/// Tenant of the requested link, and the values that it should preferably have.
struct LinkRequest {
  TenantName tenant;
  SessionValues values;
  bool any_tenant = false;  ///< for the proxy's own queries, which run on behalf of no tenant
};

/// Deadlines of the wait for a link.
struct LinkDeadlines {
  TimePoint free;  ///< for a link in use to be released
  TimePoint open;  ///< for a new one, which needs a handshake
};

/// Must live until the process ends. `runtime` and `dialer` are not owned and must outlive this object.
class StatefulPool : public scheduling::LinkRoom {
 public:
  StatefulPool(runtime::Runtime& runtime, BackendDialer& dialer, BackendAddress address)
      : runtime_(runtime), dialer_(dialer), address_(std::move(address)), released_(runtime) {}

  /// Idle links beyond a lower limit are closed at once, so that the proxies now entitled to them can open
  /// theirs.
  void set_limit(std::uint64_t limit) { set_limits(limit, limit); }
  /// `kept`: links in use and idle, beyond which an idle link makes room for a new one and a released link is
  /// closed. `limit`: links in use.
  void set_limits(std::uint64_t kept, std::uint64_t limit);
  [[nodiscard]] std::uint64_t limit() const { return limit_; }
  [[nodiscard]] std::uint64_t kept_limit() const { return kept_limit_; }
  /// Sets the idle time after which trim() closes links.
  void set_idle_timeout(Duration timeout) { idle_timeout_ = timeout; }
  /// Sets a longer idle time that applies while the pool has at most `links` links, idle or in use.
  void set_lasting(std::uint64_t links, Duration timeout) {
    lasting_links_ = links;
    lasting_timeout_ = timeout;
  }
  /// Returns an idle link, preferably one with these values, or a new one; waits while links in use reach the
  /// limit. If idle links of other tenants reach it, the least recently used one is closed. Returns null on
  /// failure; `refusal` is set if the backend itself refused a new link.
  Awaitable<std::shared_ptr<StatefulLink>> acquire(LinkRequest link_request, LinkDeadlines deadlines,
                                                   std::optional<Refusal>& refusal, Reason& reason);
  /// Returns a link to the pool. It must have no open transaction and no pending answer. A closed link is
  /// dropped.
  void release(std::shared_ptr<StatefulLink> link);
  void close_idle();
  /// To be called when the backend's incarnation has ended: no more links are handed out, and those in use
  /// are closed when they are released.
  void retire();
  /// Whether an idle link was closed by the peer or failed since the last call.
  bool take_lost_idle() { return std::exchange(idle_link_lost_, false); }
  /// Closes links that exceed the idle timeout, longest idle first, until `kept` idle links remain.
  void trim(TimePoint now, std::size_t kept);
  [[nodiscard]] std::size_t in_use() const { return in_use_; }
  [[nodiscard]] bool has_no_link() const { return in_use_ == 0 && idle_.empty(); }
  /// Whether there is no link and the backend recently refused a connection.
  [[nodiscard]] bool is_refused() const { return has_no_link() && runtime_.now() < dial_paused_until_; }
  [[nodiscard]] const BackendAddress& address() const { return address_; }
  [[nodiscard]] bool has_idle(const TenantName& tenant) const override;
  /// Also true where acquire() fails at once, so that a statement learns so without a wait.
  [[nodiscard]] bool may_open() const override { return retired_ || is_refused() || may_dial(); }
  [[nodiscard]] TimePoint next_opening() const override;
  [[nodiscard]] bool is_retired() const override { return retired_; }
  /// Sets a function that is called whenever a link was released or another one may be opened.
  void set_room_listener(std::function<void()> listener) { room_listener_ = std::move(listener); }

 private:
  std::shared_ptr<StatefulLink> take_idle(const LinkRequest& link_request);
  void drop_closed();
  /// Called when the backend refused a connection at its limit. For kDialPause, may_dial() then permits a
  /// connection only in exchange for an idle one.
  void pause_dialling();
  /// Notifies those who wait for a link that there is room.
  void announce_room();
  /// Logs at debug level that a link was released and whether it was newly opened.
  void log_release(const StatefulLink& link) const;
  /// Closes the least recently used idle link if the limit on links is reached, or the backend accepts no
  /// more.
  void evict_idle_link();
  /// Whether a connection may be opened now; at a full backend only in exchange for an idle one.
  [[nodiscard]] bool may_dial() const {
    return in_use_ < limit_ && (runtime_.now() >= dial_paused_until_ || !idle_.empty());
  }

  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  BackendAddress address_;
  runtime::Signal released_;
  std::function<void()> room_listener_;              ///< may be empty
  std::vector<std::shared_ptr<StatefulLink>> idle_;  ///< longest idle first
  std::uint64_t kept_limit_ = 2;
  std::uint64_t limit_ = 2;
  Duration idle_timeout_ = kIdleLinkTimeout;
  std::uint64_t lasting_links_ = 0;  ///< up to this number of links, `lasting_timeout_` applies
  Duration lasting_timeout_ = kIdleLinkTimeout;
  TimePoint dial_paused_until_{};  ///< end of kDialPause after a refused connection
  std::size_t in_use_ = 0;
  bool retired_ = false;
  bool idle_link_lost_ = false;
};

}  // namespace cairnhollow::registered::proxy
