// A proxy (or relay) follows a control node: it asks, the control node answers after a quorum round that
// began after the question arrived. The answer renews the proxy's serving lease, counted by the proxy
// from when it asked.
#pragma once

#include <variant>
#include <vector>

#include "base/types.h"
#include "declared/config/changes.h"
#include "wire/codec.h"

namespace cairnhollow::declared::follow {

/// What is known of one database group now. A higher term replaces a lower one; within a term the
/// primary never changes. Not part of the replicated configuration: safety is the group's own.
struct GroupState {
  GroupName group;
  std::uint64_t term = 0;
  BackendName primary;  ///< empty while no primary of `term` is known

  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, term, primary);
  }
};

/// A proxy saw a write fail or a term pass by; starts a probe of the group at once.
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
  std::uint64_t nonce = 0;         ///< echoed; the proxy drops answers to older questions
  std::uint64_t revision = 0;      ///< the configuration revision the proxy has; 0 for none
  std::uint64_t news_version = 0;  ///< the answering node's news version seen last; 0 for none
  Duration hold{0};                ///< how long the node may keep the question open while it has nothing new
  std::vector<SuspectPrimary> suspects;
  std::uint64_t in_flight = 0;  ///< statements being served, for status
  bool draining = false;

  template <class Archive>
  void serialize(Archive& archive) {
    auto hold_nanoseconds = hold.count();
    archive(nonce, revision, news_version, hold_nanoseconds, suspects, in_flight, draining);
    hold = Duration(hold_nanoseconds);
  }
};

/// What changed since the revision and news version asked for. Encoded once for all followers that asked
/// from the same place.
struct FollowUpdate {
  std::variant<config::ConfigChanges, config::ConfigSnapshot> configuration;
  bool has_news = false;             ///< whether `groups` and `leaving` say anything
  std::vector<GroupState> groups;    ///< changed since the news version asked for
  std::vector<std::string> leaving;  ///< names of machines that the platform lists as leaving (whole list)

  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration, has_news, groups, leaving);
  }
};

struct FollowAnswer {
  std::uint64_t nonce = 0;
  std::uint64_t revision = 0;  ///< the configuration is complete up to here
  Duration lease{0};           ///< the proxy may serve until (time it asked + lease) on its own clock
  std::uint64_t news_version = 0;
  std::string update;  ///< an encoded FollowUpdate; empty: nothing changed
  /// Set: no lease. Try another control node; but after kOverloaded, a follower without a configuration comes
  /// back to this one, which is busy with others' first configurations.
  std::optional<Reason> refusal;

  template <class Archive>
  void serialize(Archive& archive) {
    auto lease_nanoseconds = lease.count();
    archive(nonce, revision, lease_nanoseconds, news_version, update, refusal);
    lease = Duration(lease_nanoseconds);
  }
};

}  // namespace cairnhollow::declared::follow
