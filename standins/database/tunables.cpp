#include "standins/database/tunables.h"

#include <boost/json.hpp>
#include <map>
#include <stdexcept>

#include "declared/backend/json_values.h"

namespace cairnhollow::standins::database {

namespace json = boost::json;

namespace {

const std::map<std::string, Duration Tunables::*>& durations() {
  static const std::map<std::string, Duration Tunables::*> fields{
      {"connection_opening_delay_ms", &Tunables::connection_opening_delay},
      {"statement_duration_ms", &Tunables::statement_duration},
      {"replication_lag_ms", &Tunables::replication_lag},
      {"primary_silence_limit_ms", &Tunables::primary_silence_limit},
      {"disk_delay_ms", &Tunables::disk_delay},
      {"answer_delay_ms", &Tunables::answer_delay}};
  return fields;
}

const std::map<std::string, std::uint32_t Tunables::*>& counts() {
  static const std::map<std::string, std::uint32_t Tunables::*> fields{
      {"connections", &Tunables::connections}, {"slots", &Tunables::slots}};
  return fields;
}

const std::map<std::string, double Tunables::*>& shares() {
  static const std::map<std::string, double Tunables::*> fields{
      {"delayed_answers", &Tunables::delayed_answers},
      {"crossed_answers", &Tunables::crossed_answers},
      {"duplicated_answers", &Tunables::duplicated_answers},
      {"short_bodies", &Tunables::short_bodies}};
  return fields;
}

template <class Number>
Number to_number(const std::string& name, const json::value& value) {
  boost::system::error_code error;
  const auto number = value.to_number<Number>(error);
  if (error) throw std::invalid_argument(name + ": must be a number in range");
  return number;
}

void set_field(const std::string& name, const json::value& value, Tunables& tunables) {
  if (const auto duration = durations().find(name); duration != durations().end()) {
    constexpr double kLongestMilliseconds = 3'600'000;
    const auto milliseconds = to_number<double>(name, value);
    if (!(milliseconds >= 0 && milliseconds <= kLongestMilliseconds)) {
      throw std::invalid_argument(name + ": must be from 0 to 3600000");
    }
    constexpr double kNanosecondsInMillisecond = 1e6;
    tunables.*duration->second =
        Duration(static_cast<std::int64_t>(milliseconds * kNanosecondsInMillisecond));
  } else if (const auto count = counts().find(name); count != counts().end()) {
    tunables.*count->second = to_number<std::uint32_t>(name, value);
  } else if (const auto share = shares().find(name); share != shares().end()) {
    const auto number = to_number<double>(name, value);
    if (!(number >= 0 && number <= 1)) throw std::invalid_argument(name + ": must be from 0 to 1");
    tunables.*share->second = number;
  } else {
    throw std::invalid_argument(name + ": is no known field");
  }
}

}  // namespace

Tunables tunables_from(const DatabaseSettings& settings) {
  Tunables tunables;
  tunables.connections = settings.connections;
  tunables.slots = settings.slots;
  tunables.connection_opening_delay = settings.connection_opening_delay;
  tunables.statement_duration = settings.statement_duration;
  tunables.replication_lag = settings.replication_lag;
  tunables.primary_silence_limit = settings.primary_silence_limit;
  return tunables;
}

bool update_tunables(const std::string& body, Tunables& tunables, Reason& reason) {
  try {
    Tunables changed = tunables;
    for (const auto& field : declared::backend::parse_object(body)) {
      set_field(std::string(field.key()), field.value(), changed);
    }
    tunables = changed;
    return true;
  } catch (const std::exception& error) {
    reason = Reason{ReasonCode::kInvalidArgument, "set_faults", "", error.what()};
    return false;
  }
}

}  // namespace cairnhollow::standins::database
