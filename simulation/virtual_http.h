// HTTP exchanges over simulated streams, as values without text, and the faults of servers that answer
// late, twice, short, or with another request's answer.
#pragma once

#include <memory>

#include "runtime/http.h"
#include "simulation/virtual_network.h"

namespace cairnhollow::simulation {

/// Shares of a server's responses that go wrong, each in [0, 1].
struct ResponseFaults {
  double late = 0;        ///< held back by up to late_limit
  double duplicate = 0;   ///< sent twice
  double crossed = 0;     ///< the body of the server's previous response is sent instead
  double short_body = 0;  ///< the body is cut
  Duration late_limit = std::chrono::seconds(2);
};

class VirtualHttpTransport : public runtime::HttpTransport {
 public:
  /// `spawn` starts a coroutine of the process.
  VirtualHttpTransport(VirtualNetwork& network, VirtualProcess& process,
                       std::function<void(Awaitable<void>)> spawn)
      : network_(network), process_(process), spawn_(std::move(spawn)) {}

  Awaitable<std::shared_ptr<runtime::HttpConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                              Reason& reason) override;
  std::unique_ptr<runtime::HttpServer> serve(const Endpoint& endpoint, runtime::HttpHandler& handler,
                                             Reason& reason) override;
  /// Of the servers of this process.
  ResponseFaults& response_faults() { return *response_faults_; }

 private:
  VirtualNetwork& network_;
  VirtualProcess& process_;
  std::function<void(Awaitable<void>)> spawn_;
  std::shared_ptr<ResponseFaults> response_faults_ = std::make_shared<ResponseFaults>();
};

}  // namespace cairnhollow::simulation
