#include "declared/proxy/statement/read_watch.h"

#include <algorithm>

#include "declared/proxy/knobs.h"

namespace cairnhollow::declared::proxy {

ReadWatch::WatchedRead::WatchedRead(ReadWatch& watch, std::uint32_t ordinal,
                                    backend::BackendConnection& connection)
    : watch_(watch) {
  const Read read{ordinal, &connection, watch_.load_.answers(ordinal), watch_.runtime_.now()};
  place_ = watch_.reads_.insert(watch_.reads_.end(), read);
  if (watch_.running_) return;
  watch_.running_ = true;
  watch_.runtime_.spawn("read_watch", watch_.run());
}

Awaitable<void> ReadWatch::run() {
  while (!reads_.empty()) {
    co_await runtime_.sleep_for(kReadWatchInterval);
    close_silent_reads();
  }
  running_ = false;
}

void ReadWatch::close_silent_reads() {
  const TimePoint now = runtime_.now();
  // Closing a connection resumes nothing synchronously: the reads end when their coroutines next run.
  for (auto& read : reads_) {
    const std::uint64_t answers = load_.answers(read.ordinal);
    if (answers != read.answers) read.last_answer_at = now;
    read.answers = answers;
    if (is_silent(read, now)) read.connection->close();
  }
}

bool ReadWatch::is_silent(const Read& read, TimePoint now) const {
  const auto probe_unanswered_since = load_.unanswered_since(read.ordinal);
  return probe_unanswered_since &&
         now - std::max(*probe_unanswered_since, read.last_answer_at) >= kReadSilenceLimit;
}

}  // namespace cairnhollow::declared::proxy
