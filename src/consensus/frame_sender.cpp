#include "consensus/frame_sender.h"

#include "consensus/knobs.h"

namespace cairnhollow::consensus {

bool FrameSender::push(std::string frame) {
  if (closed_ || queue_.size() >= kMaxQueuedFrames) return false;
  queue_.push_back(std::move(frame));
  changed_.notify_all();
  return true;
}

Awaitable<void> FrameSender::run(std::shared_ptr<FrameSender> /*self*/) {
  while (!closed_) {
    if (queue_.empty()) {
      co_await changed_.wait();
      continue;
    }
    std::string frame = std::move(queue_.front());
    queue_.pop_front();
    Reason reason;
    const bool sent = co_await connection_->send(std::move(frame), reason);
    if (!sent) close();
  }
}

void FrameSender::close() {
  if (closed_) return;
  closed_ = true;
  queue_.clear();
  connection_->close();
  changed_.notify_all();
}

}  // namespace cairnhollow::consensus
