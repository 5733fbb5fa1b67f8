// Random objects, labels and selectors for properties. Few keys and values, so that selectors often match.
#pragma once

#include <rapidcheck.h>

#include "declared/config/change_outcome.h"

namespace cairnhollow::declared::config {

rc::Gen<LabelSet> any_labels();
rc::Gen<Selector> any_selector();
/// Valid by itself, of any kind; one of four names, one of five endpoints.
rc::Gen<Object> any_object();
/// Up to four objects, each once, written or deleted.
rc::Gen<std::vector<ObjectChange>> any_changes();

}  // namespace cairnhollow::declared::config
