#include "standins/registered/document_text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace cairnhollow::standins::registered {

namespace json = boost::json;

namespace {

constexpr const char* kDocumentPath = "/config";
constexpr std::uint64_t kTimeoutMs = 800;
constexpr std::uint64_t kTargetLatencyMs = 150;
constexpr std::uint64_t kMaxConnections = 30;
constexpr std::uint64_t kTransactionIdleMs = 3000;
constexpr std::uint64_t kColdStartS = 5;

const char* word_of(cairnhollow::registered::registry::ReadPolicy reads) {
  if (reads == cairnhollow::registered::registry::ReadPolicy::kBoundedStaleness) return "bounded_staleness";
  if (reads == cairnhollow::registered::registry::ReadPolicy::kReadYourWrites) return "read_your_writes";
  return "primary";
}

json::array region_list(const std::vector<RegionName>& regions) {
  json::array list;
  for (const RegionName& region : regions) list.emplace_back(region.value);
  return list;
}

json::array tenant_list(const std::vector<cairnhollow::registered::registry::TenantRule>& tenants) {
  json::array list;
  for (const cairnhollow::registered::registry::TenantRule& tenant : tenants) {
    json::array keys;
    for (const ApiKey& key : tenant.keys) keys.emplace_back(key.value);
    json::object one{{"Name", tenant.name.value},
                     {"ApiKeys", keys},
                     {"RatePerS", tenant.rate_per_s},
                     {"Burst", tenant.burst}};
    if (!tenant.allowed_regions.empty()) one["AllowedRegions"] = region_list(tenant.allowed_regions);
    list.push_back(std::move(one));
  }
  return list;
}

}  // namespace

std::string document_text(std::uint64_t version, const std::vector<DatabaseText>& databases,
                          const std::vector<std::string>& groups,
                          const std::vector<cairnhollow::registered::registry::TenantRule>& tenants,
                          double cold_rate_per_s) {
  json::array routes;
  for (const DatabaseText& database : databases) {
    json::object route{{"Name", "r-" + database.name},
                       {"Hostname", database.name},
                       {"PathPrefix", "/"},
                       {"RouteKind", word_of(database.reads)},
                       {"TimeoutMs", kTimeoutMs},
                       {"TargetLatencyMs", kTargetLatencyMs},
                       {"Priority", 1},
                       {"Service", database.group},
                       {"MaxStalenessMs", database.staleness_ms}};
    if (!database.allowed_regions.empty()) route["AllowedRegions"] = region_list(database.allowed_regions);
    routes.push_back(std::move(route));
  }
  json::array services;
  for (const std::string& group : groups) {
    json::object service{{"Name", group}, {"MaxConns", kMaxConnections}, {"SyncReplicas", 1}};
    if (cold_rate_per_s > 0) {
      service["ColdStartS"] = kColdStartS;
      service["ColdPerS"] = cold_rate_per_s;
    }
    services.push_back(std::move(service));
  }
  json::object document{{"Version", version},
                        {"Routes", routes},
                        {"Services", services},
                        {"Limits", json::object{{"TxnIdleMs", kTransactionIdleMs}}}};
  if (!tenants.empty()) document["Tenants"] = tenant_list(tenants);
  return json::serialize(document);
}

runtime::HttpRequest replace_document(std::string text) {
  runtime::HttpRequest request;
  request.method = runtime::HttpMethod::kPut;
  request.target = kDocumentPath;
  request.body = std::move(text);
  return request;
}

runtime::HttpRequest order_evacuation(const ZoneName& zone, bool begins) {
  runtime::HttpRequest request;
  request.method = begins ? runtime::HttpMethod::kPost : runtime::HttpMethod::kDelete;
  request.target = "/evacuations/" + zone.value;
  return request;
}

runtime::HttpRequest read_document() {
  runtime::HttpRequest request;
  request.target = kDocumentPath;
  return request;
}

std::uint64_t version_of(const std::string& text) {
  boost::system::error_code error;
  const json::value document = json::parse(text, error);
  if (error || !document.is_object()) return 0;
  const json::value* version = document.as_object().if_contains("Version");
  return version == nullptr ? 0 : version->to_number<std::uint64_t>();
}

}  // namespace cairnhollow::standins::registered
