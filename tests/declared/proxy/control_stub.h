// Stand-in for a control node in proxy tests: serves one configuration and one list of primaries to every
// follower, and grants leases while it answers.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "declared/config/objects.h"
#include "declared/follow/messages.h"
#include "runtime/role.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::declared::proxy {

class ControlStub : public runtime::Role {
 public:
  ControlStub(runtime::Runtime& runtime, Endpoint endpoint);

  Awaitable<bool> start(Reason& reason) override;
  Awaitable<void> drain() override;

  /// Writes the objects in one revision and notifies the followers.
  void put(std::vector<config::Object> objects);
  void set_primary(const GroupName& group, std::uint64_t term, const BackendName& primary);
  void set_leaving(std::vector<std::string> names);
  /// False: requests are left unanswered, so that leases expire.
  void set_answering(bool answering) { answering_ = answering; }

  [[nodiscard]] const std::vector<follow::SuspectPrimary>& suspects() const { return suspects_; }
  [[nodiscard]] bool saw_draining() const { return saw_draining_; }

 private:
  Awaitable<void> accept();
  Awaitable<void> serve(std::shared_ptr<runtime::FrameConnection> connection);
  Awaitable<bool> answer(std::shared_ptr<runtime::FrameConnection> connection,
                         follow::FollowRequest question);
  [[nodiscard]] std::string update() const;

  runtime::Runtime& runtime_;
  Endpoint endpoint_;
  std::unique_ptr<runtime::FrameListener> listener_;
  std::map<config::ObjectKey, config::StoredObject> objects_;
  std::map<GroupName, follow::GroupState> groups_;
  std::vector<std::string> leaving_;
  std::vector<follow::SuspectPrimary> suspects_;
  std::uint64_t revision_ = 0;
  std::uint64_t news_version_ = 1;
  runtime::Signal changed_;
  bool answering_ = true;
  bool saw_draining_ = false;
};

}  // namespace cairnhollow::declared::proxy
