// Structured log: one JSON object a line. Never carries callers' data.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/reason.h"

namespace cairnhollow::runtime {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// One named field of a log line.
struct LogField {
  std::string_view name;
  std::string value;
};

class Logger {
 public:
  virtual ~Logger() = default;
  /// Whether lines of this level are written at all; for callers whose fields take time to make.
  [[nodiscard]] virtual bool writes(LogLevel /*level*/) const { return true; }
  /// `event` is a stable snake_case name, e.g. "primary_promoted".
  virtual void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) = 0;
  /// As log(), with the reason's code, step, peer and detail as fields.
  virtual void log(LogLevel level, std::string_view event, const Reason& reason,
                   std::initializer_list<LogField> fields) = 0;
};

}  // namespace cairnhollow::runtime
