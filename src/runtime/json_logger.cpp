#include "runtime/json_logger.h"

#include <poll.h>
#include <unistd.h>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <ctime>
#include <iterator>

namespace cairnhollow::runtime {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::string_view kReplacementCharacter = "\xEF\xBF\xBD";

/// Returns the length in bytes of the UTF-8 sequence at the start of `text` (RFC 3629), or 0 if it is
/// invalid.
std::size_t utf8_sequence_length(std::string_view text) {
  const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(text[index]); };
  const unsigned char first = byte(0);
  if (first < 0x80) return 1;
  std::size_t length = 0;
  if (first >= 0xC2 && first <= 0xDF) length = 2;
  if (first >= 0xE0 && first <= 0xEF) length = 3;
  if (first >= 0xF0 && first <= 0xF4) length = 4;
  if (length == 0 || text.size() < length) return 0;
  for (std::size_t index = 1; index < length; ++index) {
    if ((byte(index) & 0xC0) != 0x80) return 0;
  }
  const bool overlong = (first == 0xE0 && byte(1) < 0xA0) || (first == 0xF0 && byte(1) < 0x90);
  const bool surrogate = first == 0xED && byte(1) >= 0xA0;
  const bool beyond_unicode = first == 0xF4 && byte(1) >= 0x90;
  return overlong || surrogate || beyond_unicode ? 0 : length;
}

void append_ascii(std::string& line, char character) {
  switch (character) {
    case '"':
      line += "\\\"";
      return;
    case '\\':
      line += "\\\\";
      return;
    case '\n':
      line += "\\n";
      return;
    default:
      break;
  }
  const auto code = static_cast<unsigned char>(character);
  if (code < 0x20 || code == 0x7F) {
    fmt::format_to(std::back_inserter(line), "\\u{:04x}", code);
  } else {
    line += character;
  }
}

void append_field(std::string& line, std::string_view name, std::string_view value) {
  line += ',';
  append_json_string(line, name);
  line += ':';
  append_json_string(line, value);
}

void append_time(std::string& line, std::int64_t microseconds) {
  const std::time_t seconds = microseconds / kMicrosecondsPerSecond;
  fmt::format_to(std::back_inserter(line), "{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(seconds),
                 microseconds % kMicrosecondsPerSecond);
}

void append_reason(std::string& line, const Reason& reason) {
  if (!reason.step.empty()) append_field(line, "step", reason.step);
  if (!reason.peer.empty()) append_field(line, "peer", reason.peer);
  append_field(line, "reason", reason_code_name(reason.code));
  if (!reason.detail.empty()) append_field(line, "detail", reason.detail);
}

}  // namespace

LogSink standard_output_sink() {
  return [](std::string_view line) {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) return;
    // poll() reports a pipe as writable only if it has room for PIPE_BUF bytes; lines are shorter.
    [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
  };
}

std::string_view log_level_name(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

void append_json_string(std::string& line, std::string_view text) {
  line += '"';
  while (!text.empty()) {
    const std::size_t length = utf8_sequence_length(text);
    if (length == 1) append_ascii(line, text.front());
    if (length == 0) line += kReplacementCharacter;
    if (length > 1) line += text.substr(0, length);
    text.remove_prefix(length == 0 ? 1 : length);
  }
  line += '"';
}

JsonLogger::JsonLogger(const LogIdentity& identity, LogLevel lowest, WallClock wall_clock, LogSink sink)
    : lowest_(lowest), wall_clock_(std::move(wall_clock)), sink_(std::move(sink)) {
  append_field(identity_fields_, "program", identity.program);
  append_field(identity_fields_, "node", identity.node);
  append_field(identity_fields_, "zone", identity.zone);
}

void JsonLogger::log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  write(level, event, nullptr, fields);
}

void JsonLogger::log(LogLevel level, std::string_view event, const Reason& reason,
                     std::initializer_list<LogField> fields) {
  write(level, event, &reason, fields);
}

void JsonLogger::write(LogLevel level, std::string_view event, const Reason* reason,
                       std::initializer_list<LogField> fields) {
  if (!is_enabled(level)) return;
  const std::int64_t now = wall_clock_();
  const auto suppressed = limiter_.admit(event, now);
  if (!suppressed) return;
  std::string line = "{\"time\":\"";
  append_time(line, now);
  line += '"';
  append_field(line, "level", log_level_name(level));
  line += identity_fields_;
  append_field(line, "event", event);
  if (reason != nullptr) append_reason(line, *reason);
  for (const LogField& field : fields) append_field(line, field.name, field.value);
  if (*suppressed > 0) append_field(line, "left_out", std::to_string(*suppressed));
  line += "}\n";
  sink_(line);
}

}  // namespace cairnhollow::runtime
