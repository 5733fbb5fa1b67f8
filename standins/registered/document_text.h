// The operator's calls as the platform speaks them, for tests.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "registered/registry/model.h"
#include "runtime/http.h"

namespace cairnhollow::standins::registered {

struct DatabaseText {
  std::string name;
  cairnhollow::registered::registry::ReadPolicy reads =
      cairnhollow::registered::registry::ReadPolicy::kPrimary;
  std::uint64_t staleness_ms = 0;
  std::string group;
  std::vector<RegionName> allowed_regions{};  ///< empty: the document says nothing of them
};

/// The databases that tests declare: one for each read policy.
struct PolicyOfDatabase {
  const char* name;
  cairnhollow::registered::registry::ReadPolicy policy;
  std::uint64_t staleness_ms;
};
inline constexpr std::array<PolicyOfDatabase, 3> kPolicies{
    {{"records", cairnhollow::registered::registry::ReadPolicy::kPrimary, 0},
     {"browse", cairnhollow::registered::registry::ReadPolicy::kBoundedStaleness, 1500},
     {"assign", cairnhollow::registered::registry::ReadPolicy::kReadYourWrites, 2500}}};
/// The zones that tests spread machines over.
inline const std::vector<std::string> kZones{"kelburn", "petone", "porirua"};

/// A configuration document of these databases and groups.
/// `tenants`: empty where callers need no keys. `cold_rate_per_s`: of each group's cold backends; 0: no
/// limit.
std::string document_text(std::uint64_t version, const std::vector<DatabaseText>& databases,
                          const std::vector<std::string>& groups,
                          const std::vector<cairnhollow::registered::registry::TenantRule>& tenants = {},
                          double cold_rate_per_s = 0);

runtime::HttpRequest replace_document(std::string text);
runtime::HttpRequest read_document();
/// An order to evacuate a zone, or to take that back.
runtime::HttpRequest order_evacuation(const ZoneName& zone, bool begins);
/// 0 when the text is no document.
std::uint64_t version_of(const std::string& text);

}  // namespace cairnhollow::standins::registered
