// Encodes the updates for followers, once for all followers at the same revision and news version.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "declared/control/follow/config_view.h"
#include "declared/control/news/cluster_state_directory.h"

namespace cairnhollow::declared::control {

/// `configuration` and `directory` are not owned and must outlive this object.
class UpdateEncoder {
 public:
  UpdateEncoder(const ConfigView& configuration, const ClusterStateDirectory& directory)
      : configuration_(configuration), directory_(directory) {}

  /// Returns an encoded FollowUpdate that brings a follower from (revision, news version) to the current
  /// state; empty if nothing changed. The reference is valid until the next call.
  const std::string& update_since(std::uint64_t revision, std::uint64_t news_version);

  /// Number of updates encoded so far, for tests and metrics.
  [[nodiscard]] std::uint64_t encoded() const { return encoded_; }

 private:
  struct StateVersion {
    std::uint64_t revision = 0;
    std::uint64_t news_version = 0;
    auto operator<=>(const StateVersion&) const = default;
  };

  std::string encode_since(const StateVersion& from);

  const ConfigView& configuration_;
  const ClusterStateDirectory& directory_;
  StateVersion current_;
  std::map<StateVersion, std::string> updates_;  ///< keyed by start; each leads to `current_`
  std::uint64_t encoded_ = 0;
};

}  // namespace cairnhollow::declared::control
