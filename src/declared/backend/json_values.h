// Converts the base types to and from Boost.JSON values. The `read_` functions throw std::invalid_argument,
// which names the field, if the value has the wrong type or is out of range; callers that parse the text
// convert that into a Reason.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>

#include "base/reason.h"
#include "base/types.h"

namespace cairnhollow::declared::backend {

boost::json::value write_json(const Position& position);
boost::json::value write_json(const RequestId& request);
boost::json::value write_json(const Reason& reason);
/// In whole microseconds.
boost::json::value write_json(Duration duration);

const boost::json::object& read_object(const boost::json::object& object, const char* field);
std::uint64_t read_number(const boost::json::object& object, const char* field);
std::string read_text(const boost::json::object& object, const char* field);
bool read_flag(const boost::json::object& object, const char* field);
Position read_position(const boost::json::object& object, const char* field);
Duration read_duration(const boost::json::object& object, const char* field);
/// Returns std::nullopt if the field is missing.
std::optional<RequestId> read_request(const boost::json::object& object, const char* field);
/// Returns kNone if the field is missing.
Reason read_reason(const boost::json::object& object, const char* field);

/// Parses `text` as a JSON object; throws std::exception if it is not one.
boost::json::object parse_object(const std::string& text);

}  // namespace cairnhollow::declared::backend
