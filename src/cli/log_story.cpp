#include "cli/log_story.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <optional>
#include <set>

#include "registered/placement/rejection_reason.h"

namespace cairnhollow::cli {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMicroseconds = 1'000'000;
/// What was believed so long before the request's first line may have decided it; what came so soon after its
/// last one tells how it went on.
constexpr std::int64_t kBefore = 3 * kMicroseconds;
constexpr std::int64_t kAfter = kMicroseconds;
/// Fields that say where a line comes from, not what it says.
const std::set<std::string> kOrigin{"time", "level", "program", "node", "zone", "event"};
/// Lines about other requests.
constexpr const char* kRequestField = "id";

std::string text_of(const json::value& value) {
  if (const auto* text = value.if_string()) return std::string(*text);
  return json::serialize(value);
}

/// Microseconds of the day of "2026-09-20T11:47:48.845695Z"; empty when the text is no such time.
std::optional<std::int64_t> moment_of(const std::string& time) {
  unsigned day = 0;
  unsigned hour = 0;
  unsigned minute = 0;
  unsigned second = 0;
  unsigned fraction = 0;
  const int read =
      std::sscanf(time.c_str(), "%*u-%*u-%2uT%2u:%2u:%2u.%6uZ", &day, &hour, &minute, &second, &fraction);
  if (read != 5) return std::nullopt;
  const std::int64_t seconds = ((std::int64_t{day} * 24 + hour) * 60 + minute) * 60 + second;
  return seconds * kMicroseconds + fraction;
}

std::optional<LogEvent> read_event(const std::string& line) {
  const auto begin = line.find('{');
  if (begin == std::string::npos) return std::nullopt;
  boost::system::error_code error;
  const json::value value = json::parse(std::string_view(line).substr(begin), error);
  if (error || !value.is_object()) return std::nullopt;
  LogEvent event;
  for (const auto& [name, field] : value.get_object()) {
    const std::string key(name);
    if (key == "time") event.time = text_of(field);
    if (key == "node") event.node = text_of(field);
    if (key == "event") event.event = text_of(field);
    if (kOrigin.count(key) == 0) event.fields.emplace_back(key, text_of(field));
  }
  if (event.event.empty() || !moment_of(event.time)) return std::nullopt;
  return event;
}

/// What the story is about, as the lines that name the request tell.
struct Subject {
  std::set<std::string> nodes;
  std::set<std::string> groups;
  std::int64_t from = 0;
  std::int64_t to = 0;
};

Subject subject_of(const std::vector<const LogEvent*>& own) {
  Subject subject;
  for (const LogEvent* event : own) {
    subject.nodes.insert(event->node);
    if (const std::string group = event->field("group"); !group.empty()) subject.groups.insert(group);
    const std::int64_t at = *moment_of(event->time);
    subject.from = subject.from == 0 ? at : std::min(subject.from, at);
    subject.to = std::max(subject.to, at);
  }
  return subject;
}

bool belongs(const LogEvent& event, const Subject& subject) {
  const std::int64_t at = *moment_of(event.time);
  if (at < subject.from - kBefore || at > subject.to + kAfter) return false;
  if (!event.field(kRequestField).empty()) return false;
  const std::string group = event.field("group");
  if (!group.empty()) return subject.groups.count(group) > 0;
  return subject.nodes.count(event.node) > 0;
}

/// Why a proxy refused the request by itself, in words; empty when it did not.
std::string refusal_in_words(const LogEvent& event) {
  const auto since = registered::placement::find_rejection(event.field("since"));
  if (!since) return {};
  std::string text = fmt::format("{:14}refused since {}", "", registered::placement::rejection_text(*since));
  const std::string retry_after = event.field("back_in_ms");
  if (!retry_after.empty()) text += fmt::format("; to come back in {} ms", retry_after);
  const std::string passed_over = event.field("passed_over");
  if (!passed_over.empty()) text += fmt::format("; backends passed over: {}", passed_over);
  const std::string gate = event.field("gate");
  if (!gate.empty())
    text += fmt::format("; at the backend's gate {}, with {} ahead and {} ms to wait", gate,
                        event.field("ahead"), event.field("expected_wait_ms"));
  return text + '\n';
}

}  // namespace

std::string LogEvent::field(const std::string& name) const {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [&](const auto& field) { return field.first == name; });
  return found == fields.end() ? std::string() : found->second;
}

void LogReader::read(std::istream& lines) {
  std::string line;
  while (std::getline(lines, line)) {
    if (line.empty()) continue;
    ++lines_;
    auto event = read_event(line);
    if (event) events_.push_back(std::move(*event));
    if (!event) ++unreadable_;
  }
}

LogStory LogReader::story_of(const std::string& request_id) const {
  LogStory story;
  story.lines = lines_;
  story.unreadable = unreadable_;
  std::vector<const LogEvent*> own;
  for (const LogEvent& event : events_) {
    if (event.field(kRequestField) == request_id) own.push_back(&event);
  }
  story.own = own.size();
  if (own.empty()) return story;
  const Subject subject = subject_of(own);
  for (const LogEvent& event : events_) {
    const bool is_own = event.field(kRequestField) == request_id;
    if (is_own || belongs(event, subject)) story.events.push_back(event);
  }
  std::stable_sort(story.events.begin(), story.events.end(),
                   [](const LogEvent& one, const LogEvent& other) { return one.time < other.time; });
  for (const LogEvent& event : story.events) {
    if (!event.field("left_out").empty()) ++story.left_out;
  }
  return story;
}

std::string print_story(const LogStory& story, const std::string& request_id) {
  if (story.own == 0) {
    return fmt::format(
        "{}: none of {} lines names it ({} could not be read). Requests that succeed in time are counted, "
        "not logged; "
        "else a log is missing.\n",
        request_id, story.lines, story.unreadable);
  }
  const auto first = std::find_if(story.events.begin(), story.events.end(), [&](const LogEvent& event) {
    return event.field(kRequestField) == request_id;
  });
  const std::int64_t begin = *moment_of(first->time);
  std::string text =
      fmt::format("{}: {} lines name it; its first at {}\n", request_id, story.own, first->time);
  for (const LogEvent& event : story.events) {
    const bool is_own = event.field(kRequestField) == request_id;
    const double offset = static_cast<double>(*moment_of(event.time) - begin) / 1000.0;
    text += fmt::format("{} {:+10.1f} ms  {:<18} {}", is_own ? '>' : ' ', offset, event.node, event.event);
    for (const auto& [name, value] : event.fields) {
      if (!value.empty() && name != kRequestField) text += fmt::format("  {}={}", name, value);
    }
    text += '\n';
    if (is_own) text += refusal_in_words(event);
  }
  if (story.left_out > 0)
    text += fmt::format("{} of these lines say that others of their event were left out in that second\n",
                        story.left_out);
  if (story.unreadable > 0) text += fmt::format("{} lines could not be read\n", story.unreadable);
  return text;
}

}  // namespace cairnhollow::cli
