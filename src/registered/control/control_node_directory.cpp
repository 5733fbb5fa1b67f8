#include "registered/control/control_node_directory.h"

#include "base/add_once.h"

namespace cairnhollow::registered::control {

std::vector<consensus::Member> ControlNodeDirectory::alive_members(TimePoint now) const {
  std::vector<consensus::Member> members;
  for (const auto& [node, presence] : presences_) {
    if (now - presence.received_at <= kPresenceTimeout) members.push_back(presence.member);
  }
  return members;
}

std::vector<Endpoint> ControlNodeDirectory::endpoints() const {
  std::vector<Endpoint> endpoints;
  for (const auto& member : consensus_.status().members) add_once(endpoints, member.endpoint);
  for (const auto& endpoint : advertised_) add_once(endpoints, endpoint);
  for (const auto& endpoint : seeds_) add_once(endpoints, endpoint);
  return endpoints;
}

std::vector<Endpoint> ControlNodeDirectory::serving_endpoints(TimePoint now) const {
  std::vector<Endpoint> endpoints;
  for (const auto& member : consensus_.status().members) add_once(endpoints, member.endpoint);
  for (const auto& member : alive_members(now)) add_once(endpoints, member.endpoint);
  return endpoints;
}

}  // namespace cairnhollow::registered::control
