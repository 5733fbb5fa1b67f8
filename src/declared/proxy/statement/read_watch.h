// Ends reads at backends that have stopped answering (frozen, cut off) before the reads' own limit, so that
// the next candidate is tried. Who answers anybody is not silent, nor is who was not asked: a read that takes
// long there is waited for. Sends nothing itself, and costs nothing while no read is under way.
#pragma once

#include <list>

#include "declared/backend/backend_connection.h"
#include "declared/routing/backend_load.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::proxy {

/// A backend is silent when it has owed an answer to a freshness probe for kReadSilenceLimit and has answered
/// no statement meanwhile. Both references outlive the watch, and it lives until the process ends.
class ReadWatch {
 public:
  ReadWatch(runtime::Runtime& runtime, const routing::BackendLoadTable& load)
      : runtime_(runtime), load_(load) {}

 private:
  struct Read {
    std::uint32_t ordinal = 0;
    backend::BackendConnection* connection = nullptr;
    std::uint64_t answers = 0;  ///< of the backend, when it was last looked at
    TimePoint heard_at;         ///< the backend had answered somebody since the look before; first: the begin
  };

 public:
  /// One read, watched from construction to destruction. The connection outlives it, and is closed when the
  /// backend is found silent.
  class Watched {
   public:
    Watched(ReadWatch& watch, std::uint32_t ordinal, backend::BackendConnection& connection);
    ~Watched() { watch_.reads_.erase(place_); }
    Watched(const Watched&) = delete;
    Watched& operator=(const Watched&) = delete;

   private:
    ReadWatch& watch_;
    std::list<Read>::iterator place_;
  };

 private:
  Awaitable<void> run();
  /// Looks at each read once.
  void close_silent();
  [[nodiscard]] bool is_silent(const Read& read, TimePoint now) const;

  runtime::Runtime& runtime_;
  const routing::BackendLoadTable& load_;
  std::list<Read> reads_;
  bool running_ = false;
};

}  // namespace cairnhollow::declared::proxy
