// The story of one request out of the JSON lines that processes logged: what each of them decided about it,
// and what they came to believe meanwhile of its database group, of control and of themselves.
#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace cairnhollow::cli {

/// One log line.
struct LogEvent {
  std::string time;  ///< as logged, UTC; sorts as text
  std::string node;
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;  ///< the others, as logged
  [[nodiscard]] std::string field(const std::string& name) const;
};

struct LogStory {
  std::vector<LogEvent> events;  ///< in order of time, over all nodes
  std::size_t own = 0;           ///< of them the ones that name the request
  std::size_t lines = 0;         ///< read
  std::size_t unreadable = 0;    ///< of them no JSON, or without time and event
  std::size_t left_out = 0;      ///< events that say that others of their kind were left out in their second
};

/// Reads lines until the end; a text before the first brace, as collectors put there, is passed over.
class LogReader {
 public:
  void read(std::istream& lines);
  /// Lines that name the request; those of its group from kBefore earlier on; and what its nodes came to
  /// believe.
  [[nodiscard]] LogStory story_of(const std::string& request_id) const;

 private:
  std::vector<LogEvent> events_;
  std::size_t lines_ = 0;
  std::size_t unreadable_ = 0;
};

/// For people: one line an event, its time counted from the request's first line.
std::string print_story(const LogStory& story, const std::string& request_id);

}  // namespace cairnhollow::cli
