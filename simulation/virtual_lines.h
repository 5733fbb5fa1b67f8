// Streams of text lines between simulated processes.
#pragma once

#include <memory>
#include <string>

#include "runtime/lines.h"
#include "simulation/virtual_network.h"

namespace cairnhollow::simulation {

class VirtualLineTransport : public runtime::LineTransport {
 public:
  VirtualLineTransport(VirtualNetwork& network, VirtualProcess& process)
      : network_(network), process_(process) {}
  Awaitable<std::shared_ptr<runtime::LineConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                              Reason& reason) override;
  std::unique_ptr<runtime::LineListener> listen(const Endpoint& endpoint, Reason& reason) override;

 private:
  VirtualNetwork& network_;
  VirtualProcess& process_;
};

}  // namespace cairnhollow::simulation
