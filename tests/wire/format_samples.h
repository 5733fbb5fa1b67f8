// One sample of every durable record and every message between our processes, for the tests of their formats.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"

namespace cairnhollow::tests {

/// `name` is also that of the file in tests/fixtures/formats that holds the bytes.
struct FormatSample {
  std::string name;
  std::string bytes;  ///< as this build writes it
  /// Decodes bytes of this type and encodes what came of them; empty with the reason when they are refused.
  std::function<std::optional<std::string>(const std::string& bytes, Reason& reason)> read_again;
};

/// Those of a registered fleet; part of format_samples().
std::vector<FormatSample> registered_samples();

/// Each type that crosses a connection or outlives a process, with every alternative of its variants.
std::vector<FormatSample> format_samples();

}  // namespace cairnhollow::tests
