// The order in which changes made in memory reach the disk: one write at a time, shared by all who wait for
// it.
#pragma once

#include <cstdint>
#include <functional>

#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::consensus {

class FlushSequence {
 public:
  /// Writes what memory holds when it is called. False with the reason on failure.
  using Write = std::function<Awaitable<bool>(Reason&)>;

  /// What `write` refers to outlives the sequence.
  FlushSequence(runtime::Runtime& runtime, Write write) : write_(std::move(write)), flushed_(runtime) {}

  /// Memory has changed since the last write began.
  void record_change() { ++version_; }

  /// Makes all changes noted before the call durable. Callers share one write. After a failure every call
  /// fails with the same reason until retry(): what the disk holds is not known meanwhile.
  Awaitable<bool> flush(Reason& reason);
  /// Lets the next flush() write again, and write even if nothing has changed.
  void retry();

 private:
  Write write_;
  runtime::Signal flushed_;
  std::uint64_t version_ = 0;          ///< grows with each change
  std::uint64_t durable_version_ = 0;  ///< the last version wholly on disk
  bool writing_ = false;
  Reason failure_;
};

}  // namespace cairnhollow::consensus
