// The domains of one proxy, and the mapping from databases to them. The mapping depends only on the settings,
// so a domain that has not been reached yet still owns its databases.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "declared/proxy/domain/domain.h"

namespace cairnhollow::declared::proxy {

class DomainTable {
 public:
  /// Creates the domains of the settings; if there are none, one unnamed domain that owns every database.
  explicit DomainTable(const DomainContext& context);

  /// Returns the domain that owns the database, or null with kNoRoute if there is none.
  Domain* find_by_database(const DatabaseName& database, Reason& reason);
  /// Returns the domain in which the transaction was begun, at this proxy or forwarded by it; an arbitrary
  /// domain if the transaction is unknown.
  Domain& find_by_transaction(const TransactionId& id);

  [[nodiscard]] const std::vector<std::unique_ptr<Domain>>& all() const { return domains_; }
  /// Whether the proxy accepts callers' work also for domains that do not list it: at least one domain lists
  /// it and none drains it.
  [[nodiscard]] bool accepts_callers() const;
  /// Whether callers should be sent to another proxy, judging by the domains reached so far.
  [[nodiscard]] bool redirects_callers() const;
  /// Open transactions, those begun at this proxy and those forwarded by it.
  [[nodiscard]] std::size_t open_transactions() const;
  [[nodiscard]] bool has_open_transaction(runtime::HttpConnectionId caller) const;
  void caller_gone(runtime::HttpConnectionId caller);
  void abandon_transactions();

 private:
  std::vector<std::unique_ptr<Domain>> domains_;
  std::map<DatabaseName, Domain*> by_database_;
};

}  // namespace cairnhollow::declared::proxy
