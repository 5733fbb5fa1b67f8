// Encodes what changed since a follower's last answer, once for all followers at the same place.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "declared/control/follow/config_view.h"
#include "declared/control/news/cluster_state_directory.h"

namespace cairnhollow::declared::control {

/// `configuration` and `directory` outlive it.
class UpdateEncoder {
 public:
  UpdateEncoder(const ConfigView& configuration, const ClusterStateDirectory& directory)
      : configuration_(configuration), directory_(directory) {}

  /// An encoded FollowUpdate that brings a follower from (revision, news version) to the present; empty
  /// when nothing changed. The reference holds until the next call.
  const std::string& update_since(std::uint64_t revision, std::uint64_t news_version);

  /// How many updates were encoded, for tests and metrics.
  [[nodiscard]] std::uint64_t encoded() const { return encoded_; }

 private:
  struct Place {
    std::uint64_t revision = 0;
    std::uint64_t news_version = 0;
    auto operator<=>(const Place&) const = default;
  };

  std::string encode_since(const Place& from);

  const ConfigView& configuration_;
  const ClusterStateDirectory& directory_;
  Place present_;
  std::map<Place, std::string> updates_;  ///< from each place to `present_`
  std::uint64_t encoded_ = 0;
};

}  // namespace cairnhollow::declared::control
