#include "tests/wire/format_samples.h"

#include "consensus/messages.h"
#include "consensus/metadata_file.h"
#include "consensus/record.h"
#include "consensus/snapshot_file.h"
#include "declared/config/state_machine.h"
#include "declared/control/news/news_messages.h"
#include "declared/follow/messages.h"
#include "declared/proxy/forwarding/forward_messages.h"
#include "declared/routing/session_token.h"
#include "standins/database/log_file.h"
#include "standins/database/replication_messages.h"
#include "standins/database/term_store.h"
#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::tests {

namespace {

namespace database = standins::database;

using Samples = std::vector<FormatSample>;

template <class Message>
std::optional<std::string> round_trip(const std::string& bytes, Reason& reason) {
  const auto message = wire::decode<Message>(bytes, reason);
  if (!message) return std::nullopt;
  return wire::encode(*message);
}

template <class Message>
void add(Samples& samples, const std::string& name, const Message& message) {
  samples.push_back({name, wire::encode(message), round_trip<Message>});
}

declared::config::Selector any_selector() {
  using declared::config::SelectorOperator;
  declared::config::Selector selector;
  selector.match_labels.entries["tier"] = "gold";
  selector.match_expressions = {{"zone", SelectorOperator::kIn, {"kelburn", "petone"}},
                                {"old", SelectorOperator::kDoesNotExist, {}}};
  return selector;
}

declared::config::Object object(const std::string& name, declared::config::ObjectSpec spec) {
  return declared::config::Object{name, LabelSet{{{"team", "decks"}}}, std::move(spec)};
}

std::vector<declared::config::Object> objects() {
  const declared::config::ProxySpec proxy{ZoneName("kelburn"), {"10.0.0.1", 4000}, true};
  const declared::config::BackendSpec backend{ZoneName("petone"), {"10.0.0.2", 4001}, false};
  const declared::config::DatabaseGroupSpec group{any_selector(), {7, 4096}, 35, 5};
  const declared::config::RouteSpec route{9, any_selector(), {}, any_selector(), true, 4000, 150};
  return {object("proxy-1", proxy), object("backend-1", backend), object("group-1", group),
          object("route-1", route)};
}

declared::config::ChangeRequest change_request() {
  declared::config::ChangeRequest request{"change-7", 3, "alice", {}};
  for (const auto& each : objects()) request.changes.push_back({each, false, std::nullopt});
  request.changes.front().based_on = 2;
  request.changes.push_back({object("gone", declared::config::ProxySpec{}), true, 3});
  return request;
}

consensus::Member member(const std::string& name) {
  return {NodeName(name),
          "identity-" + name,
          {"10.0.0.3", 4002},
          ZoneName("porirua"),
          consensus::MemberRole::kLearner};
}

consensus::Configuration configuration() { return {true, {member("control-1")}, {member("control-2")}}; }

declared::follow::SuspectPrimary suspect() { return {GroupName("group-1"), BackendName("backend-1"), 6}; }
declared::follow::GroupState group_state() { return {GroupName("group-1"), 6, BackendName("backend-1")}; }
Reason refusal() { return {ReasonCode::kDraining, "follow", "control-1", "the node is stopping"}; }

std::optional<std::string> round_trip_marked_hello(const std::string& bytes, Reason& reason) {
  const auto hello = wire::decode<wire::Hello>(bytes, reason);
  if (!hello) return std::nullopt;
  return wire::encode(*hello, wire::kMarkedFormat);
}

std::optional<std::string> round_trip_hello_answer(const std::string& bytes, Reason& reason) {
  const auto answer = wire::decode_hello_answer(bytes, reason);
  if (!answer) return std::nullopt;
  return wire::encode_hello_answer(*answer);
}

void add_follow(Samples& samples) {
  wire::Hello hello;
  hello.node = NodeName("proxy-1");
  hello.zone = ZoneName("kelburn");
  add(samples, "hello", hello);
  samples.push_back({"hello_with_range", wire::encode(hello, wire::kMarkedFormat), round_trip_marked_hello});
  const auto refused = wire::answer_hello({3, 4}, "10.0.0.1:4000");
  samples.push_back({"hello_answer", wire::encode_hello_answer(refused), round_trip_hello_answer});
  add(samples, "follow_request",
      declared::follow::FollowRequest{1, 2, 3, std::chrono::milliseconds(4), {suspect()}, 5, true});
  declared::follow::FollowUpdate update{
      declared::config::ConfigChanges{}, true, {group_state()}, {"machine-1"}};
  add(samples, "follow_answer",
      declared::follow::FollowAnswer{1, 2, std::chrono::seconds(2), 3, wire::encode(update), std::nullopt});
  add(samples, "follow_answer_refusal", declared::follow::FollowAnswer{1, 0, Duration{0}, 0, "", refusal()});
  declared::config::ConfigChanges changes;
  declared::config::ConfigSnapshot snapshot;
  for (const auto& each : objects()) changes.upserts.push_back({each, 8});
  for (const auto& each : objects()) snapshot.objects.push_back({each, 9});
  changes.deletions = {{declared::config::ObjectKind::kRoute, "gone"}};
  update.configuration = changes;
  add(samples, "follow_update_changes", update);
  update.configuration = snapshot;
  add(samples, "follow_update_snapshot", update);
}

void add_news(Samples& samples) {
  declared::control::PeerStatusMessage news;
  news.sender = member("control-1");
  news.operator_endpoint = {"10.0.0.4", 4003};
  news.standby = true;
  news.groups = {group_state()};
  news.suspects = {suspect()};
  news.unreachable_groups = {GroupName("group-2")};
  news.followers_serving = 11;
  news.followers_least_revision = 12;
  news.revision = 13;
  news.known_nodes = {{"10.0.0.5", 4004}};
  add(samples, "news_message", news);
}

consensus::LogEntry log_entry() {
  return {4, 2, consensus::EntryKind::kCommand, wire::encode(change_request())};
}

void add_peer_request(Samples& samples, const std::string& name, consensus::RequestBody body) {
  add(samples, "peer_request_" + name,
      consensus::PeerRequest{1, NodeName("control-1"), "from", "to", 5, std::move(body)});
}

void add_peer_answer(Samples& samples, const std::string& name, consensus::AnswerBody body) {
  add(samples, "peer_answer_" + name,
      consensus::PeerAnswer{1, "identity", 5, consensus::Refusal::kNotMember, std::move(body)});
}

void add_consensus_messages(Samples& samples) {
  add_peer_request(samples, "heartbeat", consensus::HeartbeatRequest{9});
  add_peer_request(samples, "append", consensus::AppendRequest{3, 2, 1, {log_entry()}});
  add_peer_request(samples, "vote", consensus::VoteRequest{true, 6, 4, 2, true});
  add_peer_request(samples, "install_snapshot", consensus::InstallSnapshotRequest{4, 2, 0, 5, "bytes"});
  add_peer_request(samples, "timeout_now", consensus::TimeoutNowRequest{});
  add_peer_request(samples, "read_index", consensus::ReadIndexRequest{});
  add_peer_answer(samples, "heartbeat", consensus::HeartbeatAnswer{true});
  add_peer_answer(samples, "append", consensus::AppendAnswer{true, 5});
  add_peer_answer(samples, "vote", consensus::VoteAnswer{true});
  add_peer_answer(samples, "install_snapshot", consensus::InstallSnapshotAnswer{true, 5});
  add_peer_answer(samples, "timeout_now", consensus::TimeoutNowAnswer{});
  add_peer_answer(samples, "read_index", consensus::ReadIndexAnswer{std::nullopt, refusal()});
}

std::optional<std::string> round_trip_state_machine(const std::string& bytes, Reason& reason) {
  declared::config::StateMachine machine;
  if (!machine.restore_snapshot(bytes, reason)) return std::nullopt;
  return machine.take_snapshot();
}

std::optional<std::string> round_trip_snapshot_file(const std::string& bytes, Reason& reason) {
  const auto snapshot = consensus::SnapshotFile::decode(bytes, reason);
  if (!snapshot) return std::nullopt;
  return consensus::SnapshotFile::encode(*snapshot);
}

/// The files of a control node: the content of each record, and one complete record.
void add_control_files(Samples& samples) {
  add(samples, "change_request", change_request());
  add(samples, "log_entry", log_entry());
  add(samples, "log_base", consensus::LogBase{4, 2});
  add(samples, "configuration_entry", configuration());
  add(samples, "metadata", consensus::Metadata{"identity", 5, NodeName("control-2")});
  declared::config::StateMachine machine;
  machine.apply({"change-1", 0, "alice", {{objects()[1], false, 0}, {objects()[3], false, 0}}});
  machine.apply({"change-2", 1, "bob", {{objects()[0], false, 7}}});
  samples.push_back({"state_machine_snapshot", machine.take_snapshot(), round_trip_state_machine});
  const consensus::Snapshot snapshot{{4, 2}, configuration(), machine.take_snapshot()};
  samples.push_back({"snapshot_file", consensus::SnapshotFile::encode(snapshot), round_trip_snapshot_file});
}

void add_database(Samples& samples) {
  const RequestId request{SessionName("session"), 8};
  database::WriteCommand write{
      {{database::OperationKind::kAppend, "decks/one", "card"}}, {{"decks/two", 3}}, true, request, 7};
  const database::LogEntry write_entry{{2, 5}, write};
  add(samples, "database_log_write", write_entry);
  add(samples, "database_log_abort", database::LogEntry{{2, 6}, database::AbortCommand{request}});
  add(samples, "database_log_no_operation", database::LogEntry{{2, 4}, database::NoOperation{}});
  add(samples, "database_snapshot", database::Snapshot{{2, 5}, "state"});
  add(samples, "database_term",
      database::TermRecord{5, "owner", BackendName("backend-1"), {"10.0.0.2", 4001}});
  add(samples, "database_pull_request", database::PullRequest{BackendName("backend-2"), 5, {{2, 5}}, 4, 9});
  add(samples, "database_pull_answer",
      database::PullAnswer{database::PullAnswerKind::kEntries, 5, 0, {write_entry}, std::nullopt, 5, 9});
  add(samples, "session_token", declared::routing::SessionToken{{{GroupName("group-1"), {2, 5}}}, false});
}

std::string text_of(const runtime::HttpRequest& request) {
  std::string text = request.target + "\n";
  for (const auto& [name, value] : request.headers.fields)
    text.append(name).append(": ").append(value).append("\n");
  return text.append(request.body);
}

/// Forwarding uses HTTP and has no decoder of its own.
void add_forward_hop(Samples& samples) {
  const auto unread = [](const std::string& bytes, Reason&) { return std::optional<std::string>(bytes); };
  declared::proxy::LedgerQuery question{{SessionName("session"), 8}, DatabaseName("decks"), "key", {}, {}};
  question.labels.entries["tier"] = "gold";
  const auto resolve = declared::proxy::resolve_request(question);
  const auto hop =
      declared::proxy::forwarded_request(resolve, NodeName("proxy-1"), std::chrono::milliseconds(250));
  samples.push_back({"forwarded_resolve", text_of(hop), unread});
}

}  // namespace

std::vector<FormatSample> format_samples() {
  Samples samples;
  add_follow(samples);
  add_news(samples);
  add_consensus_messages(samples);
  add_control_files(samples);
  add_database(samples);
  add_forward_hop(samples);
  samples.push_back({"record_frame", consensus::make_record("payload", 9),
                     [](const std::string& bytes, Reason&) -> std::optional<std::string> {
                       const auto record = consensus::read_record(bytes, 0);
                       if (!record || record->end != bytes.size()) return std::nullopt;
                       return consensus::make_record(record->payload, record->synced_size);
                     }});
  samples.push_back({"database_record_frame", database::frame_record("payload"),
                     [](const std::string& bytes, Reason& reason) -> std::optional<std::string> {
                       const auto log = database::recover_records("log", bytes, reason);
                       if (!log || log->records.size() != 1 || log->valid_size != bytes.size()) {
                         return std::nullopt;
                       }
                       return database::frame_record(log->records.front().payload);
                     }});
  for (FormatSample& sample : registered_samples()) samples.push_back(std::move(sample));
  return samples;
}

}  // namespace cairnhollow::tests
