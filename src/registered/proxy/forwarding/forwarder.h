// Carries statements to a proxy that serves their group: one connection to each, many statements on it. There
// is one hop only: who gets a forwarded statement runs it or refuses it.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registered/proxy/forwarding/forward_messages.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "subset/subset.h"
#include "wire/hello.h"

namespace cairnhollow::registered::proxy {

/// A statement waits this long for a connection to another proxy before the next one is asked: 25 round trips
/// between zones (2 ms on the deployments), two between regions. The dial itself goes on for the limit.
inline constexpr Duration kForwardDialPatience = std::chrono::milliseconds(50);
inline constexpr Duration kForwardDialLimit = std::chrono::milliseconds(400);
/// Pause before a proxy out of reach is dialled again, first and at most; it doubles in between. It is
/// dialled as long as a statement was to be sent there within the interest.
inline constexpr Duration kForwardRedialPause = std::chrono::milliseconds(100);
inline constexpr Duration kForwardRedialLimit = std::chrono::milliseconds(800);
inline constexpr Duration kForwardInterest = std::chrono::seconds(10);
/// A proxy that answers nothing for this long while it is waited for is asked for a sign of life, which it
/// gives before all else; without one it is given up. A process whose share of a core is spent stands still
/// for up to 100 ms, and is not to be given up for that. Looked at no more often than the pause.
inline constexpr Duration kForwardSilence = std::chrono::milliseconds(80);
inline constexpr Duration kForwardAnswerLimit = std::chrono::milliseconds(170);
inline constexpr Duration kForwardWatchPause = std::chrono::milliseconds(20);
/// A proxy that could not serve a group is not sent its statements for this long, where another can.
inline constexpr Duration kAvoidProxy = std::chrono::seconds(1);

/// One connection to another proxy, shared by the statements that are forwarded over it.
class ForwardConnection {
 public:
  ForwardConnection(runtime::Runtime& runtime, std::shared_ptr<runtime::FrameConnection> frames)
      : runtime_(runtime), frames_(std::move(frames)), queued_(runtime), called_(runtime) {}

  /// Empty when no answer came by `deadline`; then the other side may have run it.
  Awaitable<std::optional<ForwardAnswer>> call(ForwardRequest request, TimePoint deadline, Reason& reason);
  /// Reads and writes until the connection ends; `self` keeps this object alive meanwhile.
  Awaitable<void> read(std::shared_ptr<ForwardConnection> self);
  Awaitable<void> write(std::shared_ptr<ForwardConnection> self);
  /// Ends the connection when calls wait and the other side is silent, also to a question that it answers at
  /// once: it is dead, cut off or frozen, and what waits for it is told so.
  Awaitable<void> watch(std::shared_ptr<ForwardConnection> self);
  void close();
  [[nodiscard]] bool is_open() const { return open_; }

 private:
  void ask_for_life();

  /// An answer came too late: the transaction that it opened is nobody's.
  void end_unwanted(const ForwardAnswer& answer);

  struct Pending {
    explicit Pending(runtime::Runtime& runtime) : answered(runtime) {}
    runtime::Signal answered;
    std::optional<ForwardAnswer> answer;
  };

  runtime::Runtime& runtime_;
  std::shared_ptr<runtime::FrameConnection> frames_;
  runtime::Signal queued_;
  runtime::Signal called_;
  std::vector<std::string> outgoing_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
  std::uint64_t next_correlation_ = 1;
  TimePoint heard_at_{};               ///< when the other side last sent something
  std::optional<TimePoint> asked_at_;  ///< since when a sign of life is waited for
  bool open_ = true;
};

/// Another proxy as this one reaches it.
struct ForwardPeer {
  ForwardPeer(runtime::Runtime& runtime, NodeName name) : name(std::move(name)), dialled(runtime) {}

  NodeName name;
  Endpoint endpoint;
  std::shared_ptr<ForwardConnection> connection;
  /// It could not be reached, or gave no answer, and no sign of life has come since.
  bool is_unreachable = false;
  TimePoint unreachable_since{};
  bool is_dialling = false;
  TimePoint dialling_since{};
  TimePoint wanted_at{};  ///< when a statement was last to be sent there
  Reason last_reason;
  runtime::Signal dialled;  ///< notified after each dial

  [[nodiscard]] bool is_open() const { return connection && connection->is_open(); }
};

/// Lives until the process ends, as `runtime` does.
///
/// Invariant: a statement waits for a dial to one proxy for kForwardDialPatience at most, however many
/// proxies are out of reach; those are dialled again in the background, and used again after a sign of life.
class Forwarder {
 public:
  Forwarder(runtime::Runtime& runtime, NodeName node, ZoneName zone)
      : runtime_(runtime), node_(std::move(node)), zone_(std::move(zone)) {}

  /// An open connection to the proxy; null when it can't be had by `deadline`, or is not to be had soon.
  Awaitable<std::shared_ptr<ForwardConnection>> connect(subset::ProxyPointer proxy, TimePoint deadline,
                                                        Reason& reason);
  /// A statement of the group had no answer: others are tried first until the proxy shows life.
  void record_no_answer(const NodeName& proxy, const GroupName& group);
  /// The proxy can't serve the group now: others are tried first for a while.
  void avoid_for(const NodeName& proxy, const GroupName& group);
  /// It was not reached when it was wanted last, and has shown no life since.
  [[nodiscard]] bool is_unreachable(const NodeName& proxy) const;
  [[nodiscard]] bool is_avoided(const NodeName& proxy, const GroupName& group) const;

 private:
  using PeerPointer = std::shared_ptr<ForwardPeer>;

  void mark_unreachable(ForwardPeer& peer);
  void record_reached(ForwardPeer& peer);
  void start_dialling(const PeerPointer& peer);
  /// Until the peer is reached, or nobody has wanted it for a while: then nothing is known of it any more,
  /// and the next statement finds out.
  Awaitable<void> dial(PeerPointer peer);
  Awaitable<std::shared_ptr<ForwardConnection>> open(PeerPointer peer);
  /// Whether the other side answers.
  Awaitable<bool> shows_life(std::shared_ptr<ForwardConnection> connection, Reason& reason);

  runtime::Runtime& runtime_;
  NodeName node_;
  ZoneName zone_;
  std::map<NodeName, PeerPointer> peers_;
  std::map<std::pair<NodeName, GroupName>, TimePoint> avoided_for_until_;
};

}  // namespace cairnhollow::registered::proxy
