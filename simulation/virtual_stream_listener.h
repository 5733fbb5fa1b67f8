// Accepts the streams that reach one endpoint of a simulated process, whatever is spoken on them.
#pragma once

#include <deque>
#include <memory>

#include "simulation/virtual_network.h"

namespace cairnhollow::simulation {

class VirtualStreamListener {
 public:
  /// Null when the endpoint is taken.
  static std::unique_ptr<VirtualStreamListener> listen(VirtualNetwork& network, VirtualProcess& process,
                                                       const Endpoint& endpoint, Reason& reason);
  ~VirtualStreamListener() { close(); }

  /// The next stream; null once the listener is closed.
  Awaitable<std::shared_ptr<StreamEnd>> accept(Reason& reason);
  void close();
  [[nodiscard]] const Endpoint& endpoint() const { return endpoint_; }

 private:
  struct State {
    explicit State(VirtualProcess& process) : waiter(process) {}
    std::deque<std::shared_ptr<StreamEnd>> accepted;
    Suspension waiter;
    bool open = true;
  };
  VirtualStreamListener(VirtualNetwork& network, VirtualProcess& process, Endpoint endpoint);

  VirtualNetwork& network_;
  VirtualProcess& process_;
  Endpoint endpoint_;
  std::shared_ptr<State> state_;
};

}  // namespace cairnhollow::simulation
