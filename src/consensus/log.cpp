#include "consensus/log.h"

#include <algorithm>

namespace cairnhollow::consensus {

bool Log::recover(Reason& reason) {
  auto recovered = file_.recover(reason);
  if (!recovered) return false;
  base_ = recovered->base;
  entries_.assign(recovered->entries.begin(), recovered->entries.end());
  first_unwritten_ = last_index() + 1;
  durable_index_ = base_.index;
  flushes_.record_change();                         // the first flush syncs what was read
  rewrite_ = entries_.empty() && base_.index == 0;  // no file yet, or one without entries
  return true;
}

std::uint64_t Log::last_term() const { return entries_.empty() ? base_.term : entries_.back().term; }

std::optional<std::uint64_t> Log::term_at(std::uint64_t index) const {
  if (index == base_.index) return base_.term;
  if (index < base_.index || index > last_index()) return std::nullopt;
  return at(index).term;
}

std::vector<LogEntry> Log::slice(std::uint64_t first, std::size_t max_entries, std::size_t max_bytes) const {
  std::vector<LogEntry> entries;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= last_index() && entries.size() < max_entries; ++index) {
    bytes += at(index).payload.size();
    if (!entries.empty() && bytes > max_bytes) break;
    entries.push_back(at(index));
  }
  return entries;
}

void Log::append(LogEntry entry) {
  entries_.push_back(std::move(entry));
  flushes_.record_change();
}

void Log::truncate_after(std::uint64_t index) {
  if (index >= last_index()) return;
  entries_.resize(index - base_.index);
  first_unwritten_ = std::min(first_unwritten_, index + 1);
  durable_index_ = std::min(durable_index_, index);
  flush_target_ = std::min(flush_target_, index);
  flushes_.record_change();
}

void Log::compact_to(std::uint64_t index) {
  if (index <= base_.index || index > last_index()) return;
  const LogBase base{index, at(index).term};
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(index - base_.index));
  base_ = base;
  rewrite_ = true;
  flushes_.record_change();
}

void Log::reset(LogBase base) {
  entries_.clear();
  base_ = base;
  durable_index_ = flush_target_ = base.index;
  first_unwritten_ = base.index + 1;
  rewrite_ = true;
  flushes_.record_change();
}

void Log::retry() {
  rewrite_ = true;
  flushes_.retry();
}

Awaitable<bool> Log::write_changes(Reason& reason) {
  const std::uint64_t first = first_unwritten_;
  const bool rewrite = rewrite_;
  flush_target_ = last_index();
  first_unwritten_ = last_index() + 1;
  rewrite_ = false;
  bool written = false;
  if (rewrite) {
    std::vector<LogEntry> entries(entries_.begin(), entries_.end());
    written = co_await file_.rewrite(base_, std::move(entries), reason);
  } else {
    const auto offset = static_cast<std::ptrdiff_t>(first - base_.index - 1);
    std::vector<LogEntry> entries(entries_.begin() + offset, entries_.end());
    written = co_await file_.write_from(first, std::move(entries), reason);
  }
  if (!written) co_return false;
  durable_index_ = std::max(durable_index_, flush_target_);
  co_return true;
}

}  // namespace cairnhollow::consensus
