// Bounded queue of frames for one connection, which sends one frame at a time.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::consensus {

class FrameSender {
 public:
  FrameSender(runtime::Runtime& runtime, std::shared_ptr<runtime::FrameConnection> connection)
      : connection_(std::move(connection)), changed_(runtime) {}

  /// Returns false if the queue is full or the connection has ended.
  bool push(std::string frame);
  /// Sends queued frames until the connection breaks or close() is called. `self` keeps this object alive
  /// meanwhile.
  Awaitable<void> run(std::shared_ptr<FrameSender> self);
  /// Closes the connection and ends run().
  void close();

 private:
  std::shared_ptr<runtime::FrameConnection> connection_;
  runtime::Signal changed_;
  std::deque<std::string> queue_;
  bool closed_ = false;
};

}  // namespace cairnhollow::consensus
