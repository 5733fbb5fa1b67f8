// Forwards statements to the proxies that serve their groups, multiplexed on one connection per proxy. There
// is only one hop: a proxy that receives a forwarded statement runs or refuses it.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registered/locality/region_map.h"
#include "registered/proxy/forwarding/forward_messages.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "subset/subset.h"
#include "wire/hello.h"

namespace cairnhollow::registered::proxy {

/// Longest wait of a statement for a connection to one proxy before the next proxy is tried. The dial itself
/// continues in the background for up to kForwardDialTimeout.
/// 25 round trips between zones (2 ms), and two between regions.
inline constexpr Duration kForwardConnectWait = std::chrono::milliseconds(50);
/// The same for a proxy of another region: twice the longest round trip between regions, 80 ms.
inline constexpr Duration kForwardConnectWaitAcrossRegions = std::chrono::milliseconds(160);
inline constexpr Duration kForwardDialTimeout = std::chrono::milliseconds(400);
/// Initial and maximum pause of the exponential backoff between dials of an unreachable proxy. Dialling stops
/// when no statement was to be sent there within kForwardRedialWindow.
inline constexpr Duration kForwardRedialBackoff = std::chrono::milliseconds(100);
inline constexpr Duration kForwardRedialMaxBackoff = std::chrono::milliseconds(800);
inline constexpr Duration kForwardRedialWindow = std::chrono::seconds(10);
/// Liveness check of a connection with unanswered calls: after kForwardProbeAfter without a frame a probe is
/// sent, which the other proxy answers immediately, and after kForwardProbeTimeout without an answer the
/// connection is closed. kForwardProbeTimeout must exceed 100 ms, for which CPU throttling can stop a healthy
/// process. kForwardWatchInterval is the shortest interval between two checks.
inline constexpr Duration kForwardProbeAfter = std::chrono::milliseconds(80);
inline constexpr Duration kForwardProbeTimeout = std::chrono::milliseconds(170);
inline constexpr Duration kForwardWatchInterval = std::chrono::milliseconds(20);
/// A proxy that could not serve a group is avoided for this long if another one can serve it.
inline constexpr Duration kAvoidProxyFor = std::chrono::seconds(1);

/// A connection to another proxy, shared by all statements forwarded to it.
class ForwardConnection {
 public:
  /// `carries_versions`: the other proxy reads the document version of a statement.
  ForwardConnection(runtime::Runtime& runtime, std::shared_ptr<runtime::FrameConnection> frames,
                    bool carries_versions)
      : runtime_(runtime),
        frames_(std::move(frames)),
        carries_versions_(carries_versions),
        frame_queued_(runtime),
        call_added_(runtime) {}

  /// Returns std::nullopt if no answer arrived by `deadline` or the connection was lost. The other proxy may
  /// have run the request in that case.
  Awaitable<std::optional<ForwardAnswer>> call(ForwardRequest request, TimePoint deadline, Reason& reason);
  /// Read and write until the connection closes. `self` keeps this object alive meanwhile.
  Awaitable<void> read(std::shared_ptr<ForwardConnection> self);
  Awaitable<void> write(std::shared_ptr<ForwardConnection> self);
  /// Closes the connection if calls are pending and the other proxy has neither sent anything nor answered a
  /// liveness probe, since it is then stopped, unreachable or frozen. The pending calls fail.
  Awaitable<void> watch(std::shared_ptr<ForwardConnection> self);
  void close();
  [[nodiscard]] bool is_open() const { return open_; }
  [[nodiscard]] bool carries_versions() const { return carries_versions_; }

 private:
  void send_probe();

  /// Ends the transaction opened by an answer for which no call waits any more.
  void end_orphaned_transaction(const ForwardAnswer& answer);

  struct Pending {
    explicit Pending(runtime::Runtime& runtime) : answered(runtime) {}
    runtime::Signal answered;
    std::optional<ForwardAnswer> answer;
  };

