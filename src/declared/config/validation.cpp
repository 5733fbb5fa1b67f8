#include "declared/config/validation.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "declared/config/object_names.h"

namespace cairnhollow::declared::config {

namespace {

constexpr std::size_t kMaximumFaultsShown = 20;

bool is_lower_or_digit(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }
bool is_letter_or_digit(char c) { return is_lower_or_digit(c) || (c >= 'A' && c <= 'Z'); }

bool is_valid_label_text(const std::string& text, bool is_key) {
  if (text.empty()) return !is_key;
  if (text.size() > kMaximumNameLength) return false;
  if (!is_letter_or_digit(text.front()) || !is_letter_or_digit(text.back())) return false;
  const auto allowed = [is_key](char c) {
    return is_letter_or_digit(c) || c == '-' || c == '.' || c == '_' || (is_key && c == '/');
  };
  return std::all_of(text.begin(), text.end(), allowed);
}

/// Collects the faults of one object.
class ObjectValidator {
 public:
  explicit ObjectValidator(const Object& object) : object_(object) {}

  std::vector<FieldFault> run() && {
    check_name("metadata.name", object_.name);
    check_labels("metadata.labels", object_.labels);
    std::visit([this](const auto& spec) { check_spec(spec); }, object_.spec);
    return std::move(faults_);
  }

 private:
  void add(std::string field, std::string problem) {
    faults_.push_back({object_.key(), std::move(field), std::move(problem)});
  }

  void check_name(const std::string& field, const std::string& name) {
    if (is_valid_name(name)) return;
    add(field, fmt::format("'{}' is not a name: 1 to {} of a-z, 0-9, '-' and '.', first and last a letter "
                           "or digit",
                           name, kMaximumNameLength));
  }

  void check_label_text(const std::string& field, const std::string& text, bool is_key) {
    if (is_valid_label_text(text, is_key)) return;
    add(field, fmt::format("'{}' is not a label {}: up to {} of letters, digits, '-', '_', '.'{}, first and "
                           "last a letter or digit",
                           text, is_key ? "key" : "value", kMaximumNameLength, is_key ? ", '/'" : ""));
  }

  void check_labels(const std::string& field, const LabelSet& labels) {
    if (labels.entries.size() > kMaximumLabels) {
      add(field, fmt::format("{} labels; at most {} are allowed", labels.entries.size(), kMaximumLabels));
    }
    for (const auto& [key, value] : labels.entries) {
      check_label_text(field, key, true);
      check_label_text(fmt::format("{}.{}", field, key), value, false);
    }
  }

  void check_expression(const std::string& field, const SelectorExpression& expression) {
    check_label_text(field + ".key", expression.key, true);
    const bool takes_values =
        expression.op == SelectorOperator::kIn || expression.op == SelectorOperator::kNotIn;
    if (takes_values && expression.values.empty()) add(field + ".values", "In and NotIn need values");
    if (!takes_values && !expression.values.empty()) {
      add(field + ".values", "Exists and DoesNotExist take no values");
    }
    if (expression.values.size() > kMaximumSelectorValues) {
      add(field + ".values",
          fmt::format("{} values; at most {} are allowed", expression.values.size(), kMaximumSelectorValues));
    }
    for (const auto& value : expression.values) check_label_text(field + ".values", value, false);
  }

  void check_selector(const std::string& field, const Selector& selector) {
    check_labels(field + ".matchLabels", selector.match_labels);
    const auto& expressions = selector.match_expressions;
    if (expressions.size() > kMaximumSelectorExpressions) {
      add(field + ".matchExpressions", fmt::format("{} expressions; at most {} are allowed",
                                                   expressions.size(), kMaximumSelectorExpressions));
    }
    for (std::size_t i = 0; i < expressions.size(); ++i) {
      check_expression(fmt::format("{}.matchExpressions[{}]", field, i), expressions[i]);
    }
  }

  void check_endpoint(const Endpoint& endpoint) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error || address.is_unspecified() || address.is_multicast()) {
      add("spec.endpoint", fmt::format("'{}' is not the IP address of a machine", endpoint.address));
    }
    if (endpoint.port == 0) add("spec.endpoint", "the port must be from 1 to 65535");
  }

  void check_range(const std::string& field, std::uint64_t value, std::uint64_t least, std::uint64_t most) {
    if (value >= least && value <= most) return;
    add(field, fmt::format("{} is out of range: {} to {}", value, least, most));
  }

  void check_spec(const ProxySpec& spec) {
    check_name("spec.zone", spec.zone.value);
    check_endpoint(spec.endpoint);
  }

  void check_spec(const BackendSpec& spec) {
    check_name("spec.zone", spec.zone.value);
    check_endpoint(spec.endpoint);
  }

  void check_spec(const DatabaseGroupSpec& spec) {
    check_selector("spec.backendSelector", spec.backend_selector);
    check_range("spec.hashSlots.first", spec.hash_slots.first, 0, kHashSlots - 1);
    check_range("spec.hashSlots.last", spec.hash_slots.last, 0, kHashSlots - 1);
    if (spec.hash_slots.first > spec.hash_slots.last) add("spec.hashSlots", "first is above last");
    check_range("spec.connectionsPerBackend", spec.connections_per_backend, 1, kMaximumConnectionsPerBackend);
    check_range("spec.slotsPerBackend", spec.slots_per_backend, 1, kMaximumSlotsPerBackend);
  }

  void check_spec(const RouteSpec& spec) {
    check_range("spec.precedence", spec.precedence, 0, kMaximumPrecedence);
    check_selector("spec.statementSelector", spec.statement_selector);
    check_selector("spec.groupSelector", spec.group_selector);
    check_selector("spec.replicaSelector", spec.replica_selector);
    check_range("spec.maxStaleness", spec.max_staleness_milliseconds, 0, kMaximumStalenessMilliseconds);
    check_range("spec.replicaWait", spec.replica_wait_milliseconds, 0, kMaximumReplicaWaitMilliseconds);
  }

  const Object& object_;
  std::vector<FieldFault> faults_;
};

}  // namespace

bool is_valid_name(const std::string& name) {
  if (name.empty() || name.size() > kMaximumNameLength) return false;
  if (!is_lower_or_digit(name.front()) || !is_lower_or_digit(name.back())) return false;
  const auto allowed = [](char c) { return is_lower_or_digit(c) || c == '-' || c == '.'; };
  return std::all_of(name.begin(), name.end(), allowed);
}

std::vector<FieldFault> validate_object(const Object& object) { return ObjectValidator(object).run(); }

Reason reason_for_faults(std::vector<FieldFault> faults) {
  std::sort(faults.begin(), faults.end());
  faults.erase(std::unique(faults.begin(), faults.end()), faults.end());
  std::string detail;
  const std::size_t shown = std::min(faults.size(), kMaximumFaultsShown);
  for (std::size_t i = 0; i < shown; ++i) {
    const auto& fault = faults[i];
    if (i > 0) detail += "; ";
    detail += fmt::format("{} {}: {}", to_string(fault.object), fault.field, fault.problem);
  }
  if (shown < faults.size()) detail += fmt::format("; and {} more", faults.size() - shown);
  return Reason{ReasonCode::kInvalidArgument, "validate_change", "", detail};
}

}  // namespace cairnhollow::declared::config
