// Conversion from documents to objects.
#include "declared/config/manifest.h"

#include <fmt/format.h>

#include "declared/config/document_reader.h"
#include "declared/config/duration_text.h"
#include "declared/config/object_names.h"
#include "declared/config/selector_text.h"

namespace cairnhollow::declared::config {

namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

void read_labels(MappingReader& parent, const std::string& key, LabelSet& target) {
  const DocumentNode* node = parent.take(key, kOptional);
  if (node == nullptr || node->type == DocumentNode::Type::kNull) return;
  MappingReader reader(*node, parent.path_of(key), parent.faults());
  for (const auto& entry : node->entries) reader.read(entry.key, kOptional, target.entries[entry.key]);
}

void read_expression(const DocumentNode& node, const std::string& path, FaultList& faults,
                     SelectorExpression& target) {
  MappingReader reader(node, path, faults);
  reader.read("key", kRequired, target.key);
  std::string name = "Exists";
  reader.read("operator", kRequired, name);
  if (const auto op = parse_selector_operator(name)) {
    target.op = *op;
  } else {
    faults.add(node.line, reader.path_of("operator"),
               fmt::format("unknown operator '{}'; must be In, NotIn, Exists or DoesNotExist", name));
  }
  if (const DocumentNode* values = reader.take("values", kOptional)) {
    if (values->type != DocumentNode::Type::kSequence) {
      faults.add(values->line, reader.path_of("values"), "must be a list");
    }
    for (const auto& item : values->items) {
      if (auto text = scalar_text(item)) {
        target.values.push_back(std::move(*text));
      } else {
        faults.add(item.line, reader.path_of("values"), "must be a list of strings");
      }
    }
  }
  reader.finish();
}

void read_selector(MappingReader& parent, const std::string& key, Presence presence, Selector& target) {
  const DocumentNode* node = parent.take(key, presence);
  if (node == nullptr) return;
  MappingReader reader(*node, parent.path_of(key), parent.faults());
  read_labels(reader, "matchLabels", target.match_labels);
  if (const DocumentNode* expressions = reader.take("matchExpressions", kOptional)) {
    const std::string path = reader.path_of("matchExpressions");
    if (expressions->type != DocumentNode::Type::kSequence) {
      reader.faults().add(expressions->line, path, "must be a list");
    }
    for (std::size_t i = 0; i < expressions->items.size(); ++i) {
      SelectorExpression expression;
      read_expression(expressions->items[i], fmt::format("{}[{}]", path, i), reader.faults(), expression);
      target.match_expressions.push_back(std::move(expression));
    }
  }
  reader.finish();
}

void read_endpoint(MappingReader& reader, Endpoint& target) {
  const DocumentNode* node = reader.take("endpoint", kRequired);
  if (node == nullptr) return;
  const auto text = scalar_text(*node);
  const auto endpoint = text ? parse_endpoint(*text) : std::nullopt;
  if (endpoint) {
    target = *endpoint;
  } else {
    reader.faults().add(node->line, reader.path_of("endpoint"),
                        "must be an IP address and port, e.g. 10.0.0.7:5000 or [::1]:5000");
  }
}

/// Reads the fields common to proxies and backends.
template <class Spec>
Spec read_machine(MappingReader& reader) {
  Spec spec;
  reader.read("zone", kRequired, spec.zone.value);
  read_endpoint(reader, spec.endpoint);
  reader.read("drain", kOptional, spec.drain);
  return spec;
}

DatabaseGroupSpec read_group(MappingReader& reader) {
  DatabaseGroupSpec spec;
  read_selector(reader, "backendSelector", kRequired, spec.backend_selector);
  if (const DocumentNode* slots = reader.take("hashSlots", kOptional)) {
    MappingReader slots_reader(*slots, reader.path_of("hashSlots"), reader.faults());
    slots_reader.read("first", kRequired, spec.hash_slots.first);
    slots_reader.read("last", kRequired, spec.hash_slots.last);
    slots_reader.finish();
  }
  reader.read("connectionsPerBackend", kOptional, spec.connections_per_backend);
  reader.read("slotsPerBackend", kOptional, spec.slots_per_backend);
  return spec;
}

/// Reads an optional duration; leaves `milliseconds` unchanged if the field is missing.
void read_duration(MappingReader& reader, const char* field, std::uint64_t& milliseconds) {
  const DocumentNode* node = reader.take(field, kOptional);
  if (node == nullptr) return;
  const auto text = scalar_text(*node);
  const auto parsed = text ? parse_milliseconds(*text) : std::nullopt;
  if (parsed) {
    milliseconds = *parsed;
  } else {
    reader.faults().add(node->line, reader.path_of(field),
                        "must be a whole number with a unit (ms, s, m, h), e.g. 5s");
  }
}

RouteSpec read_route(MappingReader& reader) {
  RouteSpec spec;
  reader.read("precedence", kOptional, spec.precedence);
  read_selector(reader, "statementSelector", kRequired, spec.statement_selector);
  read_selector(reader, "groupSelector", kRequired, spec.group_selector);
  read_selector(reader, "replicaSelector", kOptional, spec.replica_selector);
  reader.read("replicaReads", kOptional, spec.replica_reads);
  read_duration(reader, "maxStaleness", spec.max_staleness_milliseconds);
  read_duration(reader, "replicaWait", spec.replica_wait_milliseconds);
  return spec;
}

ObjectSpec read_spec(ObjectKind kind, MappingReader& reader) {
  switch (kind) {
    case ObjectKind::kProxy:
      return read_machine<ProxySpec>(reader);
    case ObjectKind::kBackend:
      return read_machine<BackendSpec>(reader);
    case ObjectKind::kDatabaseGroup:
      return read_group(reader);
    case ObjectKind::kRoute:
      return read_route(reader);
  }
  return ProxySpec{};
}

void read_metadata(const DocumentNode& node, FaultList& faults, Manifest& manifest) {
  MappingReader reader(node, "metadata", faults);
  reader.read("name", kRequired, manifest.object.name);
  read_labels(reader, "labels", manifest.object.labels);
  if (reader.take("resourceVersion", kOptional) != nullptr) {
    std::uint64_t version = 0;
    reader.read("resourceVersion", kOptional, version);
    manifest.resource_version = version;
  }
  reader.finish();
}

Manifest read_manifest(const DocumentNode& document, const std::string& file, FaultList& faults) {
  Manifest manifest;
  manifest.file = file;
  manifest.line = document.line;
  MappingReader reader(document, "", faults);
  std::string kind_text;
  reader.read("kind", kRequired, kind_text);
  if (const DocumentNode* metadata = reader.take("metadata", kRequired)) {
    read_metadata(*metadata, faults, manifest);
  }
  const DocumentNode* spec = reader.take("spec", kRequired);
  reader.finish();
  const auto kind = parse_kind(kind_text);
  if (!kind) {
    if (kind_text.empty()) return manifest;
    faults.add(document.line, "kind",
               fmt::format("unknown kind '{}'; must be Proxy, Backend, DatabaseGroup or Route", kind_text));
  } else if (spec != nullptr) {
    MappingReader spec_reader(*spec, "spec", faults);
    manifest.object.spec = read_spec(*kind, spec_reader);
    spec_reader.finish();
  }
  return manifest;
}

}  // namespace

std::optional<std::vector<Manifest>> parse_manifests(const std::string& text, const std::string& file,
                                                     Reason& reason) {
  const auto documents = parse_yaml(text, reason);
  if (!documents) {
    if (!file.empty()) reason.detail = fmt::format("{}: {}", file, reason.detail);
    return std::nullopt;
  }
  FaultList faults(file);
  std::vector<Manifest> manifests;
  for (const auto& document : *documents) manifests.push_back(read_manifest(document, file, faults));
  if (faults.empty()) return manifests;
  reason = faults.reason();
  return std::nullopt;
}

std::optional<Manifest> manifest_from_json(const boost::json::value& value, Reason& reason) {
  FaultList faults("");
  Manifest manifest = read_manifest(from_json(value), "", faults);
  if (faults.empty()) return manifest;
  reason = faults.reason();
  return std::nullopt;
}

}  // namespace cairnhollow::declared::config
