#include "standins/database/term_store.h"

#include <fmt/format.h>

#include "standins/database/log_file.h"
#include "wire/codec.h"

namespace cairnhollow::standins::database {

namespace {

constexpr const char* kTermFile = "term";

}  // namespace

bool load_term(runtime::Storage& storage, TermRecord& record, Reason& reason) {
  Reason missing;
  const auto bytes = storage.read(kTermFile, missing);
  if (!bytes) {
    if (missing.code == ReasonCode::kNotFound) return true;
    reason = missing;
    return false;
  }
  const auto recovered = recover_records(kTermFile, *bytes, reason);
  if (!recovered) return false;
  // The file is replaced as one step, so that it has no torn tail to forgive.
  if (recovered->records.size() != 1 || recovered->valid_size != bytes->size()) {
    reason = Reason{ReasonCode::kCorrupt, "load_term", "", "term is damaged at offset 0"};
    return false;
  }
  auto decoded = wire::decode<TermRecord>(recovered->records.front().payload, reason);
  if (!decoded) {
    reason.detail = fmt::format("{} at offset 0: {}", kTermFile, reason.detail);
    return false;
  }
  record = std::move(*decoded);
  return true;
}

Awaitable<bool> save_term(runtime::Storage& storage, TermRecord record, Reason& reason) {
  auto content = frame_record(wire::encode(record));
  co_return co_await storage.write_atomically(kTermFile, std::move(content), reason);
}

}  // namespace cairnhollow::standins::database
