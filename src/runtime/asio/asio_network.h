// Frames over TCP: a 4-byte big-endian length followed by that many bytes.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "runtime/network.h"
#include "runtime/traffic.h"

namespace cairnhollow::runtime {

inline constexpr std::size_t kFrameHeaderBytes = 4;
/// Maximum frame size in bytes. The sender refuses larger frames; the receiver closes the connection.
inline constexpr std::uint32_t kMaximumFrameBytes = 64U * 1024U * 1024U;

class AsioNetwork : public Network {
 public:
  /// `traffic`: counts what is sent; not owned, must outlive this object and its connections. Null: not
  /// counted.
  explicit AsioNetwork(boost::asio::any_io_executor executor, Traffic* traffic = nullptr)
      : executor_(std::move(executor)), traffic_(traffic) {}

  Awaitable<std::shared_ptr<FrameConnection>> connect(Endpoint endpoint, TimePoint deadline,
                                                      Reason& reason) override;
  std::unique_ptr<FrameListener> listen(const Endpoint& endpoint, Reason& reason) override;

 private:
  boost::asio::any_io_executor executor_;
  Traffic* traffic_;
};

}  // namespace cairnhollow::runtime
