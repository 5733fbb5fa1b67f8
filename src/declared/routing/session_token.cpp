#include "declared/routing/session_token.h"

#include <xxhash.h>

#include <algorithm>

#include "declared/routing/base64url.h"
#include "wire/codec.h"

namespace cairnhollow::declared::routing {

namespace {

constexpr char kTokenVersion = 2;
constexpr std::size_t kChecksumLength = 8;

std::string checksum_of(std::string_view bytes) {
  XXH64_canonical_t canonical;  // big endian, so that tokens are portable between machines
  XXH64_canonicalFromHash(&canonical, XXH64(bytes.data(), bytes.size(), 0));
  return {reinterpret_cast<const char*>(canonical.digest), kChecksumLength};
}

std::optional<SessionToken> refuse(std::string detail, Reason& reason) {
  reason = Reason{ReasonCode::kCorrupt, "decode_session_token", "", std::move(detail)};
  return std::nullopt;
}

/// Removes `count` bytes from the front. Returns false if there are fewer.
bool skip(std::string_view& bytes, std::uint64_t count) {
  if (count > bytes.size()) return false;
  bytes.remove_prefix(count);
  return true;
}

/// Removes a length in cereal's portable form (eight bytes, little endian) from the front.
bool skip_length(std::string_view& bytes, std::uint64_t& length) {
  const auto text = bytes.substr(0, sizeof(length));
  if (!skip(bytes, sizeof(length))) return false;
  length = 0;
  for (std::size_t left = text.size(); left > 0; --left) {
    length = length * 256 + static_cast<unsigned char>(text[left - 1]);
  }
  return true;
}

/// Whether every length in the encoded token lies within it. Tokens are untrusted input, and cereal would
/// allocate whatever length they declare.
bool lengths_fit(std::string_view encoded) {
  constexpr std::uint64_t kPositionLength = 2 * sizeof(std::uint64_t);
  constexpr char kLittleEndian = 1;
  std::uint64_t groups = 0;
  if (encoded.empty() || encoded.front() != kLittleEndian || !skip(encoded, 1)) return false;
  if (!skip_length(encoded, groups) || groups > kMaximumTokenGroups) return false;
  for (std::uint64_t group = 0; group < groups; ++group) {
    std::uint64_t name_length = 0;
    if (!skip_length(encoded, name_length) || !skip(encoded, name_length)) return false;
    if (!skip(encoded, kPositionLength)) return false;
  }
  constexpr std::size_t kFlagLength = 1;
  return encoded.size() == kFlagLength;
}

/// A "domain/name" group name split at the slash; `domain` is empty if the name has none.
struct QualifiedName {
  std::string_view domain;
  std::string_view name;
};

QualifiedName split(const GroupName& group) {
  const std::string_view text = group.value;
  const auto slash = text.rfind('/');
  if (slash == std::string_view::npos) return {{}, text};
  return {text.substr(0, slash), text.substr(slash + 1)};
}

}  // namespace

void SessionToken::observe(const GroupName& group, Position position) {
  const auto known = positions.find(group);
  if (known != positions.end()) {
    known->second = std::max(known->second, position);
    return;
  }
  if (positions.size() >= kMaximumTokenGroups) {
    // The group just observed is the most likely to be read next, so another group is evicted.
    positions.erase(positions.begin());
    complete = false;
  }
  positions.emplace(group, position);
}

std::optional<Position> SessionToken::required(const GroupName& group) const {
  const auto wanted = split(group);
  std::optional<Position> own;
  std::optional<Position> of_other_domains;
  for (const auto& [name, position] : positions) {
    const auto known = split(name);
    if (known.name != wanted.name) continue;
    const bool may_be_same = known.domain == wanted.domain || known.domain.empty() || wanted.domain.empty();
    auto& highest = may_be_same ? own : of_other_domains;
    highest = std::max(highest.value_or(Position{}), position);
  }
  // The higher position belongs to a group of another domain, or to this group under a former name of its
  // domain. The two cases cannot be distinguished.
  if (of_other_domains && *of_other_domains > own.value_or(Position{})) return std::nullopt;
  if (own) return own;
  return complete ? std::optional<Position>(Position{}) : std::nullopt;
}

std::string encode_session_token(const SessionToken& token) {
  std::string bytes(1, kTokenVersion);
  bytes += wire::encode(token);
  bytes += checksum_of(bytes);
  return encode_base64url(bytes);
}

std::optional<SessionToken> decode_session_token(std::string_view text, Reason& reason) {
  if (text.size() > kMaximumTokenLength) return refuse("longer than the maximum token length", reason);
  const auto bytes = decode_base64url(text);
  if (!bytes) return refuse("not valid base64url", reason);
  if (bytes->size() <= 1 + kChecksumLength)
    return refuse("too short for a version, content and checksum", reason);
  const std::string_view content(bytes->data(), bytes->size() - kChecksumLength);
  const std::string_view checksum(bytes->data() + content.size(), kChecksumLength);
  if (checksum != checksum_of(content)) return refuse("checksum does not match", reason);
  if (content.front() != kTokenVersion) return refuse("unsupported token version", reason);
  if (!lengths_fit(content.substr(1))) return refuse("a declared length exceeds the token", reason);
  return wire::decode<SessionToken>(std::string(content.substr(1)), reason);
}

}  // namespace cairnhollow::declared::routing
