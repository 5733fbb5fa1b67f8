// A reliable, ordered stream between two simulated processes, with the behaviour of TCP that matters to
// its users: data is held up while the path is cut and delivered after the heal, even if the sender has
// closed the stream or was killed meanwhile. It is lost if the sender resets the stream, gives up on it
// because nothing moved for long, or loses power. The peer of a killed process sees the end of the stream,
// the peer of a machine that vanished sees nothing.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/reason.h"
#include "runtime/http.h"
#include "simulation/network_faults.h"
#include "simulation/virtual_process.h"

namespace cairnhollow::simulation {

using StreamMessage = std::variant<std::string, runtime::HttpRequest, runtime::HttpResponse>;

/// Bytes that the message would take on the wire, about.
std::size_t wire_size(const StreamMessage& message);

class VirtualNetwork;
class StreamEnd;

/// One direction of a stream.
struct StreamDirection {
  struct InTransit {
    TimePoint arrival;
    std::optional<StreamMessage> message;  ///< empty: the end of the stream
  };
  std::deque<InTransit> in_transit;
  TimePoint last_arrival{};
  bool held_up = false;  ///< the path is blocked; waits for resume_held_up()
  TimePoint held_up_since{};
  bool is_retransmitted = true;  ///< false: nobody sends again what meets a cut
  std::uint64_t bytes = 0;
};

/// One side of a stream, owned by one process.
class StreamEnd : public std::enable_shared_from_this<StreamEnd> {
 public:
  StreamEnd(VirtualNetwork& network, VirtualProcess& process, std::uint64_t stream_id);

  /// Hands the message to the transport; false when this end is closed.
  bool send(StreamMessage message);
  /// The next message; empty when the stream has ended and nothing is left to read.
  Awaitable<std::optional<StreamMessage>> receive();
  /// As receive(), but gives up at `deadline` (world time), with `timed_out` set.
  Awaitable<std::optional<StreamMessage>> receive_until(TimePoint deadline, bool& timed_out);
  /// Ends the stream here at once and at the peer after what was sent has arrived.
  void close();
  /// From now on, close() and the end of the process discard what is held up, and what was sent before and
  /// meets a cut; and this end breaks after runtime::kResetUnacknowledgedAfter without a path to the peer.
  void reset_on_close();
  /// The same without breaking: close() and the end of the process discard.
  void discard_on_close() { resets_ = true; }
  [[nodiscard]] bool is_open() const { return open_; }
  /// Runs once when the stream ends, by either side.
  void on_end(Action action) { on_end_ = std::move(action); }
  [[nodiscard]] const std::string& peer_name() const { return peer_name_; }
  VirtualProcess& process() { return process_; }
  [[nodiscard]] std::uint64_t stream_id() const { return stream_id_; }
  [[nodiscard]] std::uint64_t bytes_sent() const { return outgoing_.bytes; }

 private:
  friend class VirtualNetwork;
  void deliver_next();
  void arrive();
  void break_here();
  void schedule_head();
  void hold_up();
  void give_up();
  void stop_retransmitting();
  void probe(Duration silent_for);

  VirtualNetwork& network_;
  VirtualProcess& process_;
  std::uint64_t stream_id_;
  std::weak_ptr<StreamEnd> peer_;
  std::string peer_name_;
  NetworkPlace place_;
  NetworkPlace peer_place_;
  StreamDirection outgoing_;
  std::deque<StreamMessage> received_;
  Suspension reader_;
  Action on_end_;
  bool open_ = true;
  bool resets_ = false;  ///< see discard_on_close()
};

}  // namespace cairnhollow::simulation
