// get, describe.
#include <fmt/format.h>

#include <algorithm>

#include <boost/json.hpp>

#include "cli/commands.h"
#include "cli/document_output.h"
#include "cli/fleet_view.h"
#include "cli/object_tables.h"
#include "cli/read_objects.h"
#include "cli/status_tables.h"
#include "cli/subject_filter.h"
#include "declared/config/object_names.h"

namespace cairnhollow::cli {

namespace {

constexpr std::size_t kObjectsInTable = 200;

/// As many objects as a table shows; says on the error stream what it leaves out.
void print_table(CommandContext& context, std::vector<declared::config::StoredObject> objects) {
  const std::size_t all = objects.size();
  if (all > kObjectsInTable && !context.line.every_line) objects.resize(kObjectsInTable);
  context.output << object_tables(objects);
  if (objects.size() == all) return;
  context.errors << fmt::format("{} of {} objects are shown: choose with names or -l SELECTOR, or --all\n",
                                objects.size(), all);
}

void print_objects(CommandContext& context, const std::vector<declared::config::StoredObject>& objects) {
  switch (context.line.output) {
    case OutputFormat::kTable:
      print_table(context, objects);
      return;
    case OutputFormat::kYaml:
      context.output << declared::config::to_yaml(objects);
      return;
    case OutputFormat::kJson:
      break;
  }
  boost::json::array list;
  for (const auto& stored : objects) list.push_back(declared::config::to_json(stored));
  context.output << boost::json::serialize(list) << "\n";
}

/// What the status says about one object.
std::string live_text(const declared::config::Object& object, const declared::control::FleetStatus& status) {
  std::vector<declared::control::ProxyStatus> proxies;
  for (const auto& proxy : status.proxies) {
    if (object.kind() == declared::config::ObjectKind::kProxy && proxy.proxy.value == object.name)
      proxies.push_back(proxy);
  }
  std::vector<declared::control::GroupStatus> groups;
  for (const auto& group : status.groups) {
    const bool is_group =
        object.kind() == declared::config::ObjectKind::kDatabaseGroup && group.group.value == object.name;
    const bool holds = object.kind() == declared::config::ObjectKind::kBackend &&
                       std::any_of(group.members.begin(), group.members.end(),
                                   [&](const auto& member) { return member.backend.value == object.name; });
    if (is_group || holds) groups.push_back(group);
  }
  if (!proxies.empty()) return proxy_table(proxies);
  if (!groups.empty()) return group_table(groups);
  return object.kind() == declared::config::ObjectKind::kRoute ? "" : "nothing is known of it now\n";
}

bool has_group(const std::vector<declared::config::StoredObject>& objects) {
  return std::any_of(objects.begin(), objects.end(), [](const auto& stored) {
    return stored.object.kind() == declared::config::ObjectKind::kDatabaseGroup;
  });
}

/// The names of a group and of its members as the status knows them.
std::set<std::string> subjects_of(const std::string& name, const declared::control::FleetStatus& status) {
  std::set<std::string> names{name};
  for (const auto& group : status.groups) {
    if (group.group.value != name) continue;
    for (const auto& member : group.members) names.insert(member.backend.value);
  }
  return names;
}

/// As subjects_of(), of all groups among the objects.
SubjectFilter group_subjects(const std::vector<declared::config::StoredObject>& objects,
                             const declared::control::FleetStatus& status) {
  std::set<std::string> names;
  for (const auto& stored : objects) {
    if (stored.object.kind() == declared::config::ObjectKind::kDatabaseGroup) {
      names.merge(subjects_of(stored.object.name, status));
    }
  }
  return SubjectFilter{std::move(names)};
}

/// What happened to a group: its failovers step by step, and what concerns its members.
std::string history_text(const declared::config::Object& object, const declared::control::FleetStatus& status,
                         const std::vector<declared::control::FleetEvent>& events) {
  if (object.kind() != declared::config::ObjectKind::kDatabaseGroup) return "";
  const auto names = subjects_of(object.name, status);
  std::vector<declared::control::FleetEvent> of_group;
  for (const auto& event : events) {
    if (names.contains(event.subject)) of_group.push_back(event);
  }
  return of_group.empty() ? "\nno events\n" : "\n" + event_table(of_group);
}

}  // namespace

Awaitable<ExitCode> run_get(CommandContext& context) {
  Reason reason;
  const auto list = co_await read_selected_objects(context, reason);
  if (!list) co_return report_failure(context, reason);
  print_objects(context, list->objects);
  co_return ExitCode::kDone;
}

Awaitable<ExitCode> run_describe(CommandContext& context) {
  Reason reason;
  const auto list = co_await read_selected_objects(context, reason);
  if (!list) co_return report_failure(context, reason);
  if (context.line.output != OutputFormat::kTable) {
    print_objects(context, list->objects);
    co_return ExitCode::kDone;
  }
  const auto status = co_await read_fleet_status(context, reason);
  std::vector<declared::control::FleetEvent> events;
  if (status && has_group(list->objects)) {
    auto all = co_await read_fleet_events(context, group_subjects(list->objects, *status), reason);
    if (all) events = std::move(*all);
  }
  for (std::size_t i = 0; i < list->objects.size(); ++i) {
    const auto& stored = list->objects[i];
    if (i > 0) context.output << "---\n";
    context.output << declared::config::to_yaml({stored});
    if (status) context.output << "\n" << live_text(stored.object, *status);
    if (status) context.output << history_text(stored.object, *status, events);
  }
  co_return status ? ExitCode::kDone : report_failure(context, reason);
}

}  // namespace cairnhollow::cli
