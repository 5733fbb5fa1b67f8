// RegisteredFleet's part that notes where callers' statements arrive.
#include "registered/proxy/forwarding/forward_messages.h"
#include "simulation/registered_fleet.h"
#include "standins/registered/document_text.h"
#include "wire/codec.h"

namespace cairnhollow::simulation {

using namespace standins::registered;

void RegisteredFleet::record_regions() {
  region_history_.zone_regions = settings_.zone_regions;
  world_.network().record_frames(
      [this](const std::string& sender, const std::string& receiver, const std::string& frame) {
        if (sender.starts_with("proxy-") && receiver.starts_with("proxy-")) record_forwarded(receiver, frame);
      });
}

void RegisteredFleet::add_region_era() {
  RegionEra era{settings_.database_regions, {}, world_.now()};
  for (const registered::registry::TenantRule& tenant : settings_.tenants)
    era.by_tenant[tenant.name] = tenant.allowed_regions;
  region_history_.eras.push_back(std::move(era));
}

void RegisteredFleet::record_forwarded(const std::string& receiver, const std::string& frame) {
  Reason reason;
  const auto request = wire::decode<registered::proxy::ForwardRequest>(frame, reason);
  if (!request) return;
  const auto* run = std::get_if<registered::proxy::ForwardRun>(&request->body);
  const auto* further = std::get_if<registered::proxy::ForwardInTransaction>(&request->body);
  if (run == nullptr && further == nullptr) return;
  const registered::proxy::ForwardedStatement& order = run != nullptr ? run->statement : further->statement;
  const ZoneName zone(kZones[(std::stoull(receiver.substr(receiver.rfind('-') + 1)) - 1) % kZones.size()]);
  region_history_.placed.push_back({order.id, zone, false, world_.now()});
}

}  // namespace cairnhollow::simulation
