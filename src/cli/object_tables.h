// Tables of configuration objects for people.
#pragma once

#include <string>
#include <vector>

#include "declared/config/objects.h"

namespace cairnhollow::cli {

/// One table for objects of one kind; with several kinds a table for each, behind a blank line.
std::string object_tables(const std::vector<declared::config::StoredObject>& objects);

/// "zone=kelburn,service=study-records"; "-" for none.
std::string labels_text(const LabelSet& labels);

}  // namespace cairnhollow::cli
