#include "registered/placement/rejection_reason.h"

#include <array>

namespace cairnhollow::registered::placement {

namespace {

struct ReasonWording {
  const char* name;
  const char* text;
};

/// Indexed by RejectionReason.
constexpr std::array<ReasonWording, kRejectionReasonCount> kRejectionReasons{{
    {"none", ""},
    {"outside_regions", "no backend that could run it is in a permitted region"},
    {"zone_evacuated", "the zone of the backend that could run it is evacuated"},
    {"cold_limit", "the backend that could run it is cold and there is no token for it now"},
    {"leaving", "the backend that could run it is draining"},
    {"lags", "no available backend has the required data yet"},
    {"tried", "no untried backend can run it now"},
    {"group_closed", "the group has no primary now"},
    {"primary_given_up", "the primary was replaced or may not be used any more"},
    {"primary_unreachable", "this proxy can't reach the primary"},
    {"primary_full", "the primary accepts no further connections"},
    {"commits_stall", "earlier commits have no answer yet"},
    {"backends_busy", "the suitable backends are busy"},
    {"no_backend", "no backend can serve it now"},
    {"no_lease", "this proxy has no serving lease"},
    {"no_proxy", "no proxy that may serve the group accepted it"},
    {"overloaded", "this proxy is overloaded and admits only work of higher priorities"},
    {"too_many_wait", "too many statements that are at least as urgent wait at this proxy"},
    {"key_unauthorized", "the API key is not valid for the tenant any more"},
    {"key_unconfirmed", "the API key was not confirmed recently enough"},
    {"over_limit", "the tenant's rate limit has no token to run it again"},
    {"no_route", "no route names the database"},
    {"session_limit", "this proxy has reached its session limit"},
    {"refused_by_backend", "the backend refused it"},
    {"refused_elsewhere", "the proxy that it was forwarded to refused it"},
    {"answer_lost", "it was sent and no answer arrived"},
    {"transaction_lost", "the connection of its transaction is gone"},
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
