// The slots of one server: how many statements it runs at once. It does not queue; the proxy does.
#pragma once

#include <cstdint>
#include <optional>

#include "standins/database/tunables.h"

namespace cairnhollow::standins::database {

class SlotLimiter {
 public:
  /// Frees its slot when it is destroyed; does not outlive the limiter.
  class Slot {
   public:
    explicit Slot(SlotLimiter& limiter) : limiter_(&limiter) { ++limiter_->in_use_; }
    Slot(Slot&& other) noexcept : limiter_(other.limiter_) { other.limiter_ = nullptr; }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    Slot& operator=(Slot&&) = delete;
    ~Slot() {
      if (limiter_ != nullptr) --limiter_->in_use_;
    }

   private:
    SlotLimiter* limiter_;
  };

  explicit SlotLimiter(const Tunables& tunables) : tunables_(tunables) {}
  /// Empty when all are in use.
  std::optional<Slot> take() {
    if (in_use_ >= tunables_.slots) return std::nullopt;
    return std::optional<Slot>(std::in_place, *this);
  }
  [[nodiscard]] std::uint32_t in_use() const { return in_use_; }

 private:
  const Tunables& tunables_;
  std::uint32_t in_use_ = 0;
};

}  // namespace cairnhollow::standins::database
