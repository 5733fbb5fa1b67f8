// Spoils answers on purpose, by the shares set in Tunables: late, crossed, sent twice, or cut short.
#pragma once

#include <map>
#include <optional>

#include "runtime/runtime.h"
#include "standins/database/tunables.h"

namespace cairnhollow::standins::database {

class AnswerFaults {
 public:
  /// Both arguments outlive it.
  AnswerFaults(runtime::Runtime& runtime, const Tunables& tunables)
      : runtime_(runtime), tunables_(tunables) {}

  /// What is sent on `connection` in place of `answer`.
  Awaitable<runtime::HttpResponse> spoil(runtime::HttpConnectionId connection, runtime::HttpResponse answer);
  void connection_closed(runtime::HttpConnectionId connection) { duplicates_.erase(connection); }

 private:
  bool happens(double share);

  runtime::Runtime& runtime_;
  const Tunables& tunables_;
  std::optional<runtime::HttpResponse> held_for_crossing_;  ///< an answer that another exchange gets
  std::map<runtime::HttpConnectionId, runtime::HttpResponse> duplicates_;
};

}  // namespace cairnhollow::standins::database
