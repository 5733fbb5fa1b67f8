#include "simulation/group_log.h"

#include <algorithm>

#include "simulation/fleet.h"
#include "standins/database/log_store.h"
#include "standins/database/state_machine.h"

namespace cairnhollow::simulation {

namespace {

namespace database = standins::database;

/// Of a database's settings; no log of a run is longer than this times the sessions.
constexpr std::uint64_t kLedgerEntriesPerSession = 64;

Awaitable<void> load_log(VirtualRuntime& runtime, std::uint64_t committed, MemberLog& log, Reason& reason) {
  const database::Tunables tunables;
  database::LogStore store(runtime, tunables);
  const bool loaded = co_await store.load(reason);
  if (!loaded) co_return;
  if (store.snapshot().position.index > 0) {
    reason = Reason{ReasonCode::kUnsupported, "read_group_log", log.backend.value, "the log was compacted"};
    co_return;
  }
  const std::uint64_t last = std::min(committed, store.last().index);
  for (std::uint64_t index = 1; index <= last; ++index) log.entries.push_back(store.entry(index));
}

MemberLog read_member_log(Fleet& fleet, const BackendName& backend, Reason& reason) {
  MemberLog log;
  log.backend = backend;
  const auto& observed = fleet.observer().backends();
  const auto found = observed.find(backend);
  if (found == observed.end()) return log;
  World& world = fleet.world();
  ProcessSettings reader;
  reader.name = "log-reader-" + backend.value;
  reader.address = "log-reader-" + backend.value;
  reader.zone = kObserverZone;
  for (const auto& [name, file] : world.disk(backend.value).files) {
    world.disk(reader.name).files[name] = std::make_shared<DiskFile>(*file);
  }
  VirtualRuntime& runtime = world.start_bare(reader);
  runtime.spawn("read_log", load_log(runtime, found->second.status.committed.index, log, reason));
  world.run_for(std::chrono::seconds(1));
  world.kill(reader.name);
  return log;
}

std::vector<std::string> values_of(const database::WriteCommand& write) {
  std::vector<std::string> values;
  for (const database::Operation& operation : write.operations) {
    if (operation.kind != database::OperationKind::kGet) values.push_back(operation.value);
  }
  return values;
}

}  // namespace

std::vector<LoggedWrite> replay(const std::vector<MemberLog>& members) {
  const auto longest = std::max_element(
      members.begin(), members.end(),
      [](const MemberLog& one, const MemberLog& other) { return one.entries.size() < other.entries.size(); });
  std::vector<LoggedWrite> writes;
  if (longest == members.end()) return writes;
  database::StateMachine machine(kLedgerEntriesPerSession);
  for (const database::LogEntry& entry : longest->entries) {
    const database::ApplyResult result = machine.apply(entry);
    const auto* write = std::get_if<database::WriteCommand>(&entry.command);
    if (write == nullptr) continue;
    LoggedWrite logged;
    logged.request = write->request.value_or(RequestId{});
    logged.position = entry.position;
    logged.took_effect = result.kind == database::ApplyResultKind::kCommitted;
    logged.values = values_of(*write);
    writes.push_back(std::move(logged));
  }
  return writes;
}

std::vector<GroupLog> read_group_logs(Fleet& fleet, Reason& reason) {
  std::vector<GroupLog> logs;
  for (const GroupName& group : fleet.deployment().groups()) {
    GroupLog log;
    log.group = group;
    for (const BackendName& backend : fleet.deployment().members_of(group)) {
      log.members.push_back(read_member_log(fleet, backend, reason));
    }
    log.writes = replay(log.members);
    logs.push_back(std::move(log));
  }
  return logs;
}

}  // namespace cairnhollow::simulation
