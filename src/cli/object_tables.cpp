#include "cli/object_tables.h"

#include <fmt/format.h>

#include <algorithm>

#include "cli/table.h"
#include "declared/config/duration_text.h"
#include "declared/config/object_names.h"
#include "declared/config/selector_text.h"

namespace cairnhollow::cli {

namespace {

using Cells = std::vector<std::string>;

std::string selector_cell(const declared::config::Selector& selector) {
  const std::string text = declared::config::format_selector(selector);
  return text.empty() ? "(all)" : text;
}

const char* yes_or_no(bool value) { return value ? "yes" : "no"; }

Cells header_of(declared::config::ObjectKind kind) {
  switch (kind) {
    case declared::config::ObjectKind::kProxy:
    case declared::config::ObjectKind::kBackend:
      return {"ZONE", "ENDPOINT", "DRAIN"};
    case declared::config::ObjectKind::kDatabaseGroup:
      return {"BACKENDS", "HASH-SLOTS", "CONNECTIONS", "SLOTS"};
    case declared::config::ObjectKind::kRoute:
      return {"PRECEDENCE", "STATEMENTS", "GROUPS", "REPLICAS", "MAX-STALENESS", "REPLICA-WAIT"};
  }
  return {};
}

Cells cells_of(const declared::config::ProxySpec& spec) {
  return {spec.zone.value, spec.endpoint.to_string(), yes_or_no(spec.drain)};
}

Cells cells_of(const declared::config::BackendSpec& spec) {
  return {spec.zone.value, spec.endpoint.to_string(), yes_or_no(spec.drain)};
}

Cells cells_of(const declared::config::DatabaseGroupSpec& spec) {
  return {selector_cell(spec.backend_selector),
          fmt::format("{}-{}", spec.hash_slots.first, spec.hash_slots.last),
          std::to_string(spec.connections_per_backend), std::to_string(spec.slots_per_backend)};
}

Cells cells_of(const declared::config::RouteSpec& spec) {
  return {std::to_string(spec.precedence),
          selector_cell(spec.statement_selector),
          selector_cell(spec.group_selector),
          spec.replica_reads ? selector_cell(spec.replica_selector) : "(none)",
          declared::config::format_milliseconds(spec.max_staleness_milliseconds),
          declared::config::format_milliseconds(spec.replica_wait_milliseconds)};
}

std::string table_of(declared::config::ObjectKind kind,
                     const std::vector<declared::config::StoredObject>& objects) {
  Cells header = header_of(kind);
  header.insert(header.begin(), "NAME");
  header.insert(header.end(), {"VERSION", "LABELS"});
  Table table(std::move(header));
  for (const auto& stored : objects) {
    if (stored.object.kind() != kind) continue;
    Cells cells = std::visit([](const auto& spec) { return cells_of(spec); }, stored.object.spec);
    cells.insert(cells.begin(), stored.object.name);
    cells.insert(cells.end(), {std::to_string(stored.version), labels_text(stored.object.labels)});
    table.add(std::move(cells));
  }
  return table.to_string();
}

}  // namespace

std::string labels_text(const LabelSet& labels) {
  std::string text;
  for (const auto& [key, value] : labels.entries) {
    if (!text.empty()) text += ',';
    text += fmt::format("{}={}", key, value);
  }
  return text.empty() ? "-" : text;
}

std::string object_tables(const std::vector<declared::config::StoredObject>& objects) {
  std::string text;
  for (const declared::config::ObjectKind kind : declared::config::kAllKinds) {
    const auto of_kind = [&](const auto& stored) { return stored.object.kind() == kind; };
    if (std::none_of(objects.begin(), objects.end(), of_kind)) continue;
    if (!text.empty()) text += '\n';
    text += table_of(kind, objects);
  }
  return text;
}

}  // namespace cairnhollow::cli
