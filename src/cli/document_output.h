// Values in the output formats that programs read.
#pragma once

#include <boost/json/value.hpp>
#include <ostream>

#include "cli/command_line.h"

namespace cairnhollow::cli {

/// Writes `document` as JSON or YAML; false, with nothing written, for a table: the caller makes it.
bool write_document(std::ostream& stream, OutputFormat format, const boost::json::value& document);

}  // namespace cairnhollow::cli
