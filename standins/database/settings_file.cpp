#include "standins/database/settings_file.h"

#include <set>

#include "cli/settings_limits.h"

namespace cairnhollow::standins::database {
namespace {

using cli::Presence;
using cli::SettingsReader;

GroupMember read_member(SettingsReader& reader) {
  GroupMember member;
  reader.read("backend", member.backend, Presence::kRequired);
  reader.read("endpoint", member.endpoint, Presence::kRequired);
  return member;
}

void check_members(SettingsReader& reader, const DatabaseSettings& settings) {
  if (settings.initial_members.empty()) return;
  std::set<BackendName> names;
  for (const GroupMember& member : settings.initial_members) {
    if (names.insert(member.backend).second) continue;
    reader.report("initial_members", "names a backend twice: " + member.backend.value);
  }
  if (names.count(settings.backend) == 0) {
    reader.report("initial_members", "must name this backend: " + settings.backend.value);
  }
}

}  // namespace

DatabaseSettings read_database_settings(SettingsReader& reader) {
  DatabaseSettings settings;
  reader.read("backend", settings.backend, Presence::kRequired);
  reader.read("group", settings.group, Presence::kRequired);
  reader.read("zone", settings.zone, Presence::kRequired);
  reader.read("endpoint", settings.endpoint, Presence::kRequired);
  reader.read_list(
      "initial_members", [&](SettingsReader& item) { settings.initial_members.push_back(read_member(item)); },
      Presence::kRequired);
  reader.read("connections", settings.connections, cli::kConnectionRange);
  reader.read("slots", settings.slots, cli::kConnectionRange);
  reader.read("connection_opening_delay", settings.connection_opening_delay, cli::kDelayRange);
  reader.read("statement_duration", settings.statement_duration, cli::kDelayRange);
  reader.read("replication_lag", settings.replication_lag, cli::kDelayRange);
  reader.read("primary_silence_limit", settings.primary_silence_limit, cli::kIntervalRange);
  reader.read("ledger_entries_per_session", settings.ledger_entries_per_session, cli::kEntryRange);
  reader.read("snapshot_after_entries", settings.snapshot_after_entries, cli::kEntryRange);
  check_members(reader, settings);
  return settings;
}

}  // namespace cairnhollow::standins::database
