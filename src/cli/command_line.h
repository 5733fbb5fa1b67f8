// The operator's command line as typed values. The usage text is the grammar (docopt).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "base/types.h"
#include "declared/config/objects.h"

namespace cairnhollow::cli {

enum class Command : std::uint8_t {
  kApply,
  kDiff,
  kGet,
  kDescribe,
  kDelete,
  kLabel,
  kDrain,
  kStatus,
  kEvents,
  kExplain,
  kMemberList,
  kMemberAdd,
  kMemberRemove,
  kMemberReplace,
  kSwitchover,
  kWait,
};

enum class OutputFormat : std::uint8_t { kTable, kYaml, kJson };

/// `key=value` sets a label, `key-` takes it away.
struct LabelChange {
  std::string key;
  std::optional<std::string> value;
};

/// What `explain` asks a proxy about.
struct ExplainQuestion {
  std::string database;
  std::string key;
  bool write = false;
  LabelSet labels;
  std::string token;
  std::string request_id;
  std::optional<Endpoint> proxy;  ///< unset: the proxies that the selector selects are asked in turn
  std::vector<std::string>
      logs;  ///< files of log lines to tell the request's story from; empty: proxies are asked
};

struct CommandLine {
  Command command = Command::kStatus;
  std::vector<Endpoint> servers;  ///< operator endpoints of control nodes, tried in this order
  OutputFormat output = OutputFormat::kTable;
  Duration timeout{0};  ///< of the whole command, without --wait
  std::string operator_name;
  std::string change_id;          ///< empty: a new one is made
  std::uint64_t at_revision = 0;  ///< that had been seen when `change_id` was chosen
  bool wait = false;

  std::vector<std::string> paths;  ///< of manifests; "-" is standard input
  std::optional<declared::config::ObjectKind> kind;
  std::vector<std::string> names;
  std::optional<declared::config::Selector> selector;
  std::vector<LabelChange> label_changes;
  bool undo = false;

  declared::config::Selector target;   ///< switchover: which backends may become primary
  std::optional<std::uint64_t> since;  ///< events: unset for the latest ones
  std::uint32_t limit = 0;
  bool every_line = false;     ///< get, status: --all, however many lines there are
  std::uint64_t revision = 0;  ///< wait: 0 for the latest
  ExplainQuestion question;

  std::string member;  ///< member add, remove, replace
  std::string replacement;
  std::optional<Endpoint> member_endpoint;
  ZoneName member_zone;
};

/// What the environment contributes where the command line is silent.
struct Environment {
  std::string servers;        ///< CAIRNHOLLOW_SERVERS: addresses separated by commas
  std::string operator_name;  ///< USER
};

/// A command to run, or a text to print and end with.
struct ParsedCommandLine {
  std::optional<CommandLine> command_line;
  std::string text;  ///< of --help and --version
};

/// kInvalidArgument names the argument that is wrong.
std::optional<ParsedCommandLine> parse_command_line(const std::vector<std::string>& arguments,
                                                    const Environment& environment, Reason& reason);

}  // namespace cairnhollow::cli
