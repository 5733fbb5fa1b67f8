// The configuration of a relay: the copy held by its follow client, with a change history to serve its own
// followers incrementally.
#pragma once

#include "declared/control/follow/batch_history.h"
#include "declared/control/follow/config_view.h"
#include "declared/control/follow/renewal_barrier.h"
#include "declared/follow/follow_client.h"

namespace cairnhollow::declared::control {

/// `client` and `runtime` are not owned and must outlive this object.
class FollowedConfig : public ConfigView {
 public:
  FollowedConfig(runtime::Runtime& runtime, const follow::FollowClient& client,
                 wire::Format feature_level = wire::kWrittenFormat)
      : client_(client), feature_level_(feature_level), changed_(runtime) {}

  /// Must be called with the effect of each answer that the client applied.
  void record_answer(const follow::AnswerEffect& effect);

  [[nodiscard]] std::uint64_t revision() const override { return client_.current().revision; }
  [[nodiscard]] std::vector<config::StoredObject> objects() const override;
  [[nodiscard]] std::optional<config::ConfigChanges> changes_since(std::uint64_t revision) const override;
  [[nodiscard]] wire::Format feature_level() const override { return feature_level_; }
  runtime::Signal& changed() override { return changed_; }

 private:
  const follow::FollowClient& client_;
  wire::Format feature_level_;
  BatchHistory history_;
  std::uint64_t recorded_revision_ = 0;
  runtime::Signal changed_;
};

/// Renewal barrier of a relay: one request to the upstream control node covers all waiting followers.
/// `client` is not owned and must outlive this object.
class FollowBarrier : public RenewalBarrier {
 public:
  explicit FollowBarrier(follow::FollowClient& client) : client_(client) {}
  Awaitable<bool> wait(TimePoint deadline, Reason& reason) override {
    const bool renewed = co_await client_.renew(deadline, reason);
    co_return renewed;
  }

 private:
  follow::FollowClient& client_;
};

}  // namespace cairnhollow::declared::control
