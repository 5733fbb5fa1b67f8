#include "standins/database/answer_faults.h"

#include <utility>

namespace cairnhollow::standins::database {

using runtime::HttpConnectionId;
using runtime::HttpResponse;

bool AnswerFaults::happens(double share) { return share > 0 && runtime_.random().unit() < share; }

Awaitable<HttpResponse> AnswerFaults::spoil(HttpConnectionId connection, HttpResponse answer) {
  if (happens(tunables_.delayed_answers)) co_await runtime_.sleep_for(tunables_.answer_delay);
  const auto duplicate = duplicates_.find(connection);
  if (duplicate != duplicates_.end()) {
    answer = std::move(duplicate->second);
    duplicates_.erase(duplicate);
  } else if (happens(tunables_.duplicated_answers)) {
    duplicates_[connection] = answer;
  }
  if (happens(tunables_.crossed_answers)) {
    if (held_for_crossing_) {
      std::swap(*held_for_crossing_, answer);
    } else {
      held_for_crossing_ = answer;
    }
  }
  if (happens(tunables_.short_bodies)) answer.body.resize(answer.body.size() / 2);
  co_return answer;
}

}  // namespace cairnhollow::standins::database
