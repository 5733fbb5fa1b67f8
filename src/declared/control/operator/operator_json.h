// JSON encoding of the operator API's types, written by control/operator_api and read by the command line.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>

#include "declared/control/operator/operator_service.h"

namespace cairnhollow::declared::control {

boost::json::value to_json(const Reason& reason);
boost::json::value to_json(const config::ChangeRequest& request);
boost::json::value to_json(const config::ChangeOutcome& outcome);
boost::json::value to_json(const ObjectList& list);
boost::json::value to_json(const FleetStatus& status);
boost::json::value to_json(const std::vector<FleetEvent>& events);
boost::json::value to_json(const InForceReport& report);
boost::json::value to_json(const SwitchoverRequest& request);
boost::json::value to_json(const SwitchoverOutcome& outcome);
boost::json::value to_json(const consensus::Member& member);

// Requests: all faults are reported; an unknown key is a fault.
std::optional<config::ChangeRequest> change_request_from_json(const boost::json::value& value,
                                                              Reason& reason);
std::optional<SwitchoverRequest> switchover_request_from_json(const boost::json::value& value,
                                                              Reason& reason);
std::optional<consensus::Member> member_from_json(const boost::json::value& value, Reason& reason);

// Responses: unknown keys are ignored, so that an older command line can read a newer node's responses.
std::optional<config::ChangeOutcome> change_outcome_from_json(const boost::json::value& value,
                                                              Reason& reason);
std::optional<ObjectList> object_list_from_json(const boost::json::value& value, Reason& reason);
std::optional<FleetStatus> fleet_status_from_json(const boost::json::value& value, Reason& reason);
std::optional<std::vector<FleetEvent>> events_from_json(const boost::json::value& value, Reason& reason);
std::optional<InForceReport> in_force_report_from_json(const boost::json::value& value, Reason& reason);
std::optional<SwitchoverOutcome> switchover_outcome_from_json(const boost::json::value& value,
                                                              Reason& reason);

}  // namespace cairnhollow::declared::control
