// Outgoing connection to one peer: requests with correlation numbers, answered in any order.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "consensus/frame_sender.h"
#include "consensus/messages.h"
#include "wire/hello.h"

namespace cairnhollow::consensus {

struct PeerChannelSettings {
  wire::Hello hello;
  NodeName peer;
  Endpoint endpoint;
  Duration stall_limit{};  ///< a connection with calls unanswered for this long is replaced
};

/// Reconnects with backoff until close(). A slow or frozen peer delays only its own calls.
class PeerChannel {
 public:
  PeerChannel(runtime::Runtime& runtime, PeerChannelSettings settings);

  /// Keeps a connection open until close(). `self` keeps this object alive meanwhile. Call once.
  Awaitable<void> run(std::shared_ptr<PeerChannel> self);
  void close();

  /// Sends a request and waits for the answer. kUnreachable: never sent. kConnectionLost and
  /// kDeadlineExceeded: the peer may have handled it. kOverloaded: the queue of frames to send is full.
  Awaitable<std::optional<PeerAnswer>> call(PeerRequest request, TimePoint deadline, Reason& reason);

  [[nodiscard]] const Endpoint& endpoint() const { return settings_.endpoint; }

 private:
  struct PendingCall {
    explicit PendingCall(runtime::Runtime& runtime) : changed(runtime) {}
    runtime::Signal changed;
    std::optional<PeerAnswer> answer;
    bool connection_lost = false;
  };

  Awaitable<void> run_connection(std::shared_ptr<runtime::FrameConnection> connection);
  Awaitable<bool> wait_connected(TimePoint deadline);
  void complete_call(const std::string& frame);
  [[nodiscard]] bool is_answer(const std::string& frame);
  void fail_pending();
  void replace_stalled_connection();
  [[nodiscard]] Reason make_reason(ReasonCode code, std::string detail) const;

  runtime::Runtime& runtime_;
  PeerChannelSettings settings_;
  wire::ClientHandshake handshake_;
  runtime::Signal connected_;
  runtime::Signal closing_;
  std::shared_ptr<FrameSender> sender_;  ///< null while disconnected
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> pending_;
  std::uint64_t next_correlation_ = 1;
  TimePoint last_answer_;
  bool refused_ = false;  ///< the peer and this node have no protocol version in common
  bool closed_ = false;
};

}  // namespace cairnhollow::consensus
