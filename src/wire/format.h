// Formats: in which version of its types a message or record is written. docs/design/formats.md says how a
// field is added.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cairnhollow::wire {

/// A later format adds fields to an earlier one, nothing else.
using Format = std::uint32_t;

/// Of builds before routes had replica_wait_milliseconds.
inline constexpr Format kEarliestFormat = 1;
/// Routes have replica_wait_milliseconds. This format and the one before do not say which of them they are.
inline constexpr Format kReplicaWaitFormat = 2;
/// From here on a message says its format. Hello has the range of protocol versions.
inline constexpr Format kMarkedFormat = 3;
/// The document has tenants with keys and limits, and routes that need no key; forwarded statements carry the
/// caller's key.
inline constexpr Format kTenantsFormat = 4;

/// Backends tell when they started and how long they stay cold; zones can be evacuated; routes and tenants
/// name the regions they allow.
inline constexpr Format kPlacesFormat = 5;

/// The latest that this build reads.
inline constexpr Format kNewestFormat = kPlacesFormat;
/// What this build writes where nothing else was agreed on. Not above what the build before reads, so that
/// builds can be mixed and an upgrade can be taken back.
inline constexpr Format kWrittenFormat = kReplicaWaitFormat;

/// Of messages between nodes of a registered fleet: without tenants as builds before them read it, too. What
/// may need a later one is written by encode_from() from here on.
constexpr Format format_with_tenants(bool has_tenants) {
  return has_tenants ? kTenantsFormat : kWrittenFormat;
}

/// What stands before a message of this format.
std::string format_mark(Format format);

/// The format that the mark at the start of `bytes` names; empty when there is none.
std::optional<Format> marked_format(std::string_view bytes);

/// Set when `bytes` say a format that this build can't read: which one, and what to do.
std::optional<std::string> unreadable_format(std::string_view bytes);

/// A field that was added by `format`. In messages of earlier formats it has the value `earlier`.
template <class Archive, class Field>
void since(Archive& archive, Format format, Field& field, const Field& earlier) {
  if (archive.format() >= format) {
    archive(field);
  } else {
    archive.take_absent(field, earlier);
  }
}

}  // namespace cairnhollow::wire
