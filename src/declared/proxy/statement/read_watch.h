// Ends reads at backends that have stopped answering (hung or partitioned) before the read's own timeout, so
// that the next candidate is tried. A backend that answers any request, or that was not probed, is not
// considered silent: a slow read there is waited for. Sends nothing itself and has no cost while no read is
// in flight.
#pragma once

#include <list>

#include "declared/backend/backend_connection.h"
#include "declared/routing/backend_load.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::proxy {

/// A read's backend is silent if, for the last kReadSilenceLimit, the read has been in flight, a freshness
/// probe has been unanswered and the backend has answered no other call. Both references must outlive the
/// watch, which lives until the process ends.
class ReadWatch {
 public:
  ReadWatch(runtime::Runtime& runtime, const routing::BackendLoadTable& load)
      : runtime_(runtime), load_(load) {}

 private:
  struct Read {
    std::uint32_t ordinal = 0;
    backend::BackendConnection* connection = nullptr;
    std::uint64_t answers = 0;  ///< number of the backend's answers at the last check
    TimePoint last_answer_at;   ///< last check that found a new answer; initially the start of the read
  };

 public:
  /// Watches one read for the lifetime of this object. The connection must outlive it, and is closed if the
  /// backend becomes silent.
  class WatchedRead {
   public:
    WatchedRead(ReadWatch& watch, std::uint32_t ordinal, backend::BackendConnection& connection);
    ~WatchedRead() { watch_.reads_.erase(place_); }
    WatchedRead(const WatchedRead&) = delete;
    WatchedRead& operator=(const WatchedRead&) = delete;

   private:
    ReadWatch& watch_;
    std::list<Read>::iterator place_;
  };

 private:
  Awaitable<void> run();
  /// Checks each read once.
  void close_silent_reads();
  [[nodiscard]] bool is_silent(const Read& read, TimePoint now) const;

  runtime::Runtime& runtime_;
  const routing::BackendLoadTable& load_;
  std::list<Read> reads_;
  bool running_ = false;
};

}  // namespace cairnhollow::declared::proxy
