// Manifests: configuration objects as written by operators, in YAML (several documents per file) or in JSON
// of the same structure: `kind`, `metadata: {name, labels, resourceVersion}`, `spec`. docs/MANIFESTS.md lists
// every key. Unknown keys are faults.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/document.h"
#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// One object as written in a manifest.
struct Manifest {
  Object object;
  std::optional<std::uint64_t> resource_version;  ///< the version that was read before editing, if given
  std::string file;
  int line = 0;  ///< line of the document's start, 1-based; 0 if unknown
};

/// Fails with kInvalidArgument and all faults as "file:line: field: problem" in the detail. Checks only the
/// form; the rules of validation.h are checked when the configuration is changed.
std::optional<std::vector<Manifest>> parse_manifests(const std::string& text, const std::string& file,
                                                     Reason& reason);
/// Reads one object from JSON. Faults are reported as "field: problem".
std::optional<Manifest> manifest_from_json(const boost::json::value& value, Reason& reason);

DocumentNode to_document(const Object& object);
/// Includes metadata.resourceVersion.
DocumentNode to_document(const StoredObject& stored);

/// Writes a stream of YAML documents that parse_manifests() can read.
std::string to_yaml(const std::vector<StoredObject>& objects);
boost::json::value to_json(const Object& object);
boost::json::value to_json(const StoredObject& stored);

}  // namespace cairnhollow::declared::config
