// Which statements came to backends of which zones, what operators were told of evacuations, and what must
// never be in it.
#pragma once

#include <string>
#include <vector>

#include "base/types.h"

namespace cairnhollow::standins::registered {

/// One statement of a caller as it came to a backend.
struct ArrivedStatement {
  std::string id;
  BackendName backend;
  ZoneName zone;
  TimePoint at{};
};

/// One order that was acknowledged. `sent_at`: of the call that was.
struct EvacuationOrder {
  ZoneName zone;
  bool begins = false;
  TimePoint sent_at{};
  TimePoint acknowledged_at{};
};

/// Filled by stand-ins, judged at the end.
struct ZoneHistory {
  std::vector<ArrivedStatement> arrived;
  std::vector<EvacuationOrder> orders;  ///< as they were acknowledged
};

/// Every violation, in words: a statement that came to a backend of a zone later than `bound` after its
/// evacuation was acknowledged, and before the zone was ordered back.
std::vector<std::string> find_evacuation_violations(const ZoneHistory& history, Duration bound);

}  // namespace cairnhollow::standins::registered
