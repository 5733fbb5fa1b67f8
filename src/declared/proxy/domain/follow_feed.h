// Adapts the follow client to the interface that the proxy's serving state uses.
#pragma once

#include "declared/follow/follow_client.h"
#include "declared/proxy/domain/serving_state.h"

namespace cairnhollow::declared::proxy {

/// `client` is not owned and must outlive this object.
class FollowFeed : public FollowSource {
 public:
  explicit FollowFeed(follow::FollowClient& client) : client_(client) {}

  [[nodiscard]] std::uint64_t revision() const override { return client_.current().revision; }
  [[nodiscard]] const std::map<config::ObjectKey, config::StoredObject>& objects() const override {
    return client_.current().objects;
  }
  [[nodiscard]] const std::map<GroupName, follow::GroupState>& groups() const override {
    return client_.current().groups;
  }
  [[nodiscard]] const std::set<std::string>& leaving() const override { return client_.current().leaving; }
  [[nodiscard]] bool lease_valid(TimePoint now) const override { return client_.lease_valid(now); }
  [[nodiscard]] const Reason& last_failure() const override { return client_.last_failure(); }
  void report_suspect(follow::SuspectPrimary suspect) override { client_.report_suspect(std::move(suspect)); }

 private:
  follow::FollowClient& client_;
};

}  // namespace cairnhollow::declared::proxy
