// The domains of one proxy, and which of them decides a statement: by the settings alone, so that a domain
// not yet reached still owns its databases.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "declared/proxy/domain/domain.h"

namespace cairnhollow::declared::proxy {

class DomainTable {
 public:
  /// The settings' domains; without any, one without a name that owns every database.
  explicit DomainTable(const DomainContext& context);

  /// The domain that owns the database. Null with kNoRoute when none does.
  Domain* of_database(const DatabaseName& database, Reason& reason);
  /// The domain that the transaction was begun in, here or through this proxy; any one when it is not known.
  Domain& of_transaction(const TransactionId& id);

  [[nodiscard]] const std::vector<std::unique_ptr<Domain>>& all() const { return domains_; }
  /// Whether the proxy takes callers' work for domains that do not name it: one names it, none drains it.
  [[nodiscard]] bool takes_callers() const;
  /// Whether callers had better go to another proxy, by what the domains reached so far say.
  [[nodiscard]] bool sends_callers_elsewhere() const;
  /// Transactions begun here or through this proxy.
  [[nodiscard]] std::size_t open_transactions() const;
  [[nodiscard]] bool has_open_transaction(runtime::HttpConnectionId caller) const;
  void caller_gone(runtime::HttpConnectionId caller);
  void abandon_transactions();

 private:
  std::vector<std::unique_ptr<Domain>> domains_;
  std::map<DatabaseName, Domain*> by_database_;
};

}  // namespace cairnhollow::declared::proxy
