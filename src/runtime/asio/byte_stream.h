// A TCP connection as both ends of HTTP and of line protocols need it: always reading, so that the peer's
// closing is seen at once also while a request is being handled or the connection is idle.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/reason.h"
#include "runtime/asio/lazy_deadline.h"
#include "runtime/asio/read_buffer.h"
#include "runtime/asio/wakeup.h"

namespace cairnhollow::runtime {

/// One writer and one waiting reader at a time. Closed once, for good, with the reason why.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
 public:
  explicit ByteStream(boost::asio::ip::tcp::socket socket);

  /// Begins reading. `on_closed` is called once, whatever ends the connection.
  void start(std::function<void()> on_closed);

  [[nodiscard]] std::string_view unread() const { return buffer_.unread(); }
  void consume(std::size_t count);
  /// Goes on reading although so much is unread, since the reader needs more of it at once; else reading
  /// rests at kReadAheadBytes, and TCP slows the peer down.
  void read_beyond(std::size_t unread);
  /// Returns true once more bytes came in, false when the stream is closed.
  Awaitable<bool> wait_for_bytes();
  /// False when not all bytes were taken; `any_sent` says whether any byte may have left.
  Awaitable<bool> write(std::string_view bytes, bool& any_sent);

  /// Closes the stream with kDeadlineExceeded when `deadline` passes.
  void set_deadline(TimePoint deadline) { deadline_.set(deadline); }
  void clear_deadline() { deadline_.clear(); }

  /// Sends the end of the stream and drops what still comes in, until the peer closes or the deadline passes.
  Awaitable<void> finish();
  void close(Reason why);
  [[nodiscard]] bool is_open() const { return !closed_.failed(); }
  /// Why it was closed.
  [[nodiscard]] const Reason& closed() const { return closed_; }
  [[nodiscard]] const std::string& peer() const { return peer_; }
  /// The peer ended the stream in the usual way: what it sent before is whole and may still be unread.
  [[nodiscard]] bool ended_by_peer() const { return ended_by_peer_; }

 private:
  static constexpr std::size_t kReadAheadBytes = 65536;

  void read_ahead();
  void on_read(boost::system::error_code error, std::size_t count);

  boost::asio::ip::tcp::socket socket_;
  std::string peer_;
  ReadBuffer buffer_;
  LazyDeadline deadline_;
  Wakeup reader_;
  std::function<void()> on_closed_;
  Reason closed_;
  std::size_t read_ahead_limit_ = kReadAheadBytes;
  bool reading_ = false;
  bool last_read_filled_ = false;  ///< much is coming in: read in larger steps
  bool ended_by_peer_ = false;
};

}  // namespace cairnhollow::runtime
