#include "registered/registry/registration_fault.h"

namespace cairnhollow::registered::registry {

namespace {

constexpr std::array<std::string_view, kRegistrationFaults> kNames{
    "unreadable", "too_large",    "bad_name",      "missing_field",
    "bad_field",  "unknown_word", "unknown_group", "address_in_use"};

bool is_printable(char character) { return character >= ' ' && character <= '~'; }

}  // namespace

std::string_view registration_fault_name(RegistrationFault fault) {
  return kNames[static_cast<std::size_t>(fault)];
}

std::string printable_name(std::string_view name) {
  std::string printable(name.substr(0, kMaxLoggedNameBytes));
  for (char& character : printable) {
    if (!is_printable(character)) character = '?';
  }
  return printable;
}

void log_refused_registration(runtime::Logger& logger, const RefusedRegistration& refused) {
  logger.log(runtime::LogLevel::kWarning, "registration_refused", refused.reason,
             {{"cause", std::string(registration_fault_name(refused.fault))},
              {"backend", printable_name(refused.backend)}});
}

}  // namespace cairnhollow::registered::registry
