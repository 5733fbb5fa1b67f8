// Why a backend's registration was refused. Registrations come from other writers, too: one that is refused
// names no backend to use and changes nothing of one that is held.
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
  kUnreadable = 0,  ///< the bytes are no object
  kTooLarge,        ///< longer than any backend says
  kBadName,         ///< no backend is called so
  kMissingField,    ///< what every backend says of itself is left out
  kBadField,        ///< of another type, or a number that no backend has
  kUnknownWord,     ///< a state or a part in its group that nobody knows
  kUnknownGroup,    ///< a database group that the document does not name
  kAddressInUse,    ///< another backend answers at its address
};

inline constexpr std::size_t kRegistrationFaults = 8;

/// The stable lower-case name of a fault, e.g. "missing_field"; a metric's label.
std::string_view registration_fault_name(RegistrationFault fault);

/// How many registrations were refused for each fault since the process started.
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
  std::string backend;  ///< as it was called; may be any bytes
  Reason reason;        ///< `detail` names the field
};

/// Names in log lines and answers end here: who writes them is not known.
inline constexpr std::size_t kMostLoggedName = 64;

/// At most kMostLoggedName bytes, those that can't be printed as '?'.
std::string printable_name(std::string_view name);

/// One line `registration_refused`, of bounded length.
void log_refused_registration(runtime::Logger& logger, const RefusedRegistration& refused);

}  // namespace cairnhollow::registered::registry
