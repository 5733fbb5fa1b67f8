// Tracks the requests that this proxy is serving: at most one per request id, and their total number.
#pragma once

#include <optional>
#include <set>

#include "base/types.h"

namespace cairnhollow::declared::proxy {

class RequestTable {
 public:
  /// Tracks one request for the lifetime of this object. With an empty `id` it is only counted.
  class Entry {
   public:
    Entry(RequestTable& table, std::optional<RequestId> id) : table_(table), id_(std::move(id)) {
      is_unique_ = !id_ || table_.ids_.insert(*id_).second;
      ++table_.count_;
    }
    ~Entry() {
      --table_.count_;
      if (id_ && is_unique_) table_.ids_.erase(*id_);
    }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    /// False if a request with the same id is being served, in which case this one must be refused.
    [[nodiscard]] bool is_unique() const { return is_unique_; }

   private:
    RequestTable& table_;
    std::optional<RequestId> id_;
    bool is_unique_ = false;
  };

  [[nodiscard]] std::size_t count() const { return count_; }

 private:
  std::set<RequestId> ids_;
  std::size_t count_ = 0;
};

}  // namespace cairnhollow::declared::proxy
