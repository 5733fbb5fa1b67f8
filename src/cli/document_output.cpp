#include "cli/document_output.h"

#include <boost/json/serialize.hpp>

#include "declared/config/document.h"

namespace cairnhollow::cli {

bool write_document(std::ostream& stream, OutputFormat format, const boost::json::value& document) {
  switch (format) {
    case OutputFormat::kTable:
      return false;
    case OutputFormat::kJson:
      stream << boost::json::serialize(document) << "\n";
      return true;
    case OutputFormat::kYaml:
      stream << declared::config::to_yaml(declared::config::from_json(document));
      return true;
  }
  return false;
}

}  // namespace cairnhollow::cli
