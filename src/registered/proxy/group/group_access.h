// One database group as a proxy uses it: its backends and links to them, who leads, what is in flight, and
// what of its log is known.
#pragma once

#include <boost/container/small_vector.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "registered/locality/permitted_regions.h"
#include "registered/placement/backend_choice.h"
#include "registered/proxy/group/evacuated_zones.h"
#include "registered/proxy/group/position_history.h"
#include "registered/proxy/links/cold_backend.h"
#include "registered/proxy/links/stateful_pool.h"
#include "registered/proxy/links/statement_gate.h"
#include "registered/registry/model.h"
#include "registered/tenancy/tenant_division.h"

namespace cairnhollow::registered::proxy {

/// A backend and how it has done lately.
struct BackendUse {
  BackendUse(runtime::Runtime& runtime, BackendDialer& dialer, const registry::BackendEntry& backend,
             std::shared_ptr<const EvacuatedZones> evacuated)
      : entry(backend),
        pool(runtime, dialer, BackendAddress{backend.endpoint, backend.group, backend.name}),
        gate(runtime),
        evacuated_(std::move(evacuated)) {}

  /// Its zone is to be left: nothing new goes there, but for a primary that nobody follows yet.
  [[nodiscard]] bool is_evacuated() const { return evacuated_->is_evacuated(entry.zone); }
  /// Its zone is left: nothing at all may be sent there.
  [[nodiscard]] bool is_off_limits(TimePoint now) const { return evacuated_->is_off_limits(entry.zone, now); }

  registry::BackendEntry entry;
  StatefulPool pool;
  StatementGate gate;
  TimePoint avoid_until{};
  std::optional<TimePoint> leaving_since;  ///< when this proxy heard of it
  RebirthWatch rebirth;
  TimePoint cold_until{};                ///< whatever it says, since its zone was evacuated
  TimePoint cold_limit_reached_until{};  ///< no token for it before

  void record_latency(double took_ms, double usual_ms, TimePoint now);
  /// Of statements, smoothed. Goes back to `usual_ms` without news, since a backend that is passed over for
  /// its latency tells no better one.
  [[nodiscard]] double latency_ms(TimePoint now, double usual_ms) const;
  /// A position that the primary had `age` ago was there, or was not.
  void record_applied(Duration age, bool was_there, TimePoint now);
  /// How far a replica is thought to be behind its primary. Halves with each kLagHalfLife without news, since
  /// one that is passed over tells nothing.
  [[nodiscard]] Duration lag(TimePoint now) const;
  /// It showed a position of `term`, the open one. False: a lower one than before, so that it has started
  /// again and holds less, as what tells its start may. Entries of an open term are never taken back.
  bool record_shown(std::uint64_t term, Position position);

 private:
  double latency_ms_ = kFirstLatencyMs;
  TimePoint latency_noted_at_{};
  Duration lag_{0};
  TimePoint lag_noted_at_{};
  Position shown_;  ///< the highest of `shown_term_`
  std::uint64_t shown_term_ = 0;
  std::shared_ptr<const EvacuatedZones> evacuated_;
};

/// Statements at a primary; the key is only for taking one out again.
struct PrimaryWork {
  std::shared_ptr<BackendLink> link;
  TimePoint since{};
  bool commits = false;  ///< a write or commit: its answer needs a replica
};

/// A session's latest commit in a group.
struct SessionCommit {
  std::optional<Position> position;  ///< empty: none
  TimePoint at{};
};

/// What a read needs of the backend that serves it.
struct ReadNeed {
  bool primary_only = false;
  std::optional<Position> required;  ///< of a replica
  TimePoint required_since{};        ///< when the primary had that position
  /// Where it may run; the statement's, which outlives this. Null: anywhere.
  const locality::PermittedRegions* allowed = nullptr;
};

/// The statement of which the facts of a backend are asked. What it does not name plays no part in them.
struct PlacementQuestion {
  const ReadNeed* need = nullptr;
  const std::set<BackendName>* tried = nullptr;
  const locality::PermittedRegions* allowed = nullptr;  ///< null: anywhere
};

/// Of the backends of one group, by name. Most groups have fewer than eight.
using GroupFacts = boost::container::small_vector<placement::BackendFacts, 8>;

class GroupAccess {
 public:
  /// `evacuated`: as the proxy knows them; it may change at any time. `confirmation`: control's, of the copy
  /// that this is a part of; null: cold backends are not limited.
  GroupAccess(runtime::Runtime& runtime, BackendDialer& dialer, GroupName group, ZoneName zone,
              std::shared_ptr<const EvacuatedZones> evacuated,
              const tenancy::KeyConfirmation* confirmation = nullptr)
      : runtime_(runtime),
        dialer_(dialer),
        group_(std::move(group)),
        zone_(std::move(zone)),
        evacuated_(std::move(evacuated)),
        confirmation_(confirmation),
        changed_(runtime) {}

