// Manifests: objects as operators write them, in YAML (several documents a file) or JSON of the same shape:
// `kind`, `metadata: {name, labels, resourceVersion}`, `spec`. docs/MANIFESTS.md lists every key. Keys that
// are not known are faults.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/reason.h"
#include "declared/config/document.h"
#include "declared/config/objects.h"

namespace cairnhollow::declared::config {

/// One object as it was written.
struct Manifest {
  Object object;
  std::optional<std::uint64_t> resource_version;  ///< the version that it was read at
  std::string file;
  int line = 0;  ///< of the document's start, from 1; 0 when unknown
};

/// kInvalidArgument with all faults as "file:line: field: problem" in the detail. Only the form is checked
/// here; the rules of validation.h are for the configuration to check.
std::optional<std::vector<Manifest>> parse_manifests(const std::string& text, const std::string& file,
                                                     Reason& reason);
/// One object from JSON. Faults are "field: problem".
std::optional<Manifest> manifest_from_json(const boost::json::value& value, Reason& reason);

DocumentNode to_document(const Object& object);
/// As above, with metadata.resourceVersion.
DocumentNode to_document(const StoredObject& stored);

/// A stream of YAML documents that parse_manifests() reads back.
std::string to_yaml(const std::vector<StoredObject>& objects);
boost::json::value to_json(const Object& object);
boost::json::value to_json(const StoredObject& stored);

}  // namespace cairnhollow::declared::config
