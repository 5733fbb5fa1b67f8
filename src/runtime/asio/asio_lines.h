// LineTransport over TCP.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "runtime/lines.h"

namespace cairnhollow::runtime {

class AsioLineTransport : public LineTransport {
 public:
  explicit AsioLineTransport(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}

  Awaitable<std::shared_ptr<LineConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                     Reason& reason) override;
  std::unique_ptr<LineListener> listen(const Endpoint& endpoint, Reason& reason) override;

 private:
  boost::asio::any_io_executor executor_;
};

}  // namespace cairnhollow::runtime
