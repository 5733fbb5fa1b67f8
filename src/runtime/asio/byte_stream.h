// TCP byte stream used by both ends of HTTP and of line protocols. Always reads ahead, so that a close by the
// peer is noticed immediately, even while a request is being handled or the connection is idle.
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

/// Supports one writer and one waiting reader at a time. Once closed, it stays closed, with the reason.
class ByteStream : public std::enable_shared_from_this<ByteStream> {
 public:
  explicit ByteStream(boost::asio::ip::tcp::socket socket);

  /// Starts reading. `on_closed` is called once, whatever closes the stream.
  void start(std::function<void()> on_closed);

  [[nodiscard]] std::string_view unread() const { return buffer_.unread(); }
  void consume(std::size_t count);
  /// Raises the read-ahead limit to more than `unread` bytes for a reader that needs more data at once. By
  /// default reading pauses at kReadAheadBytes, and TCP flow control slows the peer down.
  void read_beyond(std::size_t unread);
  /// Returns true once more bytes have arrived, or false if the stream is closed.
  Awaitable<bool> wait_for_bytes();
  /// Returns false if not all bytes were written; `any_sent` is set if any of them may have been sent.
  Awaitable<bool> write(std::string_view bytes, bool& any_sent);

  /// Closes the stream with kDeadlineExceeded once `deadline` passes.
  void set_deadline(TimePoint deadline) { deadline_.set(deadline); }
  void clear_deadline() { deadline_.clear(); }

  /// Shuts down sending and discards incoming bytes until the peer closes or the deadline passes.
  Awaitable<void> finish();
  void close(Reason why);
  /// Makes every later end of the stream on this side a reset, as enable_reset_on_close() does. Returns false
  /// if the stream is closed; closes it if the socket does not allow that.
  bool reset_on_close();
  /// As reset_on_close(), but as enable_discard_on_close() does.
  bool discard_on_close();
  [[nodiscard]] bool is_open() const { return !close_reason_.failed(); }
  /// The reason for which the stream was closed.
  [[nodiscard]] const Reason& close_reason() const { return close_reason_; }
  [[nodiscard]] const std::string& peer() const { return peer_; }
  /// Returns whether the peer closed the stream normally. Data sent before is complete and may still be
  /// unread.
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
  Reason close_reason_;
  std::size_t read_ahead_limit_ = kReadAheadBytes;
  bool reading_ = false;
  bool last_read_filled_ = false;  ///< much data is arriving: read in larger chunks
  bool ended_by_peer_ = false;
};

}  // namespace cairnhollow::runtime
