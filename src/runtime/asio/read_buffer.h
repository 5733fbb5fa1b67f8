// Buffer of bytes read from a socket but not yet consumed.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <memory>
#include <string_view>

namespace cairnhollow::runtime {

/// Allocates memory when it is first needed; release() frees it when nothing is unread.
class ReadBuffer {
 public:
  [[nodiscard]] std::string_view unread() const { return {storage_.get() + begin_, end_ - begin_}; }
  /// Removes bytes from the front of unread(). Views of the remaining bytes stay valid.
  void consume(std::size_t count) { begin_ += count; }

  /// Returns space for at least `at_least` bytes after the unread ones. May move them, invalidating views.
  boost::asio::mutable_buffer room(std::size_t at_least);
  /// Adds `count` bytes written into the space returned by room().
  void commit(std::size_t count) { end_ += count; }

  /// Frees the memory if nothing is unread and the capacity exceeds `keep` bytes.
  void release(std::size_t keep);

 private:
  std::unique_ptr<char[]> storage_;
  std::size_t capacity_ = 0;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace cairnhollow::runtime
