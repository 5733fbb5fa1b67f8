#include "cli/command_line.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <sstream>

#include "cli/usage.h"
#include "declared/config/duration_text.h"
#include "declared/config/selector_text.h"

namespace cairnhollow::cli {

namespace {

using Arguments = std::map<std::string, docopt::value>;

struct KindAlias {
  std::string_view word;
  declared::config::ObjectKind kind;
};
constexpr KindAlias kKindAliases[] = {
    {"proxy", declared::config::ObjectKind::kProxy},
    {"proxies", declared::config::ObjectKind::kProxy},
    {"backend", declared::config::ObjectKind::kBackend},
    {"backends", declared::config::ObjectKind::kBackend},
    {"group", declared::config::ObjectKind::kDatabaseGroup},
    {"groups", declared::config::ObjectKind::kDatabaseGroup},
    {"databasegroup", declared::config::ObjectKind::kDatabaseGroup},
    {"databasegroups", declared::config::ObjectKind::kDatabaseGroup},
    {"route", declared::config::ObjectKind::kRoute},
    {"routes", declared::config::ObjectKind::kRoute},
};

/// Turns docopt's values into typed ones; the first fault is kept.
class Interpreter {
 public:
  Interpreter(Arguments arguments, const Environment& environment)
      : arguments_(std::move(arguments)), environment_(environment) {}

  std::optional<CommandLine> run(Reason& reason) && {
    line_.command = command();
    read_servers();
    read_output();
    line_.timeout = std::chrono::milliseconds(milliseconds("--timeout"));
    line_.operator_name = has("--operator") ? text("--operator") : environment_.operator_name;
    line_.change_id = text("--change-id");
    if (has("--at-revision")) line_.at_revision = number("--at-revision");
    line_.wait = flag("--wait");
    line_.undo = flag("--undo");
    line_.every_line = flag("--all");
    line_.paths = arguments_.at("--filename").asStringList();
    read_objects();
    if (flag("evacuate")) read_evacuation();
    read_label_words();
    line_.target = selector("--to").value_or(declared::config::Selector{});
    if (has("--since")) line_.since = number("--since");
    line_.limit = static_cast<std::uint32_t>(std::min<std::uint64_t>(number("--limit"), UINT32_MAX));
    if (has("REVISION")) line_.revision = number("REVISION");
    if (line_.command == Command::kExplain) read_question();
    read_member();
    check_combinations();
    if (!problem_) return std::move(line_);
    reason = Reason{ReasonCode::kInvalidArgument, "read_command_line", "", *problem_};
    return std::nullopt;
  }

 private:
  void fail(std::string problem) {
    if (!problem_) problem_ = std::move(problem);
  }

  [[nodiscard]] bool has(const std::string& name) const { return arguments_.at(name).isString(); }
  [[nodiscard]] bool flag(const std::string& name) const {
    const auto& value = arguments_.at(name);
    return value.isBool() && value.asBool();
  }
  [[nodiscard]] std::string text(const std::string& name) const {
    return has(name) ? arguments_.at(name).asString() : "";
  }

  std::uint64_t number(const std::string& name) {
    const std::string digits = text(name);
    std::uint64_t value = 0;
    const char* last = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), last, value);
    if (error != std::errc{} || end != last)
      fail(fmt::format("{}: '{}' is not a whole number", name, digits));
    return value;
  }

  std::uint64_t milliseconds(const std::string& name) {
    const auto value = declared::config::parse_milliseconds(text(name));
    constexpr std::uint64_t kLongest = 24ULL * 3'600'000;
    if (!value || *value > kLongest) {
      fail(fmt::format("{}: '{}' is not a duration such as 500ms, 10s, 2m", name, text(name)));
    }
    return value.value_or(0);
  }

