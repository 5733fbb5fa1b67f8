// The usage text of the operator's command line, which is also its grammar (docopt).
#pragma once

namespace cairnhollow::cli {

extern const char* const kUsage;

}  // namespace cairnhollow::cli
