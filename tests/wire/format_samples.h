// Samples of every durable record and every message between processes, for the format tests.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"

namespace cairnhollow::tests {

/// `name` is also the name of the file in tests/fixtures/formats with the bytes.
struct FormatSample {
  std::string name;
  std::string bytes;  ///< as written by this build
  /// Decodes bytes of this type and encodes the result. Returns std::nullopt and sets the reason if they are
  /// refused.
  std::function<std::optional<std::string>(const std::string& bytes, Reason& reason)> round_trip;
};

/// The samples of a registered fleet; included in format_samples().
std::vector<FormatSample> registered_samples();

/// One sample of each type that is sent over a connection or stored, with every alternative of its variants.
std::vector<FormatSample> format_samples();

}  // namespace cairnhollow::tests
