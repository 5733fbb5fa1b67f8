// What a client session has seen: the highest position per database group. The caller carries it from
// answer to request, to any proxy, so proxies keep no state for a session (session guarantees: Terry et
// al., PDIS 1994).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/reason.h"
#include "base/types.h"

namespace cairnhollow::declared::routing {

/// Groups kept in one token; more are dropped, and the reads of groups that the token does not name then go
/// to the primary.
inline constexpr std::size_t kMaximumTokenGroups = 48;
/// Longest text that is read as a token.
inline constexpr std::size_t kMaximumTokenLength = 4096;

struct SessionToken {
  std::map<GroupName, Position> positions;
  bool complete = true;  ///< false: a group was dropped, so that one not named may have been seen

  /// Raises the group's position to `position` if it is higher.
  void observe(const GroupName& group, Position position);
  /// What a read of the group must see: the zero position when the session has seen nothing of it (callers
  /// send the token of their last answer, which names all that they have seen); empty when it cannot be told.
  /// While proxies' settings change, one group may be named "records" and "north/records": its highest
  /// position counts. A higher one of "south/records" leaves it untold, for south may be an earlier name of
  /// north.
  [[nodiscard]] std::optional<Position> required(const GroupName& group) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(positions, complete);
  }
};

/// base64url of: version byte, cereal content, XXH64 of both. At most kMaximumTokenLength characters
/// when group names are at most 40 characters long.
std::string encode_session_token(const SessionToken& token);
/// Empty with kCorrupt when the text is no whole token of this version; treat it as no token.
std::optional<SessionToken> decode_session_token(std::string_view text, Reason& reason);

}  // namespace cairnhollow::declared::routing
