// Session token: the highest position that a client session has seen per database group. The caller carries
// it from answer to request, to any proxy, so proxies keep no session state (session guarantees: Terry et
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

/// Maximum number of groups in a token. Beyond it a group is dropped to make room, and reads of groups
/// missing from an incomplete token go to the primary.
inline constexpr std::size_t kMaximumTokenGroups = 48;
/// Maximum length of an encoded token in characters.
inline constexpr std::size_t kMaximumTokenLength = 4096;

struct SessionToken {
  std::map<GroupName, Position> positions;
  bool complete = true;  ///< false if a group was dropped, so that a missing group may have been seen

  /// Raises the group's position to `position` if it is higher.
  void observe(const GroupName& group, Position position);
  /// The position that a read of the group must see. Zero if the session has not seen the group: callers send
  /// the token of their last answer, which names every group they have seen. Returns std::nullopt if it
  /// cannot be determined.
  /// While proxy settings change, one group may be named both "records" and "north/records"; the highest
  /// position applies. If "south/records" has a higher position, the result is undetermined, because south
  /// may be a former name of north.
  [[nodiscard]] std::optional<Position> required(const GroupName& group) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(positions, complete);
  }
};

/// Returns base64url of the version byte, the cereal content and the XXH64 of both. At most
/// kMaximumTokenLength characters if group names have at most 40 characters.
std::string encode_session_token(const SessionToken& token);
/// Returns std::nullopt with kCorrupt if the text is not a complete token of this version; treat it as no
/// token.
std::optional<SessionToken> decode_session_token(std::string_view text, Reason& reason);

}  // namespace cairnhollow::declared::routing
