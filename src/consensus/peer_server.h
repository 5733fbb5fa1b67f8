// Serves requests from other members on incoming connections.
#pragma once

#include <functional>
#include <memory>

#include "consensus/election.h"
#include "consensus/log_receiver.h"
#include "consensus/read_barrier.h"

namespace cairnhollow::consensus {

class PeerServer {
 public:
  PeerServer(RaftState& state, Election& election, ReadBarrier::RoundFunction read_index);

  /// Serves until the connection ends or the server halts. Requests are started in order and answered as they
  /// complete, so that a heartbeat does not wait for the disk write of a large append.
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection, NodeName peer);

 private:
  /// State shared by the handlers of one connection.
  struct Connection {
    Connection(runtime::Runtime& runtime, std::shared_ptr<runtime::FrameConnection> frames)
        : sender(std::make_shared<FrameSender>(runtime, std::move(frames))), changed(runtime) {}
    std::shared_ptr<FrameSender> sender;
    std::size_t in_flight = 0;
    runtime::Signal changed;
  };

  Awaitable<void> handle(std::shared_ptr<Connection> connection, PeerRequest request);
  Awaitable<std::optional<PeerAnswer>> answer(PeerRequest request);
  Awaitable<AnswerBody> execute(PeerRequest request);
  Awaitable<ReadIndexAnswer> read_index(const PeerRequest& request);
  [[nodiscard]] Refusal check_sender(const PeerRequest& request, const AnswerBody& body) const;

  RaftState& state_;
  Election& election_;
  LogReceiver receiver_;
  ReadBarrier::RoundFunction read_index_;
};

}  // namespace cairnhollow::consensus
