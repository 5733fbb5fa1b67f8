// Conversion from objects to documents (declared in manifest.h).
#include "declared/config/duration_text.h"
#include "declared/config/manifest.h"
#include "declared/config/object_names.h"
#include "declared/config/selector_text.h"

namespace cairnhollow::declared::config {

namespace {

using Node = DocumentNode;

Node labels_node(const LabelSet& labels) {
  Node node = Node::mapping();
  for (const auto& [key, value] : labels.entries) node.add(key, Node::string(value));
  return node;
}

Node selector_node(const Selector& selector) {
  Node node = Node::mapping();
  if (!selector.match_labels.entries.empty()) node.add("matchLabels", labels_node(selector.match_labels));
  if (selector.match_expressions.empty()) return node;
  Node expressions = Node::sequence();
  for (const auto& expression : selector.match_expressions) {
    Node item = Node::mapping();
    item.add("key", Node::string(expression.key));
    item.add("operator", Node::string(std::string(selector_operator_name(expression.op))));
    if (!expression.values.empty()) {
      Node values = Node::sequence();
      for (const auto& value : expression.values) values.items.push_back(Node::string(value));
      item.add("values", std::move(values));
    }
    expressions.items.push_back(std::move(item));
  }
  return node.add("matchExpressions", std::move(expressions));
}

Node machine_node(const ZoneName& zone, const Endpoint& endpoint, bool drain) {
  Node node = Node::mapping();
  node.add("zone", Node::string(zone.value));
  node.add("endpoint", Node::string(endpoint.to_string()));
  return node.add("drain", Node::boolean(drain));
}

Node spec_node(const ProxySpec& spec) { return machine_node(spec.zone, spec.endpoint, spec.drain); }

Node spec_node(const BackendSpec& spec) { return machine_node(spec.zone, spec.endpoint, spec.drain); }

Node spec_node(const DatabaseGroupSpec& spec) {
  Node slots = Node::mapping();
  slots.add("first", Node::number(spec.hash_slots.first));
  slots.add("last", Node::number(spec.hash_slots.last));
  Node node = Node::mapping();
  node.add("backendSelector", selector_node(spec.backend_selector));
  node.add("hashSlots", std::move(slots));
  node.add("connectionsPerBackend", Node::number(spec.connections_per_backend));
  return node.add("slotsPerBackend", Node::number(spec.slots_per_backend));
}

Node spec_node(const RouteSpec& spec) {
  Node node = Node::mapping();
  node.add("precedence", Node::number(spec.precedence));
  node.add("statementSelector", selector_node(spec.statement_selector));
  node.add("groupSelector", selector_node(spec.group_selector));
  node.add("replicaSelector", selector_node(spec.replica_selector));
  node.add("replicaReads", Node::boolean(spec.replica_reads));
  node.add("maxStaleness", Node::string(format_milliseconds(spec.max_staleness_milliseconds)));
  return node.add("replicaWait", Node::string(format_milliseconds(spec.replica_wait_milliseconds)));
}

Node object_node(const Object& object, std::optional<std::uint64_t> version) {
  Node metadata = Node::mapping();
  metadata.add("name", Node::string(object.name));
  if (!object.labels.entries.empty()) metadata.add("labels", labels_node(object.labels));
  if (version) metadata.add("resourceVersion", Node::number(*version));
  Node node = Node::mapping();
  node.add("kind", Node::string(std::string(kind_name(object.kind()))));
  node.add("metadata", std::move(metadata));
  return node.add("spec", std::visit([](const auto& spec) { return spec_node(spec); }, object.spec));
}

}  // namespace

DocumentNode to_document(const Object& object) { return object_node(object, std::nullopt); }

DocumentNode to_document(const StoredObject& stored) { return object_node(stored.object, stored.version); }

std::string to_yaml(const std::vector<StoredObject>& objects) {
  std::string text;
  for (const auto& stored : objects) {
    if (!text.empty()) text += "---\n";
    text += to_yaml(to_document(stored));
  }
  return text;
}

boost::json::value to_json(const Object& object) { return to_json(to_document(object)); }

boost::json::value to_json(const StoredObject& stored) { return to_json(to_document(stored)); }

}  // namespace cairnhollow::declared::config
