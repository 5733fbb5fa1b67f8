// JSON decoding (declared in operator_json.h).
#include <fmt/format.h>

#include "declared/config/document_reader.h"
#include "declared/config/manifest.h"
#include "declared/config/object_names.h"
#include "declared/config/selector_text.h"
#include "declared/control/operator/operator_json.h"

namespace cairnhollow::declared::control {

namespace {

using config::DocumentNode;
using config::FaultList;
using config::MappingReader;
using config::Presence;

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

std::optional<ReasonCode> parse_reason_code(const std::string& name) {
  for (int value = 0; value <= static_cast<int>(ReasonCode::kInternal); ++value) {
    const auto code = static_cast<ReasonCode>(value);
    if (reason_code_name(code) == name) return code;
  }
  return std::nullopt;
}

/// Reads each item of an optional list with `read(reader) -> Item`.
template <class Read>
auto read_list(MappingReader& parent, const std::string& key, Read read) {
  std::vector<decltype(read(parent))> items;
  const DocumentNode* list = parent.take(key, kOptional);
  if (list == nullptr) return items;
  if (list->type != DocumentNode::Type::kSequence) {
    parent.faults().add(list->line, parent.path_of(key), "must be a list");
  }
  for (std::size_t i = 0; i < list->items.size(); ++i) {
    MappingReader reader(list->items[i], fmt::format("{}[{}]", parent.path_of(key), i), parent.faults());
    items.push_back(read(reader));
  }
  return items;
}

void read_reason(MappingReader& parent, const std::string& key, Reason& target) {
  const DocumentNode* node = parent.take(key, kOptional);
  if (node == nullptr) return;
  MappingReader reader(*node, parent.path_of(key), parent.faults());
  std::string code;
  reader.read("code", kRequired, code);
  target.code = parse_reason_code(code).value_or(ReasonCode::kInternal);
  reader.read("step", kOptional, target.step);
  reader.read("peer", kOptional, target.peer);
  reader.read("detail", kOptional, target.detail);
}

void read_position(MappingReader& parent, const std::string& key, Position& target) {
  const DocumentNode* node = parent.take(key, kOptional);
  if (node == nullptr) return;
  MappingReader reader(*node, parent.path_of(key), parent.faults());
  reader.read("term", kRequired, target.term);
  reader.read("index", kRequired, target.index);
}

void read_endpoint(MappingReader& reader, const std::string& key, Presence presence,
                   std::optional<Endpoint>& target) {
  std::string text;
  reader.read(key, presence, text);
  if (text.empty()) return;
  target = parse_endpoint(text);
  if (!target) reader.faults().add(0, reader.path_of(key), "must be an IP address and port");
}

/// Reads a stored object or manifest; on failure records the fault and returns std::nullopt.
std::optional<config::Manifest> read_manifest(const boost::json::value& value, const std::string& field,
                                              FaultList& faults) {
  Reason fault;
  auto manifest = config::manifest_from_json(value, fault);
  if (!manifest) faults.add(0, field, fault.detail);
  return manifest;
}

config::StoredObject stored_object(config::Manifest manifest) {
  return {std::move(manifest.object), manifest.resource_version.value_or(0)};
}

void read_deletion(MappingReader& reader, config::ObjectChange& change) {
  const DocumentNode* node = reader.take("delete", kRequired);
  if (node == nullptr) return;
  change.deletion = true;
  MappingReader key_reader(*node, reader.path_of("delete"), reader.faults());
  std::string kind_text;
  key_reader.read("kind", kRequired, kind_text);
  key_reader.read("name", kRequired, change.object.name);
  key_reader.finish();
  const auto kind = config::parse_kind(kind_text);
  if (!kind) {
    reader.faults().add(0, key_reader.path_of("kind"), fmt::format("unknown kind '{}'", kind_text));
    return;
  }
  if (*kind == config::ObjectKind::kBackend) change.object.spec = config::BackendSpec{};
  if (*kind == config::ObjectKind::kDatabaseGroup) change.object.spec = config::DatabaseGroupSpec{};
  if (*kind == config::ObjectKind::kRoute) change.object.spec = config::RouteSpec{};
}

void read_written_object(MappingReader& reader, config::ObjectChange& change) {
  const DocumentNode* node = reader.take("object", kRequired);
  if (node == nullptr) return;
  auto manifest = read_manifest(config::to_json(*node), reader.path_of("object"), reader.faults());
  if (!manifest) return;
  change.object = std::move(manifest->object);
  if (!manifest->resource_version) return;
  if (change.based_on && change.based_on != manifest->resource_version) {
    reader.faults().add(0, reader.path_of("basedOn"), "differs from the object's resourceVersion");
  }
  change.based_on = manifest->resource_version;
}

config::ObjectChange read_change(MappingReader& reader) {
  config::ObjectChange change;
  if (reader.take("basedOn", kOptional) != nullptr) {
    std::uint64_t based_on = 0;
    reader.read("basedOn", kOptional, based_on);
    change.based_on = based_on;
  }
  if (reader.take("delete", kOptional) != nullptr) {
    read_deletion(reader, change);
  } else {
    read_written_object(reader, change);
  }
  reader.finish();
  return change;
}

GroupMemberStatus read_group_member(MappingReader& reader) {
  GroupMemberStatus member;
  reader.read("backend", kRequired, member.backend.value);
  reader.read("zone", kOptional, member.zone.value);
  reader.read("primary", kOptional, member.is_primary);
  reader.read("reachable", kOptional, member.reachable);
  reader.read("leaving", kOptional, member.leaving);
  reader.read("term", kOptional, member.term);
  read_position(reader, "applied", member.applied);
  reader.read("slotsInUse", kOptional, member.slots_in_use);
  reader.read("connectionsInUse", kOptional, member.connections_in_use);
  read_reason(reader, "lastProblem", member.last_problem);
  return member;
}

GroupStatus read_group(MappingReader& reader) {
  GroupStatus group;
  reader.read("group", kRequired, group.group.value);
  reader.read("term", kOptional, group.term);
  reader.read("primary", kOptional, group.primary.value);
  reader.read("supervisor", kOptional, group.supervisor.value);
  group.members = read_list(reader, "members", read_group_member);
  return group;
}

ProxyStatus read_proxy(MappingReader& reader) {
  ProxyStatus proxy;
  reader.read("proxy", kRequired, proxy.proxy.value);
  reader.read("zone", kOptional, proxy.zone.value);
  reader.read("controlNode", kOptional, proxy.control_node.value);
  reader.read("revision", kOptional, proxy.revision);
  std::uint32_t lease_left = 0;
  reader.read("leaseLeftMs", kOptional, lease_left);
  proxy.lease_left = std::chrono::milliseconds(lease_left);
  reader.read("inFlight", kOptional, proxy.in_flight);
  reader.read("draining", kOptional, proxy.draining);
  return proxy;
}

consensus::Member read_member(MappingReader& reader) {
  consensus::Member member;
  reader.read("node", kRequired, member.node.value);
  reader.read("zone", kOptional, member.zone.value);
  reader.read("identity", kOptional, member.identity);
  std::optional<Endpoint> endpoint;
  read_endpoint(reader, "endpoint", kRequired, endpoint);
  if (endpoint) member.endpoint = *endpoint;
  return member;
}

MemberStatus read_member_status(MappingReader& reader) {
  MemberStatus status;
  status.member = read_member(reader);
  std::string role;
  reader.read("role", kOptional, role);
  status.member.role = role == "learner" ? consensus::MemberRole::kLearner : consensus::MemberRole::kVoter;
  reader.read("leader", kOptional, status.is_leader);
  reader.read("reachable", kOptional, status.reachable);
  read_endpoint(reader, "operatorEndpoint", kOptional, status.operator_endpoint);
  return status;
}

OtherControlNode read_other_node(MappingReader& reader) {
  OtherControlNode other;
  reader.read("node", kRequired, other.node.value);
  reader.read("reachable", kOptional, other.reachable);
  read_endpoint(reader, "operatorEndpoint", kOptional, other.operator_endpoint);
  return other;
}

FleetEvent read_event(MappingReader& reader) {
  FleetEvent event;
  reader.read("number", kRequired, event.number);
  std::uint64_t microseconds = 0;
  reader.read("timeMicroseconds", kOptional, microseconds);
  event.wall_clock_microseconds = static_cast<std::int64_t>(microseconds);
  reader.read("node", kOptional, event.node.value);
  reader.read("kind", kRequired, event.kind);
  reader.read("subject", kOptional, event.subject);
  reader.read("message", kOptional, event.message);
  read_reason(reader, "cause", event.cause);
  return event;
}

std::vector<std::string> read_names(MappingReader& reader, const std::string& key) {
  std::vector<std::string> names;
  const DocumentNode* list = reader.take(key, kOptional);
  if (list == nullptr) return names;
  for (const auto& item : list->items) names.push_back(item.text);
  return names;
}

/// Runs `read(reader, value)` on a whole JSON value; std::nullopt with `reason` if it reported a fault.
template <class Value, class Read>
std::optional<Value> read_document(const boost::json::value& json, Reason& reason, Read read) {
  FaultList faults("");
  const DocumentNode node = config::from_json(json);
  MappingReader reader(node, "", faults);
  Value value;
  read(reader, value);
  if (faults.empty()) return value;
  reason = faults.reason();
  return std::nullopt;
}

}  // namespace

std::optional<config::ChangeRequest> change_request_from_json(const boost::json::value& value,
                                                              Reason& reason) {
  return read_document<config::ChangeRequest>(value, reason, [](MappingReader& reader, auto& request) {
    reader.read("changeId", kRequired, request.change_id);
    reader.read("atRevision", kRequired, request.at_revision);
    reader.read("operator", kOptional, request.operator_name);
    reader.take("changes", kRequired);
    request.changes = read_list(reader, "changes", read_change);
    reader.finish();
  });
}

std::optional<SwitchoverRequest> switchover_request_from_json(const boost::json::value& value,
                                                              Reason& reason) {
  return read_document<SwitchoverRequest>(value, reason, [](MappingReader& reader, auto& request) {
    reader.read("group", kRequired, request.group.value);
    std::string target;
    reader.read("target", kOptional, target);
    Reason fault;
    if (auto selector = config::parse_selector(target, fault)) {
      request.target = std::move(*selector);
    } else {
      reader.faults().add(0, "target", fault.detail);
    }
    reader.finish();
  });
}

std::optional<consensus::Member> member_from_json(const boost::json::value& value, Reason& reason) {
  return read_document<consensus::Member>(value, reason, [](MappingReader& reader, auto& member) {
    member = read_member(reader);
    reader.finish();
  });
}

std::optional<config::ChangeOutcome> change_outcome_from_json(const boost::json::value& value,
                                                              Reason& reason) {
  return read_document<config::ChangeOutcome>(value, reason, [](MappingReader& reader, auto& outcome) {
    reader.read("accepted", kRequired, outcome.accepted);
    reader.read("revision", kRequired, outcome.revision);
    read_reason(reader, "reason", outcome.reason);
    const DocumentNode* winner = reader.take("conflicting", kOptional);
    if (winner == nullptr) return;
    auto manifest = read_manifest(config::to_json(*winner), "conflicting", reader.faults());
    if (manifest) outcome.conflicting = stored_object(std::move(*manifest));
  });
}

std::optional<ObjectList> object_list_from_json(const boost::json::value& value, Reason& reason) {
  return read_document<ObjectList>(value, reason, [](MappingReader& reader, auto& list) {
    reader.read("revision", kRequired, list.revision);
    const DocumentNode* objects = reader.take("objects", kRequired);
    if (objects == nullptr) return;
    for (const auto& item : objects->items) {
      auto manifest = read_manifest(config::to_json(item), "objects", reader.faults());
      if (manifest) list.objects.push_back(stored_object(std::move(*manifest)));
    }
  });
}

std::optional<FleetStatus> fleet_status_from_json(const boost::json::value& value, Reason& reason) {
  return read_document<FleetStatus>(value, reason, [](MappingReader& reader, auto& status) {
    reader.read("answeredBy", kRequired, status.answered_by.value);
    reader.read("leader", kOptional, status.leader.value);
    reader.read("consensusTerm", kOptional, status.consensus_term);
    reader.read("commitIndex", kOptional, status.commit_index);
    reader.read("revision", kOptional, status.revision);
    status.members = read_list(reader, "members", read_member_status);
    status.other_control_nodes = read_list(reader, "otherControlNodes", read_other_node);
    status.groups = read_list(reader, "groups", read_group);
    status.proxies = read_list(reader, "proxies", read_proxy);
    status.leaving = read_names(reader, "leaving");
  });
}

std::optional<std::vector<FleetEvent>> events_from_json(const boost::json::value& value, Reason& reason) {
  return read_document<std::vector<FleetEvent>>(value, reason, [](MappingReader& reader, auto& events) {
    reader.take("events", kRequired);
    events = read_list(reader, "events", read_event);
  });
}

std::optional<InForceReport> in_force_report_from_json(const boost::json::value& value, Reason& reason) {
  return read_document<InForceReport>(value, reason, [](MappingReader& reader, auto& report) {
    reader.read("revision", kRequired, report.revision);
    reader.read("least", kRequired, report.least_revision);
    report.behind = read_list(reader, "behind", read_proxy);
  });
}

std::optional<SwitchoverOutcome> switchover_outcome_from_json(const boost::json::value& value,
                                                              Reason& reason) {
  return read_document<SwitchoverOutcome>(value, reason, [](MappingReader& reader, auto& outcome) {
    reader.read("primary", kRequired, outcome.primary.value);
    reader.read("term", kRequired, outcome.term);
  });
}

}  // namespace cairnhollow::declared::control
