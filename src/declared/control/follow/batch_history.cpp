#include "declared/control/follow/batch_history.h"

namespace cairnhollow::declared::control {

void BatchHistory::reset(std::uint64_t revision) {
  base_revision_ = revision;
  last_revision_ = revision;
  batches_.clear();
  key_count_ = 0;
}

void BatchHistory::record(std::uint64_t from, std::uint64_t to, std::vector<config::ObjectKey> touched) {
  if (from != last_revision_) reset(from);
  last_revision_ = to;
  key_count_ += touched.size();
  batches_.push_back(Batch{to, std::move(touched)});
  while (key_count_ > kMaximumKeys && !batches_.empty()) {
    base_revision_ = batches_.front().to;
    key_count_ -= batches_.front().touched.size();
    batches_.pop_front();
  }
}

std::optional<std::set<config::ObjectKey>> BatchHistory::touched_since(std::uint64_t revision) const {
  if (revision < base_revision_ || revision > last_revision_) return std::nullopt;
  std::set<config::ObjectKey> touched;
  for (auto batch = batches_.rbegin(); batch != batches_.rend() && batch->to > revision; ++batch) {
    touched.insert(batch->touched.begin(), batch->touched.end());
  }
  return touched;
}

}  // namespace cairnhollow::declared::control