  std::optional<declared::config::Selector> selector(const std::string& name) {
    if (!has(name)) return std::nullopt;
    Reason fault;
    auto parsed = declared::config::parse_selector(text(name), fault);
    if (!parsed) fail(fmt::format("{}: {}", name, fault.detail));
    return parsed;
  }

  std::optional<Endpoint> endpoint(const std::string& name, const std::string& address) {
    auto parsed = parse_endpoint(address);
    if (!parsed) fail(fmt::format("{}: '{}' is not an IP address and port", name, address));
    return parsed;
  }

  Command command() {
    static const std::vector<std::pair<std::string, Command>> words = {
        {"apply", Command::kApply},
        {"diff", Command::kDiff},
        {"get", Command::kGet},
        {"describe", Command::kDescribe},
        {"delete", Command::kDelete},
        {"label", Command::kLabel},
        {"drain", Command::kDrain},
        {"evacuate", Command::kDrain},
        {"status", Command::kStatus},
        {"events", Command::kEvents},
        {"explain", Command::kExplain},
        {"list", Command::kMemberList},
        {"add", Command::kMemberAdd},
        {"remove", Command::kMemberRemove},
        {"replace", Command::kMemberReplace},
        {"switchover", Command::kSwitchover},
        {"wait", Command::kWait},
    };
    for (const auto& [word, command] : words) {
      if (flag(word)) return command;
    }
    return Command::kStatus;
  }

  void read_servers() {
    std::vector<std::string> addresses = arguments_.at("--server").asStringList();
    if (addresses.empty() && !environment_.servers.empty()) {
      boost::algorithm::split(addresses, environment_.servers, [](char c) { return c == ','; });
    }
    for (const auto& address : addresses) {
      if (auto parsed = endpoint("--server", boost::algorithm::trim_copy(address))) {
        line_.servers.push_back(*parsed);
      }
    }
    const bool reads_logs = !arguments_.at("--log").asStringList().empty();
    if (addresses.empty() && !reads_logs)
      fail("--server: name a control node's operator endpoint, or set CAIRNHOLLOW_SERVERS");
  }

  void read_output() {
    const std::string format = text("--output");
    if (format == "yaml") line_.output = OutputFormat::kYaml;
    if (format == "json") line_.output = OutputFormat::kJson;
    if (format != "table" && format != "yaml" && format != "json") {
      fail(fmt::format("--output: '{}' is none of table, yaml, json", format));
    }
  }

  void read_objects() {
    line_.selector = selector("--selector");
    line_.names = arguments_.at("NAME").asStringList();
    if (has("GROUP")) line_.names = {text("GROUP")};
    if (!has("KIND")) return;
    const std::string word = boost::algorithm::to_lower_copy(text("KIND"));
    for (const auto& alias : kKindAliases) {
      if (alias.word == word) line_.kind = alias.kind;
    }
    if (!line_.kind && word != "all")
      fail(fmt::format("KIND: '{}' is none of proxy, backend, group, route", word));
  }

  /// In a declared fleet a zone is a label, and a drained backend is one to which nothing new is sent.
  void read_evacuation() {
    if (line_.selector) fail("--selector: evacuate takes a zone");
    Reason fault;
    line_.kind = declared::config::ObjectKind::kBackend;
    line_.selector = declared::config::parse_selector("zone=" + text("ZONE"), fault);
    if (!line_.selector) fail(fmt::format("ZONE: {}", fault.detail));
    line_.undo = flag("--end");
  }

  /// The words behind `label KIND` are names and label changes.
  void read_label_words() {
    for (const auto& word : arguments_.at("WORD").asStringList()) {
      const auto equals = word.find('=');
      if (equals != std::string::npos) {
        line_.label_changes.push_back({word.substr(0, equals), word.substr(equals + 1)});
      } else if (word.back() == '-') {
        line_.label_changes.push_back({word.substr(0, word.size() - 1), std::nullopt});
      } else {
        line_.names.push_back(word);
      }
    }
  }

