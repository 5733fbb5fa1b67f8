// Messages of the follow protocol: a proxy or relay sends requests, and the control node answers each after a
// quorum round that began after its arrival. The answer renews the follower's serving lease, which counts
// from when the follower sent the request.
#pragma once

#include <variant>
#include <vector>

#include "base/types.h"
#include "declared/config/changes.h"
#include "wire/codec.h"

namespace cairnhollow::declared::follow {

/// Latest known state of a database group. A higher term replaces a lower one; within a term the primary
/// never changes. Not part of the replicated configuration: the group itself ensures its safety.
struct GroupState {
  GroupName group;
  std::uint64_t term = 0;
  BackendName primary;  ///< empty if no primary of `term` is known

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, term, primary);
  }
};

/// Report that a proxy saw a write fail or a newer term; triggers a probe of the group at once.
struct SuspectPrimary {
  GroupName group;
  BackendName backend;
  std::uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, backend, term);
  }
};

struct FollowRequest {
  std::uint64_t nonce = 0;         ///< echoed in the answer; the proxy drops answers to older requests
  std::uint64_t revision = 0;      ///< configuration revision held by the proxy; 0 if none
  std::uint64_t news_version = 0;  ///< last news version received from the answering node; 0 if none
  Duration hold{0};                ///< how long the node may hold the request while it has nothing new
  std::vector<SuspectPrimary> suspects;
  std::uint64_t in_flight = 0;  ///< statements in progress, for status
  bool draining = false;

  template <class Archive>
  void serialize(Archive& archive) {
    auto hold_nanoseconds = hold.count();
    archive(nonce, revision, news_version, hold_nanoseconds, suspects, in_flight, draining);
    hold = Duration(hold_nanoseconds);
  }
};

/// Changes since the revision and news version in the request. Encoded once for all followers at the same
/// versions.
struct FollowUpdate {
  std::variant<config::ConfigChanges, config::ConfigSnapshot> configuration;
  bool has_news = false;             ///< whether `groups` and `leaving` are set
  std::vector<GroupState> groups;    ///< changed since the news version in the request
  std::vector<std::string> leaving;  ///< all machines that the platform lists as leaving

  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration, has_news, groups, leaving);
  }
};

struct FollowAnswer {
  std::uint64_t nonce = 0;
  std::uint64_t revision = 0;  ///< the configuration is complete up to this revision
  Duration lease{0};  ///< the proxy may serve until (time it sent the request + lease) on its own clock
  std::uint64_t news_version = 0;
  std::string update;  ///< an encoded FollowUpdate; empty if nothing changed
  /// If set, no lease is granted and the follower should try another control node. Exception: after
  /// kOverloaded, a follower without a configuration retries at this node, which is busy with other first
  /// configurations.
  std::optional<Reason> refusal;

  template <class Archive>
  void serialize(Archive& archive) {
    auto lease_nanoseconds = lease.count();
    archive(nonce, revision, lease_nanoseconds, news_version, update, refusal);
    lease = Duration(lease_nanoseconds);
  }
};

}  // namespace cairnhollow::declared::follow
