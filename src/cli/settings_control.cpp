#include "cli/settings_control.h"

#include <algorithm>

#include "cli/settings_limits.h"

namespace cairnhollow::cli {
namespace {

/// Followers must be able to miss a heartbeat without starting an election (Raft, section 9.3).
constexpr int kHeartbeatsPerElectionTimeout = 2;

consensus::Member read_member(SettingsReader& reader) {
  consensus::Member member;
  reader.read("node", member.node, Presence::kRequired);
  reader.read("endpoint", member.endpoint, Presence::kRequired);
  reader.read("zone", member.zone, Presence::kRequired);
  const std::vector<std::string> roles{"voter", "learner"};
  if (reader.read_choice("role", roles) == 1U) member.role = consensus::MemberRole::kLearner;
  return member;
}

void check_timeouts(SettingsReader& reader, const declared::control::ControlSettings& settings) {
  if (settings.heartbeat_interval * kHeartbeatsPerElectionTimeout > settings.election_timeout) {
    reader.report("heartbeat_interval", "must be at most half of election_timeout");
  }
}

void check_members(SettingsReader& reader, const declared::control::ControlSettings& settings) {
  const auto& members = settings.initial_members;
  if (settings.join && !members.empty()) {
    reader.report("initial_members", "must be left out when join is true");
  }
  if (settings.relay && !members.empty()) {
    reader.report("initial_members", "must be left out when relay is true");
  }
  if (settings.relay && settings.join) reader.report("relay", "a relay does not join the members");
  if (settings.relay && settings.control_endpoints.empty()) {
    reader.report("control_endpoints", "must name the control nodes that a relay follows");
  }
  if (settings.join || settings.relay || members.empty()) return;
  const bool named = std::any_of(members.begin(), members.end(), [&](const consensus::Member& member) {
    return member.node == settings.node;
  });
  if (!named) reader.report("initial_members", "must name this node: " + settings.node.value);
}

}  // namespace

declared::control::ControlSettings read_control_settings(SettingsReader& reader) {
  declared::control::ControlSettings settings;
  reader.read("node", settings.node, Presence::kRequired);
  reader.read("zone", settings.zone, Presence::kRequired);
  reader.read("peer_endpoint", settings.peer_endpoint, Presence::kRequired);
  reader.read("operator_endpoint", settings.operator_endpoint, Presence::kRequired);
  reader.read_list("initial_members",
                   [&](SettingsReader& item) { settings.initial_members.push_back(read_member(item)); });
  reader.read("join", settings.join);
  reader.read("relay", settings.relay);
  reader.read("control_endpoints", settings.control_endpoints);
  reader.read("platform_endpoint", settings.platform_endpoint);
  reader.read("serving_lease", settings.serving_lease, kIntervalRange);
  reader.read("probe_interval", settings.probe_interval, kIntervalRange);
  reader.read("probe_timeout", settings.probe_timeout, kIntervalRange);
  reader.read("election_timeout", settings.election_timeout, kIntervalRange);
  reader.read("heartbeat_interval", settings.heartbeat_interval, kIntervalRange);
  reader.read("platform_poll_interval", settings.platform_poll_interval, kIntervalRange);
  reader.read("snapshot_after_entries", settings.snapshot_after_entries, kEntryRange);
  reader.read("feature_level", settings.feature_level, kFeatureLevelRange);
  check_timeouts(reader, settings);
  check_members(reader, settings);
  return settings;
}

}  // namespace cairnhollow::cli