  void read_question() {
    ExplainQuestion& question = line_.question;
    question.database = text("DATABASE");
    question.key = text("KEY");
    question.write = flag("--write");
    question.token = text("--token");
    question.request_id = text("--request-id");
    question.logs = arguments_.at("--log").asStringList();
    const bool names_session = question.request_id.find('/') != std::string::npos;
    if (question.logs.empty() && !question.request_id.empty() && !names_session) {
      fail("--request-id: must be SESSION/NUMBER");
    }
    if (has("--proxy")) question.proxy = endpoint("--proxy", text("--proxy"));
    for (const auto& label : arguments_.at("--label").asStringList()) {
      const auto equals = label.find('=');
      if (equals == std::string::npos) fail(fmt::format("--label: '{}' is not key=value", label));
      if (equals == std::string::npos) continue;
      question.labels.entries[label.substr(0, equals)] = label.substr(equals + 1);
    }
  }

  void read_member() {
    line_.member = text("NODE");
    line_.replacement = text("REPLACEMENT");
    line_.member_zone = ZoneName(text("--zone"));
    if (has("--endpoint")) line_.member_endpoint = endpoint("--endpoint", text("--endpoint"));
  }

  void check_combinations() {
    const bool changes_objects = line_.command == Command::kLabel || line_.command == Command::kDrain ||
                                 line_.command == Command::kDelete;
    if (changes_objects && line_.paths.empty()) {
      if (!line_.kind) fail("KIND: name one kind for a change");
      if (line_.names.empty() == !line_.selector) fail("name objects or select them with -l, not both");
    }
    if (line_.change_id.empty() == has("--at-revision")) {
      fail("--change-id, --at-revision: go together");
    }
    if (!line_.change_id.empty() && line_.paths.empty()) {
      fail("--change-id: only with -f; other changes are worked out from what is in force");
    }
    if (line_.command == Command::kLabel && line_.label_changes.empty()) {
      fail("WORD: name at least one label change, key=value or key-");
    }
    const bool drains_machine = line_.kind == declared::config::ObjectKind::kProxy ||
                                line_.kind == declared::config::ObjectKind::kBackend;
    if (line_.command == Command::kDrain && !drains_machine) fail("KIND: only a proxy or backend drains");
    if (line_.command == Command::kSwitchover && line_.names.empty() == !line_.selector) {
      fail("name a group or select groups with -l, not both");
    }
    const bool names_new_member =
        line_.command == Command::kMemberAdd || line_.command == Command::kMemberReplace;
    if (names_new_member && !line_.member_endpoint) fail("--endpoint: is required");
    if (names_new_member && line_.member_zone.empty()) fail("--zone: is required");
  }

  Arguments arguments_;
  const Environment& environment_;
  CommandLine line_;
  std::optional<std::string> problem_;
};

}  // namespace

std::optional<ParsedCommandLine> parse_command_line(const std::vector<std::string>& arguments,
                                                    const Environment& environment, Reason& reason) {
  ParsedCommandLine parsed;
  try {
    constexpr bool kShowHelp = true;
    constexpr bool kShowVersion = true;
    Interpreter interpreter(docopt::docopt_parse(kUsage, arguments, kShowHelp, kShowVersion), environment);
    parsed.command_line = std::move(interpreter).run(reason);
    if (!parsed.command_line) return std::nullopt;
  } catch (const docopt::DocoptExitHelp&) {
    parsed.text = kUsage;
  } catch (const docopt::DocoptExitVersion&) {
    parsed.text = fmt::format("cairnhollow {}\n", CAIRNHOLLOW_VERSION);
  } catch (const std::exception& error) {
    reason = Reason{ReasonCode::kInvalidArgument, "read_command_line", "",
                    fmt::format("{} (cairnhollow --help shows the usage)", error.what())};
    return std::nullopt;
  }
  return parsed;
}

}  // namespace cairnhollow::cli
