// Logger that writes JSON lines (one RFC 8259 object per line, UTF-8), formatted by fmt.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "runtime/log_limiter.h"
#include "runtime/logger.h"

namespace cairnhollow::runtime {

/// Fields present in every log line of a process.
struct LogIdentity {
  std::string program;
  std::string node;
  std::string zone;
};

/// Receives one complete line, including its newline.
using LogSink = std::function<void(std::string_view line)>;
/// Returns microseconds since the Unix epoch.
using WallClock = std::function<std::int64_t()>;

/// Returns a sink that writes each line to standard output in one write and never blocks: lines are
/// dropped while the reader does not keep up.
LogSink standard_output_sink();

/// Returns the lower-case name of a level, e.g. "warning".
std::string_view log_level_name(LogLevel level);

/// Appends `text` as a quoted JSON string. Bytes that are not valid UTF-8 are replaced by U+FFFD.
void append_json_string(std::string& line, std::string_view text);

/// Field order: time (RFC 3339, UTC), level, program, node, zone, event; then step, peer, reason and detail
/// if there is a Reason; then the caller's fields; then left_out if earlier lines of the event were
/// suppressed (LogLimiter). Empty fields of the Reason are omitted.
class JsonLogger : public Logger {
 public:
  JsonLogger(const LogIdentity& identity, LogLevel lowest, WallClock wall_clock, LogSink sink);

  [[nodiscard]] bool is_enabled(LogLevel level) const override { return level >= lowest_; }
  void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) override;
  void log(LogLevel level, std::string_view event, const Reason& reason,
           std::initializer_list<LogField> fields) override;

 private:
  void write(LogLevel level, std::string_view event, const Reason* reason,
             std::initializer_list<LogField> fields);

  std::string identity_fields_;  ///< encoded once, appended to every line
  LogLevel lowest_;
  WallClock wall_clock_;
  LogSink sink_;
  LogLimiter limiter_;
};

}  // namespace cairnhollow::runtime
