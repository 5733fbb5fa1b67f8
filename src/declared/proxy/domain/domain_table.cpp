#include "declared/proxy/domain/domain_table.h"

#include <algorithm>

namespace cairnhollow::declared::proxy {

DomainTable::DomainTable(const DomainContext& context) {
  auto settings = context.settings.domains;
  if (settings.empty()) settings.push_back({DomainName(), context.settings.control_endpoints, {}});
  for (auto& domain : settings) {
    domains_.push_back(std::make_unique<Domain>(context, std::move(domain)));
    for (const auto& database : domains_.back()->databases()) {
      by_database_.try_emplace(database, domains_.back().get());
    }
  }
}

Domain* DomainTable::find_by_database(const DatabaseName& database, Reason& reason) {
  const bool only_one = domains_.size() == 1 && domains_.front()->name().empty();
  if (only_one) return domains_.front().get();
  const auto found = by_database_.find(database);
  if (found != by_database_.end()) return found->second;
  reason = Reason{ReasonCode::kNoRoute, "find_domain", "",
                  "no domain of this proxy's settings owns database " + database.value};
  return nullptr;
}

Domain& DomainTable::find_by_transaction(const TransactionId& id) {
  for (const auto& domain : domains_) {
    if (domain->transactions().knows(id) || domain->forwarded_transactions().knows(id)) return *domain;
  }
  return *domains_.front();
}

bool DomainTable::accepts_callers() const {
  bool named = false;
  for (const auto& domain : domains_) {
    const auto view = domain->state().serving.view();
    if (view->this_proxy_known && !view->this_proxy_serves) return false;
    named = named || view->this_proxy_serves;
  }
  return named;
}

bool DomainTable::redirects_callers() const {
  bool all_reached = true;
  for (const auto& domain : domains_) {
    const auto view = domain->state().serving.view();
    if (view->this_proxy_leaves) return true;
    if (view->this_proxy_known && !view->this_proxy_serves) return true;
    all_reached = all_reached && view->revision > 0;
  }
  return all_reached && !accepts_callers();
}

std::size_t DomainTable::open_transactions() const {
  std::size_t open = 0;
  for (const auto& domain : domains_) {
    open += domain->transactions().open() + domain->forwarded_transactions().open();
  }
  return open;
}

bool DomainTable::has_open_transaction(runtime::HttpConnectionId caller) const {
  return std::any_of(domains_.begin(), domains_.end(), [&](const auto& domain) {
    return domain->transactions().has_open(caller) || domain->forwarded_transactions().has_open(caller);
  });
}

void DomainTable::caller_gone(runtime::HttpConnectionId caller) {
  for (const auto& domain : domains_) {
    domain->transactions().caller_gone(caller);
    domain->forwarded_transactions().caller_gone(caller);
  }
}

void DomainTable::abandon_transactions() {
  for (const auto& domain : domains_) {
    domain->transactions().abandon_all();
    domain->forwarded_transactions().abandon_all();
  }
}

}  // namespace cairnhollow::declared::proxy
