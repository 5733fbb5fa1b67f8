// Builds the immutable routing view from what the follow stream holds, and keeps it up to date at the cost of
// what each change touches.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "declared/config/object_store.h"
#include "declared/follow/messages.h"
#include "declared/routing/decision.h"

namespace cairnhollow::declared::routing {

/// Gives each backend name a place in the estimate tables, the same for the life of the process.
class BackendOrdinals {
 public:
  std::uint32_t of(const BackendName& name);
  [[nodiscard]] std::size_t size() const { return ordinals_.size(); }

 private:
  std::map<BackendName, std::uint32_t> ordinals_;
};

/// References to what the view is made of; only read while it is built.
struct ViewSources {
  std::uint64_t revision = 0;
  const std::map<config::ObjectKey, config::StoredObject>& objects;
  const std::map<GroupName, follow::GroupState>& groups;
  const std::set<std::string>& leaving;  ///< machines that the platform lists as leaving
};

/// What may differ from the sources of the last view; naming too much costs time only.
struct ViewChange {
  std::vector<config::ObjectKey> objects;  ///< written or deleted
  std::vector<GroupName> groups;           ///< their term or primary
  bool leaving = false;
};

using ViewPointer = std::shared_ptr<const RoutingView>;

/// Keeps a copy of the configuration, indexed by labels and selectors, and the last view. A group is made
/// anew when it, one of its members or its state changed; a route when it or a group that it selects changed
/// in labels or hash slots. All else is shared with the view before.
class ViewBuilder {
 public:
  /// `domain` is empty where there is only one. In a named domain a proxy without an object of its own serves
  /// no group: it forwards to the proxies that the domain names.
  explicit ViewBuilder(NodeName this_proxy, DomainName domain = {})
      : this_proxy_(std::move(this_proxy)), domain_(std::move(domain)) {}

  /// Builds everything anew.
  ViewPointer rebuild(const ViewSources& sources);
  /// The view of `sources`, given what changed since the last call: the same as rebuild() gives.
  ViewPointer update(const ViewSources& sources, const ViewChange& change);

  [[nodiscard]] BackendOrdinals& ordinals() { return ordinals_; }

 private:
  /// What an update has to make anew.
  struct Touched {
    std::set<std::string> groups;
    std::set<std::string> routes;
    bool proxies = false;  ///< the membership, and so perhaps any group's subset
  };

  std::set<std::string> take_leaving(const std::set<std::string>& leaving);
  void take_object(const ViewSources& sources, const config::ObjectKey& key, Touched& touched);
  void record_group(const config::StoredObject* before, const config::StoredObject* after, Touched& touched);
  void record_selecting_groups(const config::StoredObject* backend, Touched& touched) const;
  void record_machine(const std::string& name, Touched& touched);
  void make_group(const config::StoredObject& stored, const ViewSources& sources, RoutingView& view);
  void make_routes(const std::set<std::string>& names, RoutingView& view);
  void count_proxies(RoutingView& view) const;
  void take_membership();
  void set_proxies(GroupView& group) const;
  /// Makes the groups anew whose subset has changed with the membership.
  void move_groups(RoutingView& view) const;
  [[nodiscard]] BackendView make_backend(const config::StoredObject& stored);

  [[nodiscard]] const config::StoredObject* this_proxy_object() const;

  NodeName this_proxy_;
  DomainName domain_;
  BackendOrdinals ordinals_;
  config::ObjectStore objects_;
  std::set<std::string> leaving_;
  std::map<std::string, subset::ProxyPointer> proxies_serving_;  ///< proxies that neither drain nor leave
  subset::SubsetTable subsets_;                                  ///< of these
  std::map<std::string, RoutePointer> routes_;
  ViewPointer view_ = std::make_shared<RoutingView>();
};

}  // namespace cairnhollow::declared::routing
