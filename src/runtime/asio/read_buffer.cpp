#include "runtime/asio/read_buffer.h"

#include <algorithm>
#include <cstring>

namespace cairnhollow::runtime {

boost::asio::mutable_buffer ReadBuffer::room(std::size_t at_least) {
  const std::size_t size = end_ - begin_;
  if (size + at_least > capacity_) {
    const std::size_t capacity = std::max(size + at_least, size * 2);
    auto larger = std::make_unique_for_overwrite<char[]>(capacity);
    if (size > 0) std::memcpy(larger.get(), storage_.get() + begin_, size);
    storage_ = std::move(larger);
    capacity_ = capacity;
  } else if (begin_ > 0 && size > 0) {
    std::memmove(storage_.get(), storage_.get() + begin_, size);
  }
  begin_ = 0;
  end_ = size;
  return boost::asio::buffer(storage_.get() + end_, capacity_ - end_);
}

void ReadBuffer::release(std::size_t keep) {
  if (begin_ != end_ || capacity_ <= keep) return;
  storage_.reset();
  capacity_ = 0;
  begin_ = 0;
  end_ = 0;
}

}  // namespace cairnhollow::runtime
