#include "standins/callers/write_gaps.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

#include "standins/callers/checkers/history_index.h"
#include "standins/callers/record_statement.h"

namespace cairnhollow::standins::callers {

namespace {

using PartitionName = std::string;

PartitionName partition_of(const OperationRecord& operation) {
  const auto key = parse_record_key(operation.records.front());
  return key ? key->partition_key : operation.records.front();
}

/// Joins partition keys and backends that meet in an acknowledged write (disjoint sets).
class GroupFinder {
 public:
  void join(const std::string& partition, const std::string& backend) {
    parent_[root("p/" + partition)] = root("b/" + backend);
    backends_.insert(backend);
  }
  [[nodiscard]] std::string group_of(const std::string& partition) { return root("p/" + partition); }
  [[nodiscard]] std::vector<std::string> backends_of(const std::string& group) {
    std::vector<std::string> members;
    for (const std::string& backend : backends_) {
      if (root("b/" + backend) == group) members.push_back(backend);
    }
    return members;
  }

 private:
  std::string root(std::string node) {
    while (true) {
      const auto parent = parent_.find(node);
      if (parent == parent_.end() || parent->second == node) return node;
      node = parent->second;
    }
  }

  std::map<std::string, std::string> parent_;
  std::set<std::string> backends_;
};

struct OfferedWrite {
  std::int64_t invoked = 0;
  std::int64_t ended = 0;
  bool accepted = false;
};

OfferedWrite offered(const OperationRecord& operation) {
  const std::int64_t ended =
      operation.answered == 0 ? std::numeric_limits<std::int64_t>::max() : operation.answered;
  return {operation.invoked, ended, is_acknowledged(operation)};
}

/// The earliest instant from `accepted_at` on at which a write that ended later was outstanding.
std::int64_t gap_begin(const std::vector<OfferedWrite>& writes, std::int64_t accepted_at,
                       std::int64_t next_accepted_at) {
  std::int64_t begin = next_accepted_at;
  for (const OfferedWrite& write : writes) {
    if (write.ended <= accepted_at) continue;
    begin = std::min(begin, std::max(write.invoked, accepted_at));
  }
  return begin;
}

TimePoint time_point(std::int64_t nanoseconds) { return TimePoint(Duration(nanoseconds)); }

WriteGap longest_gap(const std::vector<OfferedWrite>& writes) {
  std::vector<std::int64_t> accepted;
  for (const OfferedWrite& write : writes) {
    if (write.accepted) accepted.push_back(write.ended);
  }
  std::sort(accepted.begin(), accepted.end());
  WriteGap gap;
  gap.accepted_writes = accepted.size();
  std::int64_t before = std::numeric_limits<std::int64_t>::min();
  for (const std::int64_t at : accepted) {
    // A gap cannot be longer than the time since the write accepted before: most need no closer look.
    const bool may_be_longer =
        before == std::numeric_limits<std::int64_t>::min() || at - before > gap.longest.count();
    const std::int64_t begin = may_be_longer ? gap_begin(writes, before, at) : at;
    if (at - begin > gap.longest.count()) {
      gap.longest = Duration(at - begin);
      gap.begin = time_point(begin);
      gap.end = time_point(at);
    }
    before = at;
  }
  return gap;
}

}  // namespace

std::vector<WriteGap> find_write_gaps(const History& history) {
  GroupFinder groups;
  for (const OperationRecord& operation : history.operations) {
    const bool named = is_write(operation) && is_acknowledged(operation) && !operation.served_by.empty();
    if (named) groups.join(partition_of(operation), operation.served_by);
  }
  std::map<std::string, std::vector<OfferedWrite>> writes;
  for (const OperationRecord& operation : history.operations) {
    if (is_write(operation)) writes[groups.group_of(partition_of(operation))].push_back(offered(operation));
  }
  std::vector<WriteGap> gaps;
  for (const auto& [group, offered_writes] : writes) {
    WriteGap gap = longest_gap(offered_writes);
    gap.backends = groups.backends_of(group);
    if (gap.accepted_writes > 0) gaps.push_back(gap);
  }
  return gaps;
}

}  // namespace cairnhollow::standins::callers
