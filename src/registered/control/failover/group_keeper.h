// Keeps one primary in each group of a registered fleet: finds the first, examines suspected ones, replaces
// dead and leaving ones. Acts on the leader of the control nodes only.
//
// Order of a change of primary: close the group in the log, wait until no proxy can acknowledge anything of
// the old term (for silent ones by pausing members, see replication_pauses.h), compare the logs, promote, see
// it lead, open the group in the log, tell the old one to step down.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "consensus/consensus.h"
#include "registered/control/failover/group_prober.h"
#include "registered/control/failover/promotion_turns.h"
#include "registered/control/failover/region_preference.h"
#include "registered/control/failover/replication_pauses.h"
#include "registered/control/leader_calls.h"
#include "registered/control/leases/lease_keeper.h"
#include "registered/registry/control_service.h"
#include "registered/registry/state_machine.h"
#include "runtime/runtime.h"
#include "runtime/signal.h"

namespace cairnhollow::registered::control {

struct GroupKeeperSettings {
  NodeName node;
  locality::RegionMap regions{};
  double promotion_rate = 0;  ///< calls a second that the platform takes from all nodes; 0: any number
};

/// What it refers to outlives it; it lives until the process ends.
class GroupKeeper {
 public:
  GroupKeeper(runtime::Runtime& runtime, consensus::Consensus& consensus, registry::FleetStateMachine& fleet,
              LeaderCalls& calls, LeaseKeeper& leases, GroupProber& prober,
              registry::PromotionCaller& promotions, GroupKeeperSettings settings);

  void start();
  void stop();
  /// Promotions without proof, as the incarnations that held the newest commits were over.
  [[nodiscard]] std::uint64_t unproved_promotions() const { return unproved_promotions_; }
  /// `proxy` suspects a primary.
  void record_suspicion(const NodeName& proxy, const registry::PrimarySuspicion& suspicion);

 private:
  struct Suspicion {
    registry::PrimarySuspicion said;
    TimePoint at{};
    std::map<NodeName, TimePoint> proxies;  ///< who suspects the same, and since when they last said so
  };

  Awaitable<void> run();
  void look_at_all();
  void look_at(const GroupName& group);
  /// Each control node notes who leaves, also while it does not lead: one that is elected after the leader's
  /// death then knows at once whether the replicas' word is enough, instead of after kMembersSettleTime (3
  /// s). What it hears late it takes to have happened late, which errs on the safe side.
  void watch_all_members();
  /// Notes which incarnations have left a group, and when.
  void watch_members(const GroupName& group);
  /// Also while this node follows: it may be elected when the primary is gone, and can't ask it any more.
  void settle_all_members();
  /// Looks whether a member that stayed holds what the primary held when one left.
  Awaitable<void> settle_members(GroupName group);
  Awaitable<bool> compare_members(GroupName group);
  /// Whether those who stayed hold what one that left held.
  [[nodiscard]] bool are_members_settled(const GroupName& group) const;
  void begin(const GroupName& group, Awaitable<void> task);
  Awaitable<void> run_task(GroupName group, Awaitable<void> task);

  /// A group without a term: whoever leads already is the first primary.
  Awaitable<void> discover(GroupName group);
  /// Another life of the primary has registered: the one that led is over.
  Awaitable<void> give_up_restarted(GroupName group);
  /// The primary is suspected.
  Awaitable<void> examine(GroupName group, bool commits_stall, std::size_t suspecting_proxies);
  /// The primary leaves, or its zone is evacuated: it is replaced once another backend has all of its log.
  Awaitable<void> hand_over(GroupName group);
  /// Whether the group may be moved out of an evacuated zone now: so many at once, those first that are
  /// wanted most urgently. Takes a place, which is given back when the group is open again.
  Awaitable<bool> take_move(GroupName group);
  /// The group is closed: until it is open again.
  Awaitable<void> fail_over(GroupName group);

