// Log as JSON lines (one RFC 8259 object a line, UTF-8), written by fmt.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "runtime/log_limiter.h"
#include "runtime/logger.h"

namespace cairnhollow::runtime {

/// Fields that stand in every line of one process.
struct LogIdentity {
  std::string program;
  std::string node;
  std::string zone;
};

/// Takes one whole line, its newline included.
using LogSink = std::function<void(std::string_view line)>;
/// Microseconds since the Unix epoch.
using WallClock = std::function<std::int64_t()>;

/// Writes to standard output, one write a line, and never waits: a line that nobody takes is dropped.
LogSink standard_output_sink();

/// Lower-case name of a level, e.g. "warning".
std::string_view log_level_name(LogLevel level);

/// Appends `text` as a quoted JSON string. Bytes that are not UTF-8 become U+FFFD.
void append_json_string(std::string& line, std::string_view text);

/// Fields come in this order: time (RFC 3339, UTC), level, program, node, zone, event, then step, peer,
/// reason and detail when there is a Reason, then the caller's fields, then left_out where lines of the same
/// event were left out before (LogLimiter). Empty fields of the Reason are left out.
class JsonLogger : public Logger {
 public:
  JsonLogger(const LogIdentity& identity, LogLevel lowest, WallClock wall_clock, LogSink sink);

  [[nodiscard]] bool writes(LogLevel level) const override { return level >= lowest_; }
  void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) override;
  void log(LogLevel level, std::string_view event, const Reason& reason,
           std::initializer_list<LogField> fields) override;

 private:
  void write(LogLevel level, std::string_view event, const Reason* reason,
             std::initializer_list<LogField> fields);

  std::string identity_fields_;  ///< ready to append
  LogLevel lowest_;
  WallClock wall_clock_;
  LogSink sink_;
  LogLimiter limiter_;
};

}  // namespace cairnhollow::runtime
