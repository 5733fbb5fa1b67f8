// Doubles of the connections for promotions, which a test answers with a function.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "registered/registry/control_service.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

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

/// Platform that answers each order as the test says, and records when connections are reset.
class PlatformDouble : public registry::PromotionCaller {
 public:
  /// What an order is answered with; std::nullopt: nothing, until the connection ends.
  using Reply = std::optional<registry::PromotionOutcome>;
  struct Order {
    registry::PromotionOrder order;
    TimePoint received_at{};
    std::optional<TimePoint> reset_at{};  ///< of a connection that was reset without an answer
  };

  explicit PlatformDouble(runtime::Runtime& runtime) : runtime_(runtime) {}

  Awaitable<std::shared_ptr<registry::PromotionChannel>> connect(TimePoint /*deadline*/,
                                                                 Reason& reason) override {
    ++connections;
    if (is_reachable) co_return std::make_shared<Channel>(*this);
    reason = {ReasonCode::kUnreachable, "open_connection", "platform", "connection refused", true};
    co_return nullptr;
  }
  [[nodiscard]] std::size_t received() const { return orders.size(); }

  std::vector<std::shared_ptr<Order>> orders;
  int connections = 0;
  bool is_reachable = true;
  std::function<Reply(const registry::PromotionOrder&)> reply;  ///< accepts each order if empty
  ReasonCode rejection = ReasonCode::kOverloaded;               ///< reason of kRejected

 private:
  class Channel : public registry::PromotionChannel {
   public:
    explicit Channel(PlatformDouble& platform) : platform_(platform), ended_(platform.runtime_) {}
    Awaitable<registry::PromotionOutcome> request(registry::PromotionOrder order, TimePoint deadline,
                                                  Reason& reason) override;
    void reset() override {
      is_open_ = false;
      ended_.notify_all();
    }
    [[nodiscard]] bool is_open() const override { return is_open_; }

   private:
    PlatformDouble& platform_;
    runtime::Signal ended_;
    bool is_open_ = true;
  };

  runtime::Runtime& runtime_;
};

inline Awaitable<registry::PromotionOutcome> PlatformDouble::Channel::request(registry::PromotionOrder order,
                                                                              TimePoint deadline,
                                                                              Reason& reason) {
  using registry::PromotionOutcome;
  if (!is_open_) co_return PromotionOutcome::kNotSent;
  const auto received = std::make_shared<Order>(Order{order, platform_.runtime_.now()});
  platform_.orders.push_back(received);
  const Reply reply = platform_.reply ? platform_.reply(order) : PromotionOutcome::kAccepted;
  if (reply) {
    if (*reply == PromotionOutcome::kRejected)
      reason = {platform_.rejection, "promote", order.backend.value, "rejected"};
    co_return *reply;
  }
  while (is_open_ && platform_.runtime_.now() < deadline) co_await ended_.wait_until(deadline);
  if (!is_open_) received->reset_at = platform_.runtime_.now();
  reason = {ReasonCode::kDeadlineExceeded, "promote", order.backend.value, "no answer"};
  co_return PromotionOutcome::kUnknown;
}

}  // namespace cairnhollow::registered::control
