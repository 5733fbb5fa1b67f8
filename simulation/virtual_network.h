// The network of one simulated world: machines by address, listeners, and the streams between them.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "runtime/network.h"
#include "simulation/network_faults.h"
#include "simulation/virtual_stream.h"

namespace cairnhollow::simulation {

/// Bytes that a process has handed to the network, by the name of the peer's process.
using TrafficByPeer = std::map<std::string, std::uint64_t>;

class VirtualNetwork {
 public:
  using AcceptAction = std::function<void(std::shared_ptr<StreamEnd>)>;

  VirtualNetwork(Scheduler& scheduler, Trace& trace, LatencySettings latency, std::uint64_t seed)
      : scheduler_(scheduler), trace_(trace), faults_(std::move(latency), seed) {}

  /// The process now running at its address; it replaces one that was there.
  void attach(VirtualProcess& process);
  /// Ends the process's listeners and streams as its kill does.
  void detach(VirtualProcess& process);

  /// False when the endpoint is taken.
  bool listen(VirtualProcess& process, const Endpoint& endpoint, AcceptAction accept);
  /// Only when it is this process that listens there.
  void stop_listening(const VirtualProcess& process, const Endpoint& endpoint);
  /// Opens a stream; costs a round trip. Null on failure. `deadline` is world time.
  Awaitable<std::shared_ptr<StreamEnd>> connect(VirtualProcess& process, Endpoint endpoint,
                                                TimePoint deadline, Reason& reason);

  /// Cuts and loss. Call heal_held_up() after taking cuts away.
  NetworkFaults& faults() { return faults_; }
  /// Sends on what was held up and is free to move again.
  void resume_held_up();
  /// Forgets every listener and stream; part of the end of the world.
  void clear();

  /// Called for each HTTP request at the moment in which a process sends it; scenarios aim faults by it. It
  /// may schedule events, and must not end processes by itself.
  using RequestObserver = std::function<void(const std::string& sender, const std::string& receiver,
                                             const runtime::HttpRequest& request)>;
  void observe_requests(RequestObserver observer) { request_observer_ = std::move(observer); }
  /// As observe_requests(), beside it and for the whole run: for what the checkers judge.
  void record_requests(RequestObserver recorder) { request_recorder_ = std::move(recorder); }
  /// Called for each frame or line as a process sends it; for what checkers judge.
  using FrameRecorder =
      std::function<void(const std::string& sender, const std::string& receiver, const std::string& frame)>;
  void record_frames(FrameRecorder recorder) { frame_recorder_ = std::move(recorder); }

  [[nodiscard]] const TrafficByPeer& traffic_of(const std::string& process_name) {
    return traffic_[process_name];
  }

 private:
  friend class StreamEnd;
  struct Listener {
    VirtualProcess* process;
    AcceptAction accept;
  };
  struct Dial;

  void attempt(const std::shared_ptr<Dial>& dial);
  void reach(const std::shared_ptr<Dial>& dial);
  void retry(const std::shared_ptr<Dial>& dial);
  void answer(const std::shared_ptr<Dial>& dial, const std::shared_ptr<StreamEnd>& client_end);
  void forget_ended_streams();
  std::shared_ptr<StreamEnd> make_stream(VirtualProcess& client, VirtualProcess& server);
  [[nodiscard]] bool unreachable(const NetworkPlace& from, const NetworkPlace& to) const;
  [[nodiscard]] NetworkPlace place_of(const std::string& address) const;

  Scheduler& scheduler_;
  Trace& trace_;
  NetworkFaults faults_;
  std::map<std::string, VirtualProcess*> machines_;  ///< by address
  std::map<Endpoint, Listener> listeners_;
  std::map<std::uint64_t, std::pair<std::shared_ptr<StreamEnd>, std::shared_ptr<StreamEnd>>> streams_;
  std::map<std::string, TrafficByPeer> traffic_;
  RequestObserver request_observer_;
  FrameRecorder frame_recorder_;
  RequestObserver request_recorder_;
  std::uint64_t next_stream_id_ = 1;
};

}  // namespace cairnhollow::simulation
