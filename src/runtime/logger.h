// Structured log with one JSON object per line. Must not contain callers' data.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/reason.h"

namespace cairnhollow::runtime {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// A named field of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

class Logger {
 public:
  virtual ~Logger() = default;
  /// Returns whether lines of this level are written. Lets callers skip computing expensive fields.
  [[nodiscard]] virtual bool is_enabled(LogLevel /*level*/) const { return true; }
  /// `event` is a stable snake_case name, e.g. "primary_promoted".
  virtual void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) = 0;
  /// Same as above, with the code, step, peer and detail of the reason as fields.
  virtual void log(LogLevel level, std::string_view event, const Reason& reason,
                   std::initializer_list<LogField> fields) = 0;
};

}  // namespace cairnhollow::runtime
