// LineTransport over TCP.
#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "runtime/lines.h"
#include "runtime/traffic.h"

namespace cairnhollow::runtime {

class AsioLineTransport : public LineTransport {
 public:
  /// `traffic`: counts what is sent; not owned, must outlive this object and its connections. Null: not
  /// counted.
  explicit AsioLineTransport(boost::asio::any_io_executor executor, Traffic* traffic = nullptr)
      : executor_(std::move(executor)), traffic_(traffic) {}

  Awaitable<std::shared_ptr<LineConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                     Reason& reason) override;
  std::unique_ptr<LineListener> listen(const Endpoint& endpoint, Reason& reason) override;

 private:
  boost::asio::any_io_executor executor_;
  Traffic* traffic_;
};

}  // namespace cairnhollow::runtime
