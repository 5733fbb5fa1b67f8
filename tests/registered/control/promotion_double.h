// A connection for one promotion that a test answers with a function.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "registered/registry/control_service.h"

namespace cairnhollow::registered::control {

/// Never closes by itself; reset() is only noted.
class PromotionDouble : public registry::PromotionChannel {
 public:
  using Answer = std::function<registry::PromotionOutcome(const registry::PromotionOrder&, Reason&)>;

  explicit PromotionDouble(Answer answer) : answer_(std::move(answer)) {}

  Awaitable<registry::PromotionOutcome> request(registry::PromotionOrder order, TimePoint /*deadline*/,
                                                Reason& reason) override {
    if (!is_open_) co_return registry::PromotionOutcome::kNotSent;
    co_return answer_(order, reason);
  }
  void reset() override { is_open_ = false; }
  [[nodiscard]] bool is_open() const override { return is_open_; }

 private:
  Answer answer_;
  bool is_open_ = true;
};

}  // namespace cairnhollow::registered::control
