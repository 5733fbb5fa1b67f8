// Counts what a process sends over its stream connections, for estimates of the load on its network link.
#pragma once

#include <cstdint>

namespace cairnhollow::runtime {

/// Since the process started. Messages are frames and writes of lines.
struct Traffic {
  std::uint64_t sent_bytes = 0;  ///< payload, without the headers of the transport
  std::uint64_t sent_messages = 0;

  void count_sent(std::size_t bytes) {
    sent_bytes += bytes;
    ++sent_messages;
  }
};

}  // namespace cairnhollow::runtime
