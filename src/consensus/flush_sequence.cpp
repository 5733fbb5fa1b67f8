#include "consensus/flush_sequence.h"

namespace cairnhollow::consensus {

Awaitable<bool> FlushSequence::flush(Reason& reason) {
  const std::uint64_t wanted = version_;
  while (durable_version_ < wanted) {
    if (failure_.failed()) {
      reason = failure_;
      co_return false;
    }
    if (writing_) {
      co_await flushed_.wait();
      continue;
    }
    writing_ = true;
    const std::uint64_t version = version_;
    const bool written = co_await write_(failure_);
    writing_ = false;
    if (written) durable_version_ = version;
    if (!written && !failure_.failed()) failure_.code = ReasonCode::kStorage;
    flushed_.notify_all();
  }
  co_return true;
}

void FlushSequence::retry() {
  failure_ = Reason{};
  record_change();
}

}  // namespace cairnhollow::consensus
