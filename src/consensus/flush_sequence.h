// Writes in-memory changes to disk, one write at a time, shared by all callers waiting for it.
#pragma once

#include <cstdint>
#include <functional>

#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::consensus {

class FlushSequence {
 public:
  /// Writes the in-memory state as of the call. Returns false and sets the reason on failure.
  using Write = std::function<Awaitable<bool>(Reason&)>;

  /// Objects referenced by `write` must outlive this object.
  FlushSequence(runtime::Runtime& runtime, Write write) : write_(std::move(write)), flushed_(runtime) {}

  /// Records that memory has changed since the last write began.
  void record_change() { ++version_; }

  /// Makes all changes recorded before the call durable. Concurrent callers share one write. After a failure
  /// every call fails with the same reason until retry(), because the contents of the disk are unknown.
  Awaitable<bool> flush(Reason& reason);
  /// Allows the next flush() to write again, even if nothing has changed.
  void retry();

 private:
  Write write_;
  runtime::Signal flushed_;
  std::uint64_t version_ = 0;          ///< incremented by each change
  std::uint64_t durable_version_ = 0;  ///< the latest version fully on disk
  bool writing_ = false;
  Reason failure_;
};

}  // namespace cairnhollow::consensus
