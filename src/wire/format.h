// Format versions of messages and records. docs/design/formats.md explains how to add a field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cairnhollow::wire {

/// A later format only adds fields to an earlier one.
using Format = std::uint32_t;

/// Used by builds whose routes lack replica_wait_milliseconds.
inline constexpr Format kEarliestFormat = 1;
/// Adds replica_wait_milliseconds to routes. Messages in this format or the earlier one do not identify their
/// format.
inline constexpr Format kReplicaWaitFormat = 2;
/// Messages in this and later formats begin with a format mark. Adds the range of protocol versions to Hello.
inline constexpr Format kMarkedFormat = 3;
/// Adds tenants with keys and limits, routes that need no key, and the caller's key in forwarded statements.
inline constexpr Format kTenantsFormat = 4;

/// Adds backend start times and warm-up times, evacuation of zones, and the allowed regions of routes and
/// tenants.
inline constexpr Format kPlacementFormat = 5;

/// Adds evidence for promotions: departed members and the start of a term. Adds the group that ran a
/// forwarded statement to its answer.
inline constexpr Format kEvidenceFormat = 6;

/// Adds promotion requests whose outcome is not known.
inline constexpr Format kPromotionsFormat = 7;

/// Adds the document version to forwarded statements.
inline constexpr Format kForwardedVersionFormat = 8;

/// The latest format that this build can read.
inline constexpr Format kNewestFormat = kForwardedVersionFormat;
/// The format written unless another one was negotiated. Must be readable by the previous build, so that
/// builds can be mixed and an upgrade can be rolled back.
inline constexpr Format kWrittenFormat = kReplicaWaitFormat;

/// Returns the format of messages between nodes of a registered fleet. Without tenants, earlier builds can
/// read it too. Messages that may need a later format are written by encode_from() starting at this one.
constexpr Format format_with_tenants(bool has_tenants) {
  return has_tenants ? kTenantsFormat : kWrittenFormat;
}

/// Returns the prefix that marks a message of this format.
std::string format_mark(Format format);

/// Returns the format named by the mark at the start of `bytes`, or std::nullopt if there is no mark.
std::optional<Format> marked_format(std::string_view bytes);

/// Returns an explanation and remedy if `bytes` are marked with a format that this build cannot read.
std::optional<std::string> unreadable_format(std::string_view bytes);

/// Serializes a field added by `format`. In messages of earlier formats it has the value `earlier`.
template <class Archive, class Field>
void since(Archive& archive, Format format, Field& field, const Field& earlier) {
  if (archive.format() >= format) {
    archive(field);
  } else {
    archive.handle_absent_field(field, earlier);
  }
}

}  // namespace cairnhollow::wire
