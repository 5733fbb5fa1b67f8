#include "declared/config/state_machine.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <set>

#include "declared/config/object_names.h"
#include "wire/codec.h"

namespace cairnhollow::declared::config {

namespace {

constexpr std::uint32_t kSnapshotFormat = 2;
constexpr std::size_t kChecksumLength = 16;

/// XXH3-64 of `bytes` as 16 hexadecimal digits.
std::string checksum(const std::string& bytes) {
  return fmt::format("{:016x}", XXH3_64bits(bytes.data(), bytes.size()));
}

ChangeFingerprint fingerprint_of(const std::string& bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

/// Encodes in the earliest format from kReplicaWaitFormat on that can represent the request, so that all
/// builds that can read the request compute the same fingerprint.
ChangeFingerprint fingerprint(const ChangeRequest& request) {
  return fingerprint_of(wire::encode_from(request, wire::kReplicaWaitFormat));
}

/// Also accepts a fingerprint recorded by a build that wrote kEarliestFormat.
bool is_fingerprint_of(const ChangeFingerprint& known, const ChangeRequest& request) {
  if (known == fingerprint(request)) return true;
  return wire::fits_format(request, wire::kEarliestFormat) &&
         known == fingerprint_of(wire::encode(request, wire::kEarliestFormat));
}

bool is_valid_identifier(const std::string& text) {
  const auto printable = [](char c) { return c > ' ' && c <= '~'; };
  return text.size() <= StateMachine::kMaximumIdentifierLength &&
         std::all_of(text.begin(), text.end(), printable);
}

Reason invalid(std::string detail) {
  return Reason{ReasonCode::kInvalidArgument, "validate_change", "", std::move(detail)};
}

std::vector<FieldFault> check_objects(const ChangeRequest& request) {
  std::vector<FieldFault> faults;
  std::set<ObjectKey> seen;
  for (const auto& change : request.changes) {
    const ObjectKey key = change.object.key();
    if (!seen.insert(key).second) faults.push_back({key, "metadata.name", "is named twice in one change"});
    if (change.deletion) {
      if (!is_valid_name(change.object.name)) faults.push_back({key, "metadata.name", "is not a name"});
      continue;
    }
    const auto object_faults = validate_object(change.object);
    faults.insert(faults.end(), object_faults.begin(), object_faults.end());
  }
  return faults;
}

}  // namespace

/// Checks the request's own fields; its objects are checked later.
std::optional<Reason> StateMachine::check_request(const ChangeRequest& request) const {
  if (request.change_id.empty()) return invalid("changeId: must not be empty");
  if (!is_valid_identifier(request.change_id)) {
    return invalid(fmt::format("changeId: more than {} characters, or not all printable ASCII",
                               kMaximumIdentifierLength));
  }
  if (!is_valid_identifier(request.operator_name)) {
    return invalid(fmt::format("operator: more than {} characters, or not all printable ASCII",
                               kMaximumIdentifierLength));
  }
  if (request.changes.size() > kMaximumChangesPerRequest) {
    return invalid(fmt::format("changes: {} objects; at most {} are allowed", request.changes.size(),
                               kMaximumChangesPerRequest));
  }
  if (request.at_revision > revision_) {
    return invalid(fmt::format("atRevision: {} has not been reached; the configuration is at revision {}",
                               request.at_revision, revision_));
  }
  return std::nullopt;
}

ChangeOutcome StateMachine::apply(const ChangeRequest& request) {
  if (auto fault = check_request(request)) return refuse(std::move(*fault));
  if (const DecidedChange* known = memory_.find(request.change_id)) {
    if (is_fingerprint_of(known->fingerprint, request)) return known->outcome;
    return refuse(Reason{ReasonCode::kAlreadyExists, "apply_change", "",
                         fmt::format("changeId: {} was used before with other content", request.change_id)});
  }
  if (memory_.may_have_evicted(request.at_revision)) {
    return refuse(
        Reason{ReasonCode::kOutcomeUnknown, "apply_change", "",
               fmt::format("atRevision: a change {} chosen at revision {} may have been accepted and "
                           "is no longer remembered; this copy changes nothing",
                           request.change_id, request.at_revision)});
  }
  ChangeOutcome outcome = decide(request);
  memory_.remember(request.change_id, {fingerprint(request), request.operator_name, outcome});
  return outcome;
}

ChangeOutcome StateMachine::decide(const ChangeRequest& request) {
  const auto faults = check_objects(request);
  if (!faults.empty()) return refuse(reason_for_faults(faults));
  if (auto conflict = find_conflict(request)) return std::move(*conflict);
  return apply_changes(request);
}

ChangeOutcome StateMachine::refuse(Reason reason) const {
  ChangeOutcome outcome;
  outcome.revision = revision_;
  outcome.reason = std::move(reason);
  return outcome;
}

std::optional<ChangeOutcome> StateMachine::find_conflict(const ChangeRequest& request) const {
  std::string detail;
  std::optional<StoredObject> first_winner;
  for (const auto& change : request.changes) {
    if (!change.based_on) continue;
    const StoredObject* stored = objects_.find(change.object.key());
    const std::uint64_t version = stored != nullptr ? stored->version : 0;
    if (version == *change.based_on) continue;
    if (!detail.empty()) detail += "; ";
    const std::string name = to_string(change.object.key());
    if (stored != nullptr) {
      detail += fmt::format("{} is at version {}, written by {}, and the change is based on {}", name,
                            version, memory_.author_of(version), *change.based_on);
    } else {
      detail +=
          fmt::format("{} does not exist, and the change is based on version {}", name, *change.based_on);
    }
    if (!first_winner && stored != nullptr) first_winner = *stored;
  }
  if (detail.empty()) return std::nullopt;
  ChangeOutcome outcome = refuse(Reason{ReasonCode::kConflict, "apply_change", "", detail});
  outcome.conflicting = std::move(first_winner);
  return outcome;
}

ChangeOutcome StateMachine::apply_changes(const ChangeRequest& request) {
  const std::uint64_t next_revision = revision_ + 1;
  std::vector<ObjectKey> touched;
  std::map<ObjectKey, std::optional<StoredObject>> before;
  for (const auto& change : request.changes) {
    const ObjectKey key = change.object.key();
    touched.push_back(key);
    before[key] = find(key);
    if (change.deletion) {
      objects_.erase(key);
    } else {
      objects_.put(StoredObject{change.object, next_revision});
    }
  }
  const auto faults = validate_relations(objects_, touched);
  if (!faults.empty()) {
    for (auto& [key, stored] : before) {
      if (stored) {
        objects_.put(std::move(*stored));
      } else {
        objects_.erase(key);
      }
    }
    return refuse(reason_for_faults(faults));
  }
  revision_ = next_revision;
  history_.record(next_revision, std::move(touched));
  ChangeOutcome outcome;
  outcome.accepted = true;
  outcome.revision = next_revision;
  return outcome;
}

std::vector<StoredObject> StateMachine::list(std::optional<ObjectKind> kind) const {
  std::vector<StoredObject> found;
  const ObjectTable& table = objects_.table();
  auto entry = kind ? table.lower_bound({*kind, ""}) : table.begin();
  for (; entry != table.end() && (!kind || entry->first.kind == *kind); ++entry) {
    found.push_back(entry->second);
  }
  return found;
}

std::vector<StoredObject> StateMachine::select(const ObjectQuery& query) const {
  std::vector<StoredObject> found;
  const auto take = [&](const StoredObject& stored) {
    if (query.selector.matches(stored.object.labels)) found.push_back(stored);
  };
  const std::set<std::string> names(query.names.begin(), query.names.end());
  for (const ObjectKind kind : kAllKinds) {
    if (query.kind && *query.kind != kind) continue;
    for (const auto& name : names) {
      if (const StoredObject* stored = objects_.find({kind, name})) take(*stored);
    }
    if (!names.empty()) continue;
    const ObjectTable& table = objects_.table();
    auto entry = table.lower_bound({kind, ""});
    for (; entry != table.end() && entry->first.kind == kind; ++entry) take(entry->second);
  }
  return found;
}

std::optional<StoredObject> StateMachine::find(const ObjectKey& key) const {
  const StoredObject* found = objects_.find(key);
  if (found == nullptr) return std::nullopt;
  return *found;
}

std::optional<ConfigChanges> StateMachine::changes_since(std::uint64_t revision) const {
  const auto keys = history_.touched_since(revision);
  if (!keys) return std::nullopt;
  ConfigChanges changes;
  for (const auto& key : *keys) {
    if (auto stored = find(key)) {
      changes.upserts.push_back(std::move(*stored));
    } else {
      changes.deletions.push_back(key);
    }
  }
  std::stable_sort(changes.upserts.begin(), changes.upserts.end(),
                   [](const StoredObject& a, const StoredObject& b) { return a.version < b.version; });
  return changes;
}

std::string StateMachine::take_snapshot(wire::Format level) const {
  const std::string content = wire::write_from(level, [this](wire::MessageWriter& writer) {
    writer(kSnapshotFormat, revision_, objects_.table(), history_, memory_);
  });
  return checksum(content) + content;
}

bool StateMachine::restore_snapshot(const std::string& bytes, Reason& reason) {
  const auto corrupt = [&](std::string detail) {
    reason = Reason{ReasonCode::kCorrupt, "restore_snapshot", "", std::move(detail)};
    return false;
  };
  if (bytes.size() < kChecksumLength) return corrupt("the snapshot is shorter than its checksum");
  const std::string content = bytes.substr(kChecksumLength);
  if (bytes.compare(0, kChecksumLength, checksum(content)) != 0)
    return corrupt("the snapshot's checksum does not match its content");
  StateMachine restored;
  ObjectTable table;
  const auto read = [&](wire::MessageReader& reader) {
    std::uint32_t format = 0;
    reader(format);
    if (format != kSnapshotFormat)
      throw cereal::Exception(fmt::format("unsupported snapshot format {}", format));
    table.clear();
    reader(restored.revision_, table, restored.history_, restored.memory_);
  };
  if (!wire::read_message(content, read, reason)) {
    reason.step = "restore_snapshot";
    return false;
  }
  for (auto& [key, stored] : table) restored.objects_.put(std::move(stored));
  *this = std::move(restored);
  return true;
}

}  // namespace cairnhollow::declared::config
