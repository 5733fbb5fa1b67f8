// The term a member has durably taken, as a Raft server keeps its term and vote (Raft, section 5.2).
#pragma once

#include <string>

#include "base/reason.h"
#include "base/types.h"
#include "runtime/runtime.h"

namespace cairnhollow::standins::database {

struct TermRecord {
  std::uint64_t term = 0;
  std::string owner;    ///< who fenced the member at `term`; empty: it learned the term by follow
  BackendName primary;  ///< of `term`; set once in a term
  Endpoint primary_endpoint;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, owner, primary, primary_endpoint);
  }
};

/// False with kCorrupt or kStorage; `record` stays as it was when there is no file yet.
bool load_term(runtime::Storage& storage, TermRecord& record, Reason& reason);
Awaitable<bool> save_term(runtime::Storage& storage, TermRecord record, Reason& reason);

}  // namespace cairnhollow::standins::database
