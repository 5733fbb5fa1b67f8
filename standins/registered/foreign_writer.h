// Stand-in of another writer of registrations, who keeps to no page: fields missing or of another type,
// states and groups that nobody named, bytes that can't be read. At the address that it names somebody
// listens, whom nobody may seek.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "runtime/runtime.h"

namespace cairnhollow::standins::registered {

/// How a registration is malformed.
struct ForeignKind {
  const char* name;
  /// It can be read, and names no backend to use all the same: it may be answered with success.
  bool may_be_taken = false;
};
const std::vector<ForeignKind>& foreign_kinds();

/// Filled by the stand-in, judged at the end.
struct ForeignHistory {
  struct Answered {
    std::string kind;
    unsigned status = 0;
  };
  std::vector<Answered> answered;
  std::uint64_t sought = 0;  ///< connections to the address that registrations named
};
/// Every violation, in words, each once.
std::vector<std::string> find_foreign_violations(const ForeignHistory& history);

struct ForeignWriterSettings {
  std::vector<Endpoint> registration_endpoints;  ///< in turn
  std::vector<BackendName> backends;  ///< under whose names it writes as well, beside names of its own
  GroupName group;                    ///< that the document names
  Endpoint trap;                      ///< the address that it names
  Duration pause = std::chrono::milliseconds(250);  ///< between registrations
};

/// The registration of a kind, as it goes over the wire.
std::string print_foreign(const std::string& kind, const ForeignWriterSettings& settings,
                          std::uint64_t sequence);

/// Writes until `stopped` is set; listens as long as the process runs. `history` outlives it. False when the
/// trap's address can't be listened on.
bool start_foreign_writer(runtime::Runtime& runtime, ForeignWriterSettings settings, ForeignHistory& history,
                          const bool& stopped);

}  // namespace cairnhollow::standins::registered
