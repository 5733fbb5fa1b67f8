#include "subset/subset.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace cairnhollow::subset {

namespace {

std::uint64_t hash_of(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

/// Returns the rendezvous weight of a node for a key from the hashes of both. Uses the finalizer of
/// MurmurHash3 (Appleby, 2011), which is cheaper than hashing the names again.
std::uint64_t mix(std::uint64_t key, std::uint64_t node) {
  std::uint64_t value = key ^ (node * 0x9e3779b97f4a7c15ULL);
  value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdULL;
  value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33U);
}

/// An entry with its weight for the current key; heavier entries come first.
template <class Entry>
struct Weighted {
  std::uint64_t weight = 0;
  const Entry* entry = nullptr;
  bool operator<(const Weighted& other) const { return weight > other.weight; }
};

/// Sorts by descending weight, keeping the order of equal entries.
template <class Entry>
void sort_by_weight(std::vector<Weighted<Entry>>& entries) {
  std::stable_sort(entries.begin(), entries.end());
}

}  // namespace

std::uint32_t subset_size(std::uint32_t connections_per_backend, std::size_t proxies) {
  const auto wanted = std::max(connections_per_backend / kMinConnectionsPerServingProxy, kMinServingProxies);
  return static_cast<std::uint32_t>(std::min<std::size_t>(wanted, proxies));
}

SubsetTable::SubsetTable(const std::vector<ProxyPointer>& proxies) : proxy_count_(proxies.size()) {
  std::map<ZoneName, Zone> by_zone;
  for (const auto& proxy : proxies) {
    by_zone[proxy->zone].nodes.push_back(Node{hash_of(proxy->name.value), proxy});
  }
  zones_.reserve(by_zone.size());
  for (auto& [name, zone] : by_zone) {
    zone.name = name;
    zone.hash = hash_of(name.value);
    zones_.push_back(std::move(zone));
  }
}

std::vector<std::uint32_t> SubsetTable::shares(const std::vector<const Zone*>& zone_order,
                                               std::size_t wanted) {
  std::vector<std::uint32_t> shares(zone_order.size());
  std::size_t given = 0;
  for (std::uint32_t turn = 0; given < wanted; ++turn) {
    for (std::size_t place = 0; place < zone_order.size() && given < wanted; ++place) {
      if (turn >= zone_order[place]->nodes.size()) continue;
      ++shares[place];
      ++given;
    }
  }
  return shares;
}

std::vector<const SubsetTable::Zone*> SubsetTable::zones_by_weight(std::uint64_t key) const {
  std::vector<Weighted<Zone>> weighted;
  weighted.reserve(zones_.size());
  for (const auto& zone : zones_) weighted.push_back({mix(key, zone.hash), &zone});
  sort_by_weight(weighted);
  std::vector<const Zone*> zone_order;
  zone_order.reserve(weighted.size());
  for (const auto& zone : weighted) zone_order.push_back(zone.entry);
  return zone_order;
}

std::vector<ProxyPointer> SubsetTable::heaviest(const std::vector<const Zone*>& zone_order,
                                                const std::vector<std::uint32_t>& shares, std::uint64_t key) {
  std::vector<ProxyPointer> subset;
  for (std::size_t zone = 0; zone < zone_order.size(); ++zone) {
    if (shares[zone] > 0) add_heaviest(*zone_order[zone], key, shares[zone], subset);
  }
  return subset;
}

std::vector<ProxyPointer> SubsetTable::serving(const GroupName& group, std::uint32_t size) const {
  const std::uint64_t key = hash_of(group.value);
  const auto zone_order = zones_by_weight(key);
  return heaviest(zone_order, shares(zone_order, std::min<std::size_t>(size, proxy_count_)), key);
}

std::vector<ProxyPointer> SubsetTable::serving_near(const GroupName& group, std::uint32_t size,
                                                    const std::vector<ZoneName>& near) const {
  const std::uint64_t key = hash_of(group.value);
  auto zone_order = zones_by_weight(key);
  const auto first_other = std::stable_partition(
      zone_order.begin(), zone_order.end(),
      [&near](const Zone* zone) { return std::find(near.begin(), near.end(), zone->name) != near.end(); });
  const auto near_count = static_cast<std::size_t>(first_other - zone_order.begin());
  std::size_t left = std::min<std::size_t>(size, proxy_count_);
  std::vector<std::uint32_t> shares(zone_order.size());
  const auto take_turn = [&](std::size_t zone) {
    if (left == 0 || shares[zone] == zone_order[zone]->nodes.size()) return false;
    ++shares[zone];
    --left;
    return true;
  };
  for (std::size_t zone = 0; zone < zone_order.size(); ++zone) take_turn(zone);
  for (std::size_t end : {near_count, zone_order.size()}) {
    for (bool taken = true; taken;) {
      taken = false;
      for (std::size_t zone = 0; zone < end; ++zone) taken = take_turn(zone) || taken;
    }
  }
  return heaviest(zone_order, shares, key);
}

void SubsetTable::add_heaviest(const Zone& zone, std::uint64_t key, std::uint32_t count,
                               std::vector<ProxyPointer>& subset) {
  std::vector<Weighted<Node>> best;  // in order; usually one
  for (const auto& node : zone.nodes) {
    const Weighted<Node> candidate{mix(key, node.hash), &node};
    if (best.size() == count && !(candidate < best.back())) continue;
    if (best.size() == count) best.pop_back();
    best.insert(std::upper_bound(best.begin(), best.end(), candidate), candidate);
  }
  for (const auto& chosen : best) subset.push_back(chosen.entry->proxy);
}

std::vector<ProxyPointer> forwarding_order(const std::vector<ProxyPointer>& subset, const NodeName& from,
                                           const ZoneName& zone) {
  const std::uint64_t key = hash_of(from.value);
  std::vector<Weighted<ProxyPointer>> near;
  std::vector<Weighted<ProxyPointer>> others;
  for (const auto& proxy : subset) {
    const Weighted<ProxyPointer> weighted{mix(key, hash_of(proxy->name.value)), &proxy};
    (proxy->zone == zone ? near : others).push_back(weighted);
  }
  sort_by_weight(near);
  sort_by_weight(others);
  near.insert(near.end(), others.begin(), others.end());
  std::vector<ProxyPointer> order;
  order.reserve(near.size());
  for (const auto& weighted : near) order.push_back(*weighted.entry);
  return order;
}

}  // namespace cairnhollow::subset
