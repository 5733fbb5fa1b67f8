// Generators of random objects, labels and selectors for property tests. Few distinct keys and values, so
// that selectors often match.
#pragma once

#include <rapidcheck.h>

#include "declared/config/change_outcome.h"

namespace cairnhollow::declared::config {

rc::Gen<LabelSet> any_labels();
rc::Gen<Selector> any_selector();
/// A valid object of any kind, with one of four names and one of five endpoints.
rc::Gen<Object> any_object();
/// Up to four distinct objects, each written or deleted.
rc::Gen<std::vector<ObjectChange>> any_changes();

}  // namespace cairnhollow::declared::config
