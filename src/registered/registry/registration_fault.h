// Reasons for refusing a backend's registration. Registrations may come from arbitrary senders; a refused one
// adds no backend and does not change a registered one.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/reason.h"
#include "runtime/logger.h"

namespace cairnhollow::registered::registry {

enum class RegistrationFault : std::uint8_t {
  kUnreadable = 0,  ///< the body is not an object
  kTooLarge,        ///< larger than any valid registration
  kBadName,         ///< not a valid backend name
  kMissingField,    ///< a required field is missing
  kBadField,        ///< a field has the wrong type or an out-of-range number
  kUnknownWord,     ///< an unknown state or role
  kUnknownGroup,    ///< the database group is not in the document
  kAddressInUse,    ///< another backend answers at its address
};

inline constexpr std::size_t kRegistrationFaults = 8;

/// The stable lower-case name of a fault, e.g. "missing_field"; used as a metric label.
std::string_view registration_fault_name(RegistrationFault fault);

/// Number of registrations refused for each fault since the process started.
class RegistrationFaultCounts {
 public:
  void count(RegistrationFault fault) { ++counts_[static_cast<std::size_t>(fault)]; }
  [[nodiscard]] std::uint64_t of(RegistrationFault fault) const {
    return counts_[static_cast<std::size_t>(fault)];
  }

 private:
  std::array<std::uint64_t, kRegistrationFaults> counts_{};
};

struct RefusedRegistration {
  RegistrationFault fault = RegistrationFault::kUnreadable;
  std::string backend;  ///< name as received; may contain any bytes
  Reason reason;        ///< `detail` names the field
};

/// Maximum length of a name in log lines and responses, in bytes, because senders are not authenticated.
inline constexpr std::size_t kMaxLoggedNameBytes = 64;

/// Truncates `name` to kMaxLoggedNameBytes and replaces non-printable bytes by '?'.
std::string printable_name(std::string_view name);

/// Logs one `registration_refused` line of bounded length.
void log_refused_registration(runtime::Logger& logger, const RefusedRegistration& refused);

}  // namespace cairnhollow::registered::registry
