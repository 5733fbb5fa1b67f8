// What callers with keys sent, what backends ran for whom, and what must never be in it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "registered/limits/limit_window.h"
#include "registered/registry/model.h"

namespace cairnhollow::standins::registered {

/// One statement as its caller sent it.
struct SentStatement {
  std::string id;
  std::string operation;  ///< that it is a part of
  ApiKey key;
  TimePoint at{};
};

/// One statement as a backend ran it.
struct RunStatement {
  std::string id;
  TenantName told;  ///< whom the backend was told that it runs for
  TimePoint at{};
};

/// What one document says of a tenant. `acknowledged_at`: when the operator was told that it is taken.
struct TenantEra {
  cairnhollow::registered::registry::TenantRule rule;
  TimePoint acknowledged_at{};
};

/// Filled by stand-ins, judged at the end.
struct TenantHistory {
  std::vector<SentStatement> sent;
  std::vector<RunStatement> runs;
  std::vector<TenantEra> eras;  ///< in the order of their documents
};

struct TenantBounds {
  Duration key_bound{0};      ///< how long after the acknowledgement of its removal a key may run something
  Duration limit_settles{0};  ///< how long after the acknowledgement of a lower limit it must hold
  cairnhollow::registered::limits::LimitWindow window;
};

/// Every violation, in words: a statement run for another tenant than its key's, or with a key that nobody
/// ever had, or with one that was removed too long before; more operations of a tenant in a window than
/// allowed.
std::vector<std::string> find_tenant_violations(const TenantHistory& history, const TenantBounds& bounds);

}  // namespace cairnhollow::standins::registered