  [[nodiscard]] std::optional<registry::GroupTerm> term_of(const GroupName& group) const;
  /// Why the primary is to be replaced while it runs; empty: it is not. Names who could follow.
  [[nodiscard]] std::string handover_cause(const registry::GroupTerm& term) const;
  /// Whether a backend may take over from `primary`, null where that is gone, in a planned change.
  [[nodiscard]] bool is_successor(const registry::BackendEntry& entry, const registry::GroupTerm& term) const;
  /// Groups by how urgently they are wanted: the most urgent route that leads there, then the name.
  /// The most urgent priority of the routes that lead to each group, 0 first; the largest number for none.
  [[nodiscard]] std::map<GroupName, std::uint64_t> urgencies() const;
  [[nodiscard]] std::vector<GroupName> groups_by_urgency() const;
  [[nodiscard]] bool is_dead(const std::optional<BackendStatus>& status,
                             const registry::GroupTerm& term) const;
  /// How many looks in a row must find the primary dead, by how many proxies suspect it.
  [[nodiscard]] int looks_needed(const registry::GroupTerm& term, std::size_t suspecting_proxies) const;
  /// Whether most proxies that serve the group can't use the primary, alive or not.
  [[nodiscard]] bool is_out_of_reach(const GroupName& group) const;
  [[nodiscard]] std::size_t serving_proxies(const GroupName& group) const;
  /// Whether a replica could be shown to hold all that the open term's primary acknowledged.
  Awaitable<bool> has_provable_successor(registry::GroupTerm term);
  Awaitable<bool> commits_stalled(GroupName group, registry::GroupTerm term);
  Awaitable<bool> close(registry::GroupTerm term, std::string why);
  Awaitable<bool> open(registry::GroupTerm closed, registry::BackendIncarnation primary, std::uint64_t term,
                       std::string why);
  /// Until no proxy uses the closed term's primary any more, or it can't be told. False: this node does not
  /// lead.
  Awaitable<bool> wait_closed(registry::GroupTerm closed);
  Awaitable<bool> wait_leases(registry::GroupTerm closed);
  Awaitable<void> wait_member_leases(registry::GroupTerm closed);
  /// What is known of the group, for the choice of its next primary.
  Awaitable<PromotionFacts> gather_facts(registry::GroupTerm closed);
  void mark_evacuated(std::vector<MemberFinding>& members) const;
  /// kPromote only if no silent proxy can use the old primary.
  [[nodiscard]] PromotionChoice choose_next(const PromotionFacts& facts);
  /// What is found of the chosen backend; of its name only if it is gone from `facts`.
  [[nodiscard]] static MemberFinding chosen_member(const PromotionFacts& facts, const BackendName& backend);
  /// Commits may be missing; counts and logs it.
  void mark_unproved(const PromotionFacts& facts, const MemberFinding& chosen);
  /// Leaves members paused only while an order may still take effect.
  Awaitable<void> replace_primary(registry::GroupTerm closed);
  /// Lets paused members receive again, as long as this node leads for certain.
  Awaitable<void> resume_members(GroupName group);
  /// What an earlier leader may have left paused.
  Awaitable<void> resume_left_members();
  /// Whether the group is in that close: another leader may have opened it, or closed it again, since.
  [[nodiscard]] bool is_still_closed(const registry::GroupTerm& closed) const;
  /// False also when another incarnation of the backend has registered, or the close is past.
  Awaitable<bool> promote(registry::GroupTerm closed, registry::BackendIncarnation chosen);
  /// The term that `chosen` leads, with no less than it was chosen for: else it has started again meanwhile.
  Awaitable<std::optional<std::uint64_t>> wait_promoted(registry::GroupTerm closed, MemberFinding chosen);
  Awaitable<void> step_down(GroupName group, BackendName old_primary, std::uint64_t term);
  [[nodiscard]] bool leads() const;
  void log(const char* event, const registry::GroupTerm& term, const std::string& why);

  runtime::Runtime& runtime_;
  consensus::Consensus& consensus_;
  registry::FleetStateMachine& fleet_;
  LeaderCalls& calls_;
  LeaseKeeper& leases_;
  GroupProber& prober_;
  ReplicationPauses pauses_;
  registry::PromotionCaller& promotions_;
  PromotionTurns turns_;
  NodeName node_;
  RegionPreference regions_;
  runtime::Signal wake_;
  std::set<GroupName> busy_;
  std::set<GroupName> settling_;  ///< whose members are being compared after one left
  struct Membership {
    std::set<registry::BackendIncarnation> members;
    TimePoint left_at{};  ///< when a member was last found gone, or this node began to look
    /// A member left that may have been the only one to hold acknowledged commits beside the primary, and no
    /// other was seen to hold as much as the primary since.
    bool unsettled = false;
    bool was_replaced =
        false;  ///< while unsettled: such a member came back under its name, as another incarnation
  };
  /// Members come, and leave, as lives: one that started again has left with all that it held.
  void record_members(Membership& membership, std::set<registry::BackendIncarnation> members);
  std::map<GroupName, Membership> memberships_;
  std::optional<std::uint64_t> watched_revision_;  ///< of the fleet, up to which they are noted
  std::map<GroupName, Suspicion> suspicions_;
  /// Proxies that can't open connections to a group's primary, and when they last said so.
  struct OutOfReach {
    std::uint64_t term = 0;
    std::map<NodeName, TimePoint> proxies;
  };
  std::map<GroupName, OutOfReach> out_of_reach_;
  std::uint64_t unproved_promotions_ = 0;
  std::optional<std::uint64_t> settled_revision_;  ///< of the fleet, at which no group needed anything
  std::map<GroupName, TimePoint> moving_;          ///< out of evacuated zones: closed, or about to be, since
  std::set<GroupName> ready_moves_;                ///< groups that could be moved and wait for a place
  bool resumed_left_ = false;                      ///< since this node leads
  bool stopping_ = false;
};

}  // namespace cairnhollow::registered::control
