#include "tests/consensus/cluster.h"

#include <cppunit/TestAssert.h>
#include <fmt/format.h>

#include "consensus/log_file.h"
#include "consensus/record.h"
#include "wire/hello.h"

namespace cairnhollow::consensus {
namespace {

constexpr std::uint16_t kPort = 7000;
constexpr std::size_t kZones = 3;

std::string server_name(std::size_t number) { return fmt::format("node-{}", number); }
std::string server_address(std::size_t number) { return fmt::format("10.0.1.{}", number); }
ZoneName server_zone(std::size_t number) { return ZoneName(fmt::format("zone-{}", number % kZones)); }

Member make_member(std::size_t number) {
  Member member;
  member.node = NodeName(server_name(number));
  member.endpoint = Endpoint{server_address(number), kPort};
  member.zone = server_zone(number);
  return member;
}

Awaitable<void> run_propose(RaftNode* node, std::string command, TimePoint deadline,
                            std::shared_ptr<CallResult> result) {
  result->index = co_await node->propose(std::move(command), deadline, result->reason);
  result->done = true;
}

Awaitable<void> run_barrier(RaftNode* node, TimePoint deadline, std::shared_ptr<CallResult> result) {
  result->index = co_await node->read_barrier(deadline, result->reason);
  result->done = true;
}

Awaitable<void> run_add(RaftNode* node, Member member, TimePoint deadline,
                        std::shared_ptr<CallResult> result) {
  const bool changed = co_await node->add_member(std::move(member), deadline, result->reason);
  if (changed) result->index = 0;
  result->done = true;
}

Awaitable<void> run_remove(RaftNode* node, NodeName removed, TimePoint deadline,
                           std::shared_ptr<CallResult> result) {
  const bool changed = co_await node->remove_member(std::move(removed), deadline, result->reason);
  if (changed) result->index = 0;
  result->done = true;
}

Awaitable<void> run_replace(RaftNode* node, NodeName lost, Member replacement, TimePoint deadline,
                            std::shared_ptr<CallResult> result) {
  const bool changed =
      co_await node->replace_member(std::move(lost), std::move(replacement), deadline, result->reason);
  if (changed) result->index = 0;
  result->done = true;
}

}  // namespace

ClusterRole::ClusterRole(runtime::Runtime& runtime, RaftSettings settings, AppliedRecord& record,
                         RunChecks& checks)
    : runtime_(runtime, [this](std::string_view event) { record_event(event); }),
      name_(settings.node.value),
      endpoint_(settings.endpoint),
      checks_(checks),
      machine_(record),
      node_(make_raft_node(runtime_, machine_, std::move(settings))) {}

void ClusterRole::record_event(std::string_view event) {
  if (event != "consensus_leader_elected") return;
  const ConsensusStatus status = node_->status();
  checks_.record_leader(status.term, name_, status.last_index);
}

Awaitable<bool> ClusterRole::start(Reason& reason) {
  listener_ = runtime_.network().listen(endpoint_, reason);
  if (listener_ == nullptr) co_return false;
  started_ = co_await node_->start(reason);
  if (started_) runtime_.spawn("accept", accept_connections());
  co_return started_;
}

Awaitable<void> ClusterRole::drain() {
  co_await node_->stop();
  listener_->close();
}

Awaitable<void> ClusterRole::accept_connections() {
  while (true) {
    Reason reason;
    auto connection = co_await listener_->accept(reason);
    if (connection == nullptr) co_return;
    runtime_.spawn("serve", serve(connection));
  }
}

Awaitable<void> ClusterRole::serve(std::shared_ptr<runtime::FrameConnection> connection) {
  Reason reason;
  const auto frame = co_await connection->receive(reason);
  if (!frame) co_return;
  const auto hello = wire::decode<wire::Hello>(*frame, reason);
  if (!hello || hello->conversation != wire::Conversation::kConsensus) co_return connection->close();
  NodeName peer = hello->node;
  co_await node_->serve(connection, std::move(peer));
}

Cluster::Cluster(ClusterSettings settings)
    : settings_(settings),
      world_(simulation::WorldSettings{.seed = settings.seed,
                                       .latency = {},
                                       .sync_delay = std::chrono::milliseconds(2),
                                       .print_log = settings.print_log}) {
  std::vector<Member> members;
  for (std::size_t number = 1; number <= settings.voters; ++number) members.push_back(make_member(number));
  for (std::size_t number = 1; number <= settings.voters; ++number) start(number, members);
}

void Cluster::start_nonmember(std::size_t number) { start(number, {}); }

void Cluster::start(std::size_t number, std::vector<Member> initial_members) {
  RaftSettings settings;
  settings.node = NodeName(server_name(number));
  settings.initial_members = std::move(initial_members);
  settings.first_election_timeout = settings_.first_election_timeout;
  settings.heartbeat_interval = settings_.heartbeat_interval;
  settings.zone = server_zone(number);
  settings.endpoint = Endpoint{server_address(number), kPort};
  settings.snapshot_after_entries = settings_.snapshot_after_entries;
  names_.push_back(server_name(number));
  simulation::ProcessSettings process;
  process.name = server_name(number);
  process.address = server_address(number);
  process.zone = server_zone(number);
  world_.start(process, [this, settings](runtime::Runtime& runtime) {
    return std::make_unique<ClusterRole>(runtime, settings, record_, checks_);
  });
}

std::string Cluster::describe() {
  std::string text;
  for (const std::string& name : names_) {
    const ConsensusStatus status = this->status(name);
    text += fmt::format("{} {} {}: state {} term {} leader {} last {} commit {} members", name,
                        node(name).identity().substr(0, 4), world_.running(name) ? "up" : "down",
                        static_cast<int>(status.state), status.term, status.leader.value, status.last_index,
                        status.commit_index);
    for (const Member& member : status.members) {
      text += fmt::format(" {}/{}/{}", member.node.value, member.identity.substr(0, 4),
                          member.role == MemberRole::kVoter ? "voter" : "learner");
    }
    text += "\n";
  }
  return text;
}

std::vector<std::string> Cluster::running_names() const {
  std::vector<std::string> running;
  for (const std::string& name : names_) {
    if (world_.running(name)) running.push_back(name);
  }
  return running;
}

Member Cluster::member(const std::string& name, MemberRole role) {
  const std::size_t number = std::stoul(name.substr(name.find('-') + 1));
  Member member = make_member(number);
  member.identity = node(name).identity();
  member.role = role;
  return member;
}

std::string Cluster::leader() {
  std::string leader;
  std::uint64_t term = 0;
  for (const std::string& name : running_names()) {
    const ConsensusStatus status = this->status(name);
    if (status.state != ServerState::kLeader || status.term <= term) continue;
    leader = name;
    term = status.term;
  }
  return leader;
}

std::string Cluster::wait_for_leader(Duration limit) {
  const TimePoint end = world_.now() + limit;
  while (world_.now() < end) {
    std::string name = leader();
    if (!name.empty() && barrier(name, std::chrono::milliseconds(500)).succeeded()) return name;
    world_.run_for(std::chrono::milliseconds(10));
  }
  return "";
}

bool Cluster::wait_applied(std::uint64_t index, Duration limit) {
  const auto all_applied = [&] {
    for (const std::string& name : running_names()) {
      if (status(name).applied_index < index) return false;
    }
    return true;
  };
  return world_.run_until(all_applied, limit);
}

std::shared_ptr<CallResult> Cluster::begin_propose(const std::string& name, std::string command,
                                                   Duration timeout) {
  auto result = std::make_shared<CallResult>();
  auto& runtime = world_.runtime(name);
  runtime.spawn("propose", run_propose(&node(name), std::move(command), runtime.now() + timeout, result));
  return result;
}

std::shared_ptr<CallResult> Cluster::begin_barrier(const std::string& name, Duration timeout) {
  auto result = std::make_shared<CallResult>();
  auto& runtime = world_.runtime(name);
  runtime.spawn("barrier", run_barrier(&node(name), runtime.now() + timeout, result));
  return result;
}

CallResult Cluster::finish(const std::shared_ptr<CallResult>& result, Duration timeout) {
  world_.run_until([&] { return result->done; }, timeout * 2, std::chrono::milliseconds(1));
  return *result;
}

CallResult Cluster::propose(const std::string& name, std::string command, Duration timeout) {
  return finish(begin_propose(name, std::move(command), timeout), timeout);
}

CallResult Cluster::barrier(const std::string& name, Duration timeout) {
  return finish(begin_barrier(name, timeout), timeout);
}

bool Cluster::propose_to_leader(const std::string& command, Duration limit) {
  const TimePoint end = world_.now() + limit;
  while (world_.now() < end) {
    const std::string name = leader();
    if (!name.empty() && propose(name, command).succeeded()) return true;
    world_.run_for(std::chrono::milliseconds(10));
  }
  return false;
}

std::optional<std::uint64_t> Cluster::propose_many(const std::string& name, const std::string& prefix,
                                                   std::size_t count, std::size_t command_bytes) {
  constexpr std::size_t kSideBySide = 100;
  constexpr Duration kTimeout = std::chrono::seconds(5);
  std::uint64_t last = 0;
  for (std::size_t first = 0; first < count; first += kSideBySide) {
    std::vector<std::shared_ptr<CallResult>> results;
    for (std::size_t number = first; number < std::min(first + kSideBySide, count); ++number) {
      std::string command = fmt::format("{}-{}", prefix, number);
      command.resize(std::max(command.size(), command_bytes), '.');
      results.push_back(begin_propose(name, std::move(command), kTimeout));
    }
    for (const auto& result : results) {
      if (!finish(result, kTimeout).succeeded()) return std::nullopt;
      last = std::max(last, *result->index);
    }
  }
  return last;
}

std::shared_ptr<CallResult> Cluster::begin_add(const std::string& name, Member member, Duration timeout) {
  auto result = std::make_shared<CallResult>();
  auto& runtime = world_.runtime(name);
  runtime.spawn("add", run_add(&node(name), std::move(member), runtime.now() + timeout, result));
  return result;
}

std::shared_ptr<CallResult> Cluster::begin_remove(const std::string& name, const std::string& node,
                                                  Duration timeout) {
  auto result = std::make_shared<CallResult>();
  auto& runtime = world_.runtime(name);
  runtime.spawn("remove", run_remove(&this->node(name), NodeName(node), runtime.now() + timeout, result));
  return result;
}

std::shared_ptr<CallResult> Cluster::begin_replace(const std::string& name, const std::string& lost,
                                                   Member replacement, Duration timeout) {
  auto result = std::make_shared<CallResult>();
  auto& runtime = world_.runtime(name);
  const TimePoint deadline = runtime.now() + timeout;
  runtime.spawn("replace",
                run_replace(&node(name), NodeName(lost), std::move(replacement), deadline, result));
  return result;
}

bool Cluster::change_on_leader(const BeginChange& begin, Duration limit) {
  const TimePoint end = world_.now() + limit;
  while (world_.now() < end) {
    const std::string name = leader();
    if (!name.empty() && finish(begin(name), limit).succeeded()) return true;
    world_.run_for(std::chrono::milliseconds(10));
  }
  return false;
}

bool Cluster::add_member(const Member& member, Duration limit) {
  return change_on_leader([&](const std::string& leader) { return begin_add(leader, member, limit); }, limit);
}

bool Cluster::remove_member(const std::string& name, Duration limit) {
  return change_on_leader([&](const std::string& leader) { return begin_remove(leader, name, limit); },
                          limit);
}

bool Cluster::replace_member(const std::string& lost, const Member& replacement, Duration limit) {
  return change_on_leader(
      [&](const std::string& leader) { return begin_replace(leader, lost, replacement, limit); }, limit);
}

void Cluster::record_logs() {
  for (const std::string& name : names_) {
    const auto file = world_.disk(name).files.find("raft.log");
    if (file == world_.disk(name).files.end()) continue;
    const auto header = read_record(file->second->content, 0);
    Reason reason;
    const auto base = header ? wire::decode<LogBase>(header->payload, reason) : std::nullopt;
    if (!base) continue;
    std::vector<LogEntry> entries;
    std::uint64_t offset = header->end;
    while (const auto record = read_record(file->second->content, offset)) {
      offset = record->end;
      auto entry = wire::decode<LogEntry>(record->payload, reason);
      if (entry) entries.push_back(std::move(*entry));
    }
    checks_.record_log(base->term, entries);
  }
}

void assert_no_violations(Cluster& cluster) {
  cluster.record_logs();
  for (const auto& violations : {cluster.record().violations(), cluster.checks().violations()}) {
    CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
  }
  const auto& faults = cluster.world().faults();
  CPPUNIT_ASSERT_MESSAGE(faults.empty() ? "" : faults.front(), faults.empty());
}

}  // namespace cairnhollow::consensus
