// Helpers that build objects and changes for configuration tests.
#pragma once

#include <string>

#include "declared/config/change_outcome.h"
#include "declared/config/selector_text.h"

namespace cairnhollow::declared::config {

/// Parses a selector from text; returns the empty selector if the text is malformed.
inline Selector selector_of(const std::string& text) {
  Reason reason;
  return parse_selector(text, reason).value_or(Selector{});
}

inline Object backend_object(const std::string& name, std::uint16_t port, LabelSet labels = {}) {
  return {name, std::move(labels), BackendSpec{ZoneName("kelburn"), {"10.0.0.1", port}, false}};
}

inline Object proxy_object(const std::string& name, std::uint16_t port) {
  return {name, {}, ProxySpec{ZoneName("kelburn"), {"10.0.0.1", port}, false}};
}

inline Object group_object(const std::string& name, const std::string& backends, HashSlotRange slots,
                           LabelSet labels = {}) {
  return {name, std::move(labels), DatabaseGroupSpec{selector_of(backends), slots, 35, 5}};
}

inline Object route_object(const std::string& name, const std::string& groups) {
  RouteSpec spec;
  spec.group_selector = selector_of(groups);
  return {name, {}, spec};
}

inline ObjectChange write_of(Object object, std::optional<std::uint64_t> based_on = std::nullopt) {
  return {std::move(object), false, based_on};
}

inline ObjectChange deletion_of(Object object, std::optional<std::uint64_t> based_on = std::nullopt) {
  return {std::move(object), true, based_on};
}

inline ChangeRequest change_of(const std::string& id, std::vector<ObjectChange> changes,
                               std::uint64_t at_revision = 0) {
  return {id, at_revision, "alice", std::move(changes)};
}

}  // namespace cairnhollow::declared::config
