// Look-ups that several checkers share.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "standins/callers/history.h"

namespace cairnhollow::standins::callers {

/// "session:number".
std::string request_name(const OperationRecord& operation);
bool is_write(const OperationRecord& operation);
bool is_acknowledged(const OperationRecord& operation);
/// Entries by record, as read after the run.
std::map<std::string, std::vector<std::string>> final_entries(const History& history);
/// How often `value` is in `entries`.
std::size_t occurrences(const std::vector<std::string>& entries, const std::string& value);
/// The operations of each session, in the order in which the session made them.
std::map<SessionName, std::vector<const OperationRecord*>> by_session(const History& history);

}  // namespace cairnhollow::standins::callers
