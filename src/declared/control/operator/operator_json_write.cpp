// JSON encoding (declared in operator_json.h).
#include <boost/json.hpp>

#include "declared/config/manifest.h"
#include "declared/config/object_names.h"
#include "declared/config/selector_text.h"
#include "declared/control/operator/operator_json.h"

namespace cairnhollow::declared::control {

namespace json = boost::json;

namespace {

json::object position_json(const Position& position) {
  return {{"term", position.term}, {"index", position.index}};
}

template <class Item, class Write>
json::array list_json(const std::vector<Item>& items, Write write) {
  json::array list;
  for (const auto& item : items) list.push_back(write(item));
  return list;
}

json::value change_json(const config::ObjectChange& change) {
  json::object entry;
  if (change.deletion) {
    entry["delete"] =
        json::object{{"kind", config::kind_name(change.object.kind())}, {"name", change.object.name}};
  } else {
    entry["object"] = config::to_json(change.object);
  }
  if (change.based_on) entry["basedOn"] = *change.based_on;
  return entry;
}

json::value group_member_json(const GroupMemberStatus& member) {
  json::object entry{{"backend", member.backend.value},
                     {"zone", member.zone.value},
                     {"primary", member.is_primary},
                     {"reachable", member.reachable},
                     {"leaving", member.leaving},
                     {"term", member.term},
                     {"applied", position_json(member.applied)},
                     {"slotsInUse", member.slots_in_use},
                     {"connectionsInUse", member.connections_in_use}};
  if (member.last_problem.failed()) entry["lastProblem"] = to_json(member.last_problem);
  return entry;
}

json::value group_json(const GroupStatus& group) {
  return json::object{{"group", group.group.value},
                      {"term", group.term},
                      {"primary", group.primary.value},
                      {"supervisor", group.supervisor.value},
                      {"members", list_json(group.members, group_member_json)}};
}

json::value proxy_json(const ProxyStatus& proxy) {
  return json::object{{"proxy", proxy.proxy.value},
                      {"zone", proxy.zone.value},
                      {"controlNode", proxy.control_node.value},
                      {"revision", proxy.revision},
                      {"leaseLeftMs", in_ms(proxy.lease_left)},
                      {"inFlight", proxy.in_flight},
                      {"draining", proxy.draining}};
}

json::value member_status_json(const MemberStatus& status) {
  json::object entry = to_json(status.member).as_object();
  entry["role"] = status.member.role == consensus::MemberRole::kVoter ? "voter" : "learner";
  entry["leader"] = status.is_leader;
  entry["reachable"] = status.reachable;
  if (status.operator_endpoint) entry["operatorEndpoint"] = status.operator_endpoint->to_string();
  return entry;
}

json::value other_node_json(const OtherControlNode& other) {
  json::object entry{{"node", other.node.value}, {"reachable", other.reachable}};
  if (other.operator_endpoint) entry["operatorEndpoint"] = other.operator_endpoint->to_string();
  return entry;
}

json::value event_json(const FleetEvent& event) {
  json::object entry{{"number", event.number},   {"timeMicroseconds", event.wall_clock_microseconds},
                     {"node", event.node.value}, {"kind", event.kind},
                     {"subject", event.subject}, {"message", event.message}};
  if (event.cause.failed()) entry["cause"] = to_json(event.cause);
  return entry;
}

}  // namespace

json::value to_json(const Reason& reason) {
  return json::object{{"code", reason_code_name(reason.code)},
                      {"step", reason.step},
                      {"peer", reason.peer},
                      {"detail", reason.detail}};
}

json::value to_json(const config::ChangeRequest& request) {
  return json::object{{"changeId", request.change_id},
                      {"atRevision", request.at_revision},
                      {"operator", request.operator_name},
                      {"changes", list_json(request.changes, change_json)}};
}

json::value to_json(const config::ChangeOutcome& outcome) {
  json::object entry{{"accepted", outcome.accepted}, {"revision", outcome.revision}};
  if (outcome.reason.failed()) entry["reason"] = to_json(outcome.reason);
  if (outcome.conflicting) entry["conflicting"] = config::to_json(*outcome.conflicting);
  return entry;
}

json::value to_json(const ObjectList& list) {
  const auto write = [](const config::StoredObject& stored) { return config::to_json(stored); };
  return json::object{{"revision", list.revision}, {"objects", list_json(list.objects, write)}};
}

json::value to_json(const FleetStatus& status) {
  const auto write_name = [](const std::string& name) { return json::value(json::string(name)); };
  return json::object{{"answeredBy", status.answered_by.value},
                      {"leader", status.leader.value},
                      {"consensusTerm", status.consensus_term},
                      {"commitIndex", status.commit_index},
                      {"revision", status.revision},
                      {"members", list_json(status.members, member_status_json)},
                      {"otherControlNodes", list_json(status.other_control_nodes, other_node_json)},
                      {"groups", list_json(status.groups, group_json)},
                      {"proxies", list_json(status.proxies, proxy_json)},
                      {"leaving", list_json(status.leaving, write_name)}};
}

json::value to_json(const std::vector<FleetEvent>& events) {
  return json::object{{"events", list_json(events, event_json)}};
}

json::value to_json(const InForceReport& report) {
  return json::object{{"revision", report.revision},
                      {"least", report.least_revision},
                      {"behind", list_json(report.behind, proxy_json)}};
}

json::value to_json(const SwitchoverRequest& request) {
  json::object entry{{"group", request.group.value}};
  const std::string target = config::format_selector(request.target);
  if (!target.empty()) entry["target"] = target;
  return entry;
}

json::value to_json(const SwitchoverOutcome& outcome) {
  return json::object{{"primary", outcome.primary.value}, {"term", outcome.term}};
}

json::value to_json(const consensus::Member& member) {
  json::object entry{
      {"node", member.node.value}, {"endpoint", member.endpoint.to_string()}, {"zone", member.zone.value}};
  if (!member.identity.empty()) entry["identity"] = member.identity;
  return entry;
}

}  // namespace cairnhollow::declared::control
