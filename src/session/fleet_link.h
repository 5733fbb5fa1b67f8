// A proxy's conversation with the leader of the control nodes: leases, changes, answers to closes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registry/messages.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"
#include "session/fleet_view.h"
#include "session/settings.h"

namespace cairnhollow::session {

/// Why a primary is suspected.
enum class SuspicionKind : std::uint8_t {
  kSilent,        ///< a statement has no answer
  kCommitsStall,  ///< only commits have none
  kUnreachable,   ///< no connection to it can be opened
};

/// What it refers to outlives it; it lives until the process ends.
class FleetLink {
 public:
  FleetLink(runtime::Runtime& runtime, const SessionProxySettings& settings, FleetView& view);

  void start();
  void stop();
  /// Tells that this proxy takes no new work from others.
  void set_draining();
  /// Where the control node that is followed takes registrations; empty while none is.
  [[nodiscard]] std::optional<Endpoint> registration_endpoint() const;
  /// Told with the next report, which is sent at once. Repeats within kSuspicionRepeat are dropped.
  void report_suspicion(const GroupAccess& group, SuspicionKind kind);

 private:
  struct Conversation {
    std::shared_ptr<runtime::FrameConnection> connection;
    Endpoint endpoint;
    std::map<std::uint64_t, TimePoint> asked;  ///< when the reports not yet answered were sent, by nonce
    bool broken = false;
    bool answered = false;    ///< at least once
    std::uint64_t bytes = 0;  ///< that had come when last looked at
    TimePoint bytes_at{};     ///< when more were found to have come
  };

  Awaitable<void> run();
  Awaitable<std::shared_ptr<Conversation>> open(Endpoint endpoint);
  /// Reports until the conversation breaks.
  Awaitable<void> converse(std::shared_ptr<Conversation> conversation);
  Awaitable<void> read_updates(std::shared_ptr<Conversation> conversation);
  void take_update(Conversation& conversation, const registry::ProxyUpdate& update);
  void take_refusal(Conversation& conversation, const Reason& refusal);
  /// No answer in time, and nothing of one on its way.
  [[nodiscard]] bool is_stalled(Conversation& conversation) const;
  Endpoint next_endpoint();
  void note_lost(const Reason& reason, const std::string& peer);
  /// An attempt to find the leader failed; told at most every kSearchLogInterval.
  void note_search(const Reason& reason, const std::string& peer);

  runtime::Runtime& runtime_;
  SessionProxySettings settings_;
  FleetView& view_;
  runtime::Signal wake_;
  std::vector<Endpoint> endpoints_;  ///< told by the leader, then the seeds
  std::optional<Endpoint> hinted_leader_;
  std::size_t next_endpoint_ = 0;
  std::uint64_t incarnation_;
  std::uint64_t next_nonce_ = 1;
  Duration report_interval_ = kReportInterval;
  int failures_ = 0;  ///< attempts in a row without an answer
  std::vector<registry::PrimarySuspicion> suspicions_;
  std::map<std::pair<GroupName, SuspicionKind>, TimePoint> suspected_at_;
  TimePoint search_logged_{};
  bool report_now_ = false;
  bool connected_ = false;
  std::string followed_;  ///< address of the control node that answered last
  bool draining_ = false;
  bool stopping_ = false;
};

}  // namespace cairnhollow::session
