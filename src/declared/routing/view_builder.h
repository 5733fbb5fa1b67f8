// Builds the immutable routing view from the follow stream's state and updates it incrementally, at a cost
// proportional to what each change affects.
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

/// Assigns each backend name an index into the estimate tables that is stable for the life of the process.
class BackendOrdinals {
 public:
  std::uint32_t of(const BackendName& name);
  [[nodiscard]] std::size_t size() const { return ordinals_.size(); }

 private:
  std::map<BackendName, std::uint32_t> ordinals_;
};

/// The inputs of a view. The references are used only during the call that builds it.
struct ViewSources {
  std::uint64_t revision = 0;
  const std::map<config::ObjectKey, config::StoredObject>& objects;
  const std::map<GroupName, follow::GroupState>& groups;
  const std::set<std::string>& leaving;  ///< machines that the platform lists as leaving
};

/// What may differ from the sources of the last view. Listing too much only costs time.
struct ViewChange {
  std::vector<config::ObjectKey> objects;  ///< written or deleted
  std::vector<GroupName> groups;           ///< with a changed term or primary
  bool leaving = false;
};

using ViewPointer = std::shared_ptr<const RoutingView>;

/// Keeps the last view and a copy of the configuration, indexed by labels and selectors. A group is rebuilt
/// if it, one of its members or its state changed; a route if it changed or a group that it selects changed
/// in labels or hash slots. Everything else is shared with the previous view.
class ViewBuilder {
 public:
  /// `domain` is empty if there is only one domain. In a named domain a proxy without a Proxy object serves
  /// no group and forwards to the proxies of the domain.
  explicit ViewBuilder(NodeName this_proxy, DomainName domain = {})
      : this_proxy_(std::move(this_proxy)), domain_(std::move(domain)) {}

  /// Builds the view from scratch.
  ViewPointer rebuild(const ViewSources& sources);
  /// Returns the view of `sources`, given what changed since the last call. The result equals that of
  /// rebuild().
  ViewPointer update(const ViewSources& sources, const ViewChange& change);

  [[nodiscard]] BackendOrdinals& ordinals() { return ordinals_; }

 private:
  /// What an update has to rebuild.
  struct Affected {
    std::set<std::string> groups;
    std::set<std::string> routes;
    bool proxies = false;  ///< whether the set of proxies changed, and with it possibly any group's subset
  };

  std::set<std::string> update_leaving(const std::set<std::string>& leaving);
  void update_object(const ViewSources& sources, const config::ObjectKey& key, Affected& affected);
  void record_group(const config::StoredObject* before, const config::StoredObject* after,
                    Affected& affected);
  void record_selecting_groups(const config::StoredObject* backend, Affected& affected) const;
  void update_machine(const std::string& name, Affected& affected);
  void make_group(const config::StoredObject& stored, const ViewSources& sources, RoutingView& view);
  void make_routes(const std::set<std::string>& names, RoutingView& view);
  void set_proxy_state(RoutingView& view) const;
  void rebuild_subsets();
  void assign_proxies(GroupView& group) const;
  /// Rebuilds the groups whose proxy subset changed.
  void update_group_subsets(RoutingView& view) const;
  [[nodiscard]] BackendView make_backend(const config::StoredObject& stored);

  [[nodiscard]] const config::StoredObject* this_proxy_object() const;

  NodeName this_proxy_;
  DomainName domain_;
  BackendOrdinals ordinals_;
  config::ObjectStore objects_;
  std::set<std::string> leaving_;
  std::map<std::string, subset::ProxyPointer> proxies_serving_;  ///< neither draining nor leaving
  subset::SubsetTable subsets_;                                  ///< computed from proxies_serving_
  std::map<std::string, RoutePointer> routes_;
  ViewPointer view_ = std::make_shared<RoutingView>();
};

}  // namespace cairnhollow::declared::routing