  void set_term(const registry::GroupTerm& term);
  void set_rule(const registry::GroupRule& rule) { rule_ = rule; }
  /// Another life of a backend is another backend: nothing that is known of the former one is said of it.
  void put_backend(const registry::BackendEntry& entry);
  void remove_backend(const BackendName& name);
  /// Divides each backend's connections evenly among so many proxies.
  void share_connections(std::uint64_t proxies);
  /// The same where links are of one tenant each: most go to the proxies of the backend's zone.
  void share_connections(tenancy::ServingProxies serving);
  /// Whether a backend of the zone takes reads.
  [[nodiscard]] bool reads_in(const ZoneName& zone) const;
  /// Zones with backends that take reads, each once.
  [[nodiscard]] std::vector<ZoneName> reading_zones() const;
  /// How many of `proxies` are to serve the group; `tenants`: each link is of one.
  [[nodiscard]] std::size_t serving_proxies(std::size_t proxies, bool tenants) const;
  /// Opens one link to a backend that has none, so that the first statement need not wait for it. False when
  /// all have one.
  bool warm_one();

  [[nodiscard]] const registry::GroupTerm& term() const { return term_; }
  [[nodiscard]] const GroupName& group() const { return group_; }
  /// Whether a group without a usable primary will have one soon, as far as this proxy can tell.
  [[nodiscard]] bool is_changing() const { return runtime_.now() - closed_at_ < kPrimaryExpectedWithin; }
  /// Notified when term or backends have changed.
  runtime::Signal& changed() { return changed_; }

  /// Zones were evacuated, or given back: whoever waits looks again.
  void record_evacuations() { changed_.notify_all(); }
  /// The open term's primary is in a zone that is left, and nobody outside leads yet.
  [[nodiscard]] bool is_primary_off_limits() const;
  /// Closes what is not in use of links to evacuated zones.
  void close_evacuated_links();
  /// A backend as it stands to the statement now.
  [[nodiscard]] placement::BackendFacts facts_of(const BackendUse& backend,
                                                 const PlacementQuestion& question) const;
  /// The same of all, in the order of backends().
  [[nodiscard]] GroupFacts facts(const PlacementQuestion& question) const;
  /// The backend at this place in facts(), as long as nothing has changed since.
  [[nodiscard]] std::shared_ptr<BackendUse> backend_at(std::size_t place) const;

  /// Statements a second to a cold backend, from all proxies; 0: no limit.
  [[nodiscard]] double cold_rate_per_s() const { return rule_.cold_rate_per_s; }
  /// Whether each statement to the backend takes a token (session/cold_backend.h).
  [[nodiscard]] bool is_cold(const BackendUse& backend) const;
  /// Whether it is cold and there was no token for it a moment ago.
  [[nodiscard]] bool is_cold_limit_reached(const BackendUse& backend) const;
  /// The same of the open term's primary.
  [[nodiscard]] bool is_primary_at_cold_limit() const;
  /// Its backends may have turned cold meanwhile.
  void record_evacuation_ended(const ZoneName& zone);

  /// The open term's primary; null while there is none that may be used, as when another incarnation has its
  /// name.
  std::shared_ptr<BackendUse> primary();
  /// Another life has registered under the name of the open term's primary.
  [[nodiscard]] bool is_primary_restarted() const {
    const auto found = backends_.find(term_.primary);
    return found != backends_.end() && term_.is_restarted_primary(found->second->entry);
  }
  /// The backend to read at, out of those not in `excluded`; null when none is left.
  std::shared_ptr<BackendUse> choose_reader(const ReadNeed& need, const std::set<BackendName>& excluded);
  /// Whether a backend beside `backend` is likely to serve such a read now.
  [[nodiscard]] bool has_other_reader(const ReadNeed& need, const BackendUse& backend);
  /// What `backend` must show to hold before it runs a read with this need, or begins a transaction; empty:
  /// nothing. A primary that tells its start may have started again, and then lacks what it showed before.
  [[nodiscard]] std::optional<Position> required_of(const BackendUse& backend, const ReadNeed& need) const;
  /// What a read must see under these rules; primary_only when a replica can't be shown to have it.
  [[nodiscard]] ReadNeed need_of(const registry::RouteRule& route, const SessionCommit& committed,
                                 const locality::PermittedRegions* allowed = nullptr);
  /// A primary leads, and is in a region where what is bound to these may not run.
  [[nodiscard]] bool is_primary_outside(const locality::PermittedRegions& allowed) const;
  /// Whether reads of such staleness, none of which may go to the primary, need a newer position of it soon.
  [[nodiscard]] bool wants_position(Duration staleness) const;
  /// The primary is to be asked for its position on behalf of such reads; false while it is being asked.
  bool begin_position_question() { return !std::exchange(asking_position_, true); }
  void end_position_question() {
    asking_position_ = false;
    changed_.notify_all();
  }
  /// Reads are wanted that may be somewhat stale, and what is known of the primary's log will soon be too old
  /// for them.
  [[nodiscard]] bool is_position_due() const;

