#include "registered/placement/rejection_reason.h"

#include <array>

namespace cairnhollow::registered::placement {

namespace {

struct Words {
  const char* name;
  const char* text;
};

/// Indexed by RejectionReason.
constexpr std::array<Words, kRejectionReasonCount> kRejectionReasons{{
    {"none", ""},
    {"outside_regions", "it may run in no region that has a backend of the group"},
    {"zone_evacuated", "the zone of the backend that could run it is evacuated"},
    {"cold_limit", "the backend that could run it has just started and takes no more now"},
    {"leaving", "the backend that could run it is leaving"},
    {"lags", "no backend has the data asked for yet"},
    {"tried", "no backend can serve it now"},
    {"group_closed", "the group has no primary now"},
    {"primary_given_up", "the primary was given up"},
    {"primary_unreachable", "the primary can't be reached from here"},
    {"primary_full", "the primary takes no more connections"},
    {"commits_stall", "commits reach no replica now"},
    {"backends_busy", "the backends are busy"},
    {"no_backend", "no backend can serve it now"},
    {"no_lease", "the serving lease has run out"},
    {"no_proxy", "no proxy that may serve the group could be reached"},
    {"key_unauthorized", "the key can't be used any more"},
    {"key_unconfirmed", "the key can't be used any more"},
    {"over_limit", "there is no token to run it once more"},
}};

constexpr std::array<const char*, kForwardCauseCount> kForwardCauses{"served_elsewhere", "no_lease",
                                                                     "primary_unreachable", "primary_full"};

}  // namespace

const char* rejection_name(RejectionReason rejection) {
  return kRejectionReasons.at(static_cast<std::size_t>(rejection)).name;
}

const char* rejection_text(RejectionReason rejection) {
  return kRejectionReasons.at(static_cast<std::size_t>(rejection)).text;
}

std::optional<RejectionReason> find_rejection(std::string_view name) {
  for (std::size_t place = 0; place < kRejectionReasons.size(); ++place) {
    if (kRejectionReasons[place].name == name) return static_cast<RejectionReason>(place);
  }
  return std::nullopt;
}

const char* forward_cause_name(ForwardCause cause) {
  return kForwardCauses.at(static_cast<std::size_t>(cause));
}

}  // namespace cairnhollow::registered::placement
