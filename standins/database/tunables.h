// Limits, delays and faults of a database server that can be set while it runs (POST /admin/faults).
#pragma once

#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "standins/database/settings.h"

namespace cairnhollow::standins::database {

struct Tunables {
  std::uint32_t connections = 35;
  std::uint32_t slots = 5;
  Duration connection_opening_delay{0};
  Duration statement_duration{0};
  Duration replication_lag{0};
  Duration primary_silence_limit{0};
  Duration disk_delay{0};    ///< added to each sync
  Duration answer_delay{0};  ///< how late a delayed answer is
  // Shares, from 0 to 1, of the answers to statements that are:
  double delayed_answers = 0;
  double crossed_answers = 0;     ///< replaced by the answer to another exchange
  double duplicated_answers = 0;  ///< sent a second time, as the answer to the connection's next exchange
  double short_bodies = 0;        ///< cut in the middle
};

Tunables tunables_from(const DatabaseSettings& settings);

/// Changes the fields that the JSON object names: durations as "<field>_ms", the others by name. False
/// with kInvalidArgument, and nothing changed, when a field is unknown or its value has no sense.
bool update_tunables(const std::string& body, Tunables& tunables, Reason& reason);

}  // namespace cairnhollow::standins::database