  runtime::Runtime& runtime_;
  std::shared_ptr<runtime::FrameConnection> frames_;
  bool carries_versions_;
  runtime::Signal frame_queued_;
  runtime::Signal call_added_;
  std::vector<std::string> outgoing_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
  std::uint64_t next_correlation_ = 1;
  TimePoint last_received_at_{};            ///< last frame received, or first call after an idle period
  std::optional<TimePoint> probe_sent_at_;  ///< when the unanswered liveness probe was sent
  bool open_ = true;
};

/// Connection state of another proxy.
struct ForwardPeer {
  ForwardPeer(runtime::Runtime& runtime, NodeName name) : name(std::move(name)), dialled(runtime) {}

  NodeName name;
  Endpoint endpoint;
  std::shared_ptr<ForwardConnection> connection;
  /// It closed the last connection that was to carry versions: it is of an earlier build.
  bool refuses_versions = false;
  /// It could not be reached or did not answer, and has answered no liveness probe since.
  bool is_unreachable = false;
  TimePoint unreachable_since{};
  bool is_dialling = false;
  TimePoint dialling_since{};
  TimePoint last_requested_at{};  ///< when a connection was last requested
  Reason last_reason;
  runtime::Signal dialled;  ///< notified after each dial

  [[nodiscard]] bool is_open() const { return connection && connection->is_open(); }
};

/// Connects to other proxies on demand. `runtime` is not owned; both live until the process ends.
///
/// Invariant: a statement waits at most connect_wait() for the dial of one proxy, however many proxies
/// are unreachable. Unreachable proxies are redialled in the background and used again once they answer a
/// probe.
class Forwarder {
 public:
  Forwarder(runtime::Runtime& runtime, NodeName node, ZoneName zone, locality::RegionMap regions = {},
            wire::Conversation conversation = wire::Conversation::kForwarding)
      : runtime_(runtime),
        node_(std::move(node)),
        zone_(std::move(zone)),
        regions_(std::move(regions)),
        conversation_(conversation) {}

  /// Returns an open connection to the proxy, or nullptr with `reason` set if there is none by `deadline` or
  /// within connect_wait(), or if the proxy is already known to be unreachable.
  Awaitable<std::shared_ptr<ForwardConnection>> connect(subset::ProxyPointer proxy, TimePoint deadline,
                                                        Reason& reason);
  /// Called when a statement of the group was not answered. Other proxies are preferred for the group for
  /// kAvoidProxyFor and, if the connection is lost, for all groups until the proxy answers a liveness probe.
  void record_no_answer(const NodeName& proxy, const GroupName& group);
  /// Called when the proxy can't serve the group now. Other proxies are preferred for kAvoidProxyFor.
  void avoid(const NodeName& proxy, const GroupName& group);
  /// Whether the last attempt to reach the proxy failed and it has not been reached since.
  [[nodiscard]] bool is_unreachable(const NodeName& proxy) const;
  [[nodiscard]] bool is_avoided(const NodeName& proxy, const GroupName& group) const;

 private:
  using PeerPointer = std::shared_ptr<ForwardPeer>;

  [[nodiscard]] Duration connect_wait(const subset::ProxyView& proxy) const {
    return regions_.are_apart(zone_, proxy.zone) ? kForwardConnectWaitAcrossRegions : kForwardConnectWait;
  }
  void mark_unreachable(ForwardPeer& peer);
  void record_reached(ForwardPeer& peer);
  void start_dialling(const PeerPointer& peer);
  /// Dials until the peer is reached or no connection to it was requested within kForwardRedialWindow. In
  /// both cases it no longer counts as unreachable, so the next statement tries it.
  Awaitable<void> dial(PeerPointer peer);
  Awaitable<std::shared_ptr<ForwardConnection>> open(PeerPointer peer);
  /// Whether the other proxy answers a liveness probe.
  Awaitable<bool> answers_probe(std::shared_ptr<ForwardConnection> connection, Reason& reason);

  runtime::Runtime& runtime_;
  NodeName node_;
  ZoneName zone_;
  locality::RegionMap regions_;
  wire::Conversation conversation_;
  std::map<NodeName, PeerPointer> peers_;
  std::map<std::pair<NodeName, GroupName>, TimePoint> avoided_until_;
};

}  // namespace cairnhollow::registered::proxy
