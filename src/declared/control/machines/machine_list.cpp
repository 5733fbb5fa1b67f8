#include "declared/control/machines/machine_list.h"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "declared/config/document.h"

namespace cairnhollow::declared::control {

namespace {

std::optional<MachineState> parse_state(std::string_view text) {
  if (text == "live") return MachineState::kLive;
  if (text == "leaving") return MachineState::kLeaving;
  return std::nullopt;
}

std::string_view text_of(const boost::json::value& entry, std::string_view key) {
  const auto* object = entry.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(key);
  const auto* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string_view() : std::string_view(*text);
}

Reason invalid(std::string detail) {
  return Reason{ReasonCode::kInvalidArgument, "read_machine_list", "platform", std::move(detail)};
}

}  // namespace

std::optional<MachineStates> parse_machine_list(const std::string& body, Reason& reason) {
  const auto document = config::parse_json(body, reason);
  if (!document) return std::nullopt;
  const auto* object = document->if_object();
  const auto* list = object == nullptr ? nullptr : object->if_contains("machines");
  if (list == nullptr || !list->is_array()) {
    reason = invalid("machines: must be a list");
    return std::nullopt;
  }
  MachineStates states;
  for (const auto& entry : list->as_array()) {
    const std::string name(text_of(entry, "name"));
    const auto state = parse_state(text_of(entry, "state"));
    if (name.empty() || !state) {
      reason = invalid(
          fmt::format("machines[{}]: requires a name and a state, which is live or leaving", states.size()));
      return std::nullopt;
    }
    states[name] = *state;
  }
  return states;
}

std::set<std::string> leaving_machines(const std::set<std::string>& leaving_before,
                                       const MachineStates& listed) {
  std::set<std::string> leaving;
  for (const auto& name : leaving_before) {
    if (!listed.contains(name)) leaving.insert(name);
  }
  for (const auto& [name, state] : listed) {
    if (state == MachineState::kLeaving) leaving.insert(name);
  }
  return leaving;
}

}  // namespace cairnhollow::declared::control