  /// This proxy does not reach the primary of the open term, which may lead all the same.
  void mark_primary_unreachable() {
    unreachable_epoch_ = term_.epoch;
    unreachable_until_ = runtime_.now() + kRelayPeriod;
  }
  [[nodiscard]] bool is_primary_unreachable() const {
    return unreachable_epoch_ == term_.epoch && runtime_.now() < unreachable_until_;
  }
  /// The group's members gave a lease for the primary of `epoch` (registry/member_lease.h). Without effect
  /// when the members asked are not those of now.
  void extend_member_lease(std::uint64_t epoch, std::uint64_t membership, TimePoint until);
  /// Grows with each member that joins. From then on control counts on this proxy to ask that one, too, so
  /// that no lease of earlier questions may be left.
  [[nodiscard]] std::uint64_t membership() const { return membership_; }
  [[nodiscard]] bool has_member_lease() const { return runtime_.now() < member_lease_until_; }
  /// This proxy has no link to the primary, which takes none now.
  [[nodiscard]] bool is_primary_full() {
    const auto leader = primary();
    return leader && leader->pool.is_refused();
  }
  std::uint64_t begin_work(PrimaryWork work);
  void end_work(std::uint64_t work) { work_.erase(work); }
  /// Whether a statement at the primary, or a commit, has had no answer for kPrimarySilence; `commits` says
  /// which.
  [[nodiscard]] bool is_primary_silent(TimePoint now, bool& commits) const;

  /// The open term's primary broke off a statement. True when it has done so with all of them for a while.
  bool mark_broken_off();
  /// It answered one.
  void record_primary_answered() { broken_off_ = 0; }

  /// Commits reach no replica: some sent to the primary are not answered, and none sent later either. What
  /// would commit then is refused and not sent, so that it does not hold a link and end in doubt; one at a
  /// time still goes, to see when that is over.
  [[nodiscard]] bool refuses_commits();
  /// A write or commit that was sent then was answered.
  void record_commit_answered(TimePoint sent_at);

  void record_acknowledged(Position position) {
    highest_acknowledged_ = std::max(highest_acknowledged_, position);
  }
  [[nodiscard]] Position highest_acknowledged() const { return highest_acknowledged_; }
  /// A statement of this group took so long at a backend.
  void record_latency(BackendUse& backend, Duration took);
  /// A replica answered a read that needed a position, and showed where its log is; or it lacked the
  /// position.
  void record_replica(BackendUse& backend, const ReadNeed& need, std::optional<Position> shown);
  /// A primary of the open term showed `position` to a question sent at `asked_at`.
  void record_primary_position(TimePoint asked_at, Position position) {
    positions_.record(asked_at, position);
    primary_shown_ = std::max(primary_shown_.value_or(Position{}), position);
  }
  /// The furthest that it showed; empty: nothing since the last change of primary.
  [[nodiscard]] std::optional<Position> primary_shown() const { return primary_shown_; }
  [[nodiscard]] const std::map<BackendName, std::shared_ptr<BackendUse>>& backends() const {
    return backends_;
  }

 private:
  Awaitable<void> warm(std::shared_ptr<BackendUse> backend);
  [[nodiscard]] double cost_of(const BackendUse& backend) const;
  /// `use` is of an incarnation that is over, or at another address.
  void retire(BackendUse& use);
  void share_links(BackendUse& backend) const;
  /// Whether a read that may be stale came within the interest.
  [[nodiscard]] bool is_staleness_wanted(TimePoint now) const;
  /// After a change of primary: what the old one showed may have been rolled back, or is lost.
  void forget_positions();

  runtime::Runtime& runtime_;
  BackendDialer& dialer_;
  GroupName group_;
  ZoneName zone_;
  std::shared_ptr<const EvacuatedZones> evacuated_;
  const tenancy::KeyConfirmation* confirmation_;
  registry::GroupTerm term_;
  registry::GroupRule rule_;
  std::map<BackendName, std::shared_ptr<BackendUse>> backends_;
  std::map<std::uint64_t, PrimaryWork> work_;
  std::uint64_t next_work_ = 1;
  std::uint64_t proxies_ = 1;
  std::optional<tenancy::ServingProxies> serving_;  ///< empty: connections are divided evenly
  Duration staleness_wanted_{0};                    ///< by the read that came last
  TimePoint staleness_wanted_at_{};
  double usual_latency_ms_ = kFirstLatencyMs;  ///< of all backends, over a longer time
  TimePoint closed_at_{};
  TimePoint member_lease_until_{};
  std::uint64_t membership_ = 0;
  int broken_off_ = 0;  ///< statements that the primary broke off, one after the other
  TimePoint broken_off_since_{};
  std::uint64_t unreachable_epoch_ = 0;
  TimePoint unreachable_until_{};
  Position highest_acknowledged_;
  TimePoint answered_commit_sent_{};  ///< the latest sending of those that were answered
  bool commits_stall_ = false;
  bool asking_position_ = false;
  PositionHistory positions_;
  std::optional<Position> primary_shown_;
  runtime::Signal changed_;
};

}  // namespace cairnhollow::registered::proxy
