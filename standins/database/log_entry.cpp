#include "standins/database/log_entry.h"

namespace cairnhollow::standins::database {

std::optional<RequestId> request_of(const Command& command) {
  if (const auto* write = std::get_if<WriteCommand>(&command)) return write->request;
  if (const auto* abort = std::get_if<AbortCommand>(&command)) return abort->request;
  return std::nullopt;
}

}  // namespace cairnhollow::standins::database
