// Simulates a fleet with one distributed limit: membership and each proxy's copy of it, connectivity,
// freezes and restarts.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "registered/limits/quota_ledger.h"
#include "registered/limits/token_stock.h"
#include "registered/registry/budget_authority.h"
#include "registered/registry/proxy_incarnation.h"
#include "registered/registry/stable_revision.h"

namespace cairnhollow::registered::limits::fleet_model {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(10);
constexpr Duration kAbsentAfter = milliseconds(200);  ///< after the end of the lease
constexpr Duration kReportEvery = milliseconds(400);

/// Safety checks of the protocol, each of which a test can disable. All true is the protocol as
/// implemented.
struct Guards {
  bool waits_for_stable_revision = true;
  bool stops_without_confirmation = true;
  bool bucket_starts_empty = true;
  bool returning_owner_starts_anew = true;
  bool tokens_expire = true;
  Duration lease = milliseconds(1500);  ///< control's serving lease
  int only_fault = -1;  ///< the only kind of fault to inject (see inject_fault()); -1: all kinds
  int nodes = 7;
  bool loses_most = false;    ///< also injects the loss of most proxies at once
  double spreads_limits = 0;  ///< probability that a starting process spreads limits among many owners
};

/// Proxies, the leader of control, and callers of one limit, simulated in steps of kTick.
class Fleet {
 public:
  Fleet(std::uint64_t seed, Guards guards, Limit limit)
      : random_(seed), guards_(guards), limit_(std::move(limit)) {
    for (int index = 0; index < guards_.nodes; ++index) {
      members_[name_of(index)] = Member{};
      nodes_.emplace_back();
      start(index);
    }
  }

  /// Simulates `length` and returns the maximum of operations in any window, as a fraction of the allowance.
  double run(Duration length) {
    const TimePoint end = now_ + length;
    while (now_ < end) {
      now_ += kTick;
      if (with_probability(0.012)) inject_fault();
      if (now_ >= next_load_change_) {
        callers_active_ = !callers_active_;
        next_load_change_ = now_ + (callers_active_ ? random_between(3000, 8000) : random_between(500, 4000));
      }
      run_leader();
      for (int index = 0; index < guards_.nodes; ++index) step(index);
      for (int index = 0; index < guards_.nodes; ++index) send_operations(index);
    }
    return max_in_window() / allowance(limit_);
  }
  [[nodiscard]] std::size_t operations() const { return operation_times_.size(); }

 private:
  struct Member {
    bool leaving = false;
    std::uint64_t incarnation = 0;
    std::uint64_t changed_at = 0;
  };
  struct Update {
    TimePoint due;
    std::optional<TimePoint> asked_at;  ///< empty: an announcement that answers no report
    std::map<std::string, Member> members;
    std::uint64_t revision = 0;
    std::uint64_t stable_revision = 0;
    std::uint64_t incarnation = 0;
  };
  struct Node {
    std::unique_ptr<QuotaLedger> owner;
    TokenCache cache;
    std::map<std::string, Member> view;
    std::vector<int> owners;  ///< according to its copy of the membership
    std::uint64_t revision = 0;
    std::uint64_t incarnation = 0;
    TimePoint next_report{};
    TimePoint down_until{};
    TimePoint cut_until{};     ///< partitioned from control
    TimePoint frozen_until{};  ///< executes nothing while its clock advances
    TimePoint draining_until{};
    std::deque<Update> updates;
  };
  struct LastReport {
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    TimePoint received{};
  };

  static std::string name_of(int index) { return fmt::format("proxy-{}", index); }
  static ZoneName zone_of(int index) { return ZoneName(fmt::format("zone-{}", index % 3)); }
  bool with_probability(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  int random_below(int count) { return std::uniform_int_distribution<>(0, count - 1)(random_); }
  Duration random_between(int least_ms, int most_ms) {
    return milliseconds(least_ms + random_below(most_ms - least_ms));
  }

  void start(int index) {
    Node& node = nodes_[index];
    const Node initial{};
    node.owner = std::make_unique<QuotaLedger>(NodeName(name_of(index)));
    node.cache = TokenCache();
    node.view.clear();
    node.owners.clear();
    node.revision = 0;
    node.incarnation = registry::proxy_incarnation(
        ++incarnations_ * 4, guards_.spreads_limits > 0 && with_probability(guards_.spreads_limits));
    node.updates.clear();
    node.next_report = now_;
  }

  void inject_fault() {
    const int index = random_below(guards_.nodes);
    Node& node = nodes_[index];
    const int fault = random_below(guards_.loses_most ? 8 : 7);
    switch (guards_.only_fault < 0 ? fault : guards_.only_fault) {
      case 0:  // killed and restarted
        node.down_until = now_ + random_between(20, 4000);
        start(index);
        break;
      case 1:  // some are partitioned from control together, and keep running
        for (int other = 0; other < guards_.nodes; ++other) {
          if (other == index || with_probability(0.4))
            nodes_[other].cut_until = now_ + random_between(2500, 7000);
        }
        break;
      case 2:  // frozen while it holds tokens
        if (is_running(node)) {
          for (int attempt = 0; attempt < 3; ++attempt) request_tokens(index);
        }
        node.frozen_until = now_ + random_between(200, 5000);
        break;
      case 3:
        node.draining_until = now_ + random_between(1000, 6000);
        break;
      case 4:  // a new leader, which has no reports yet; some proxies do not reach it
        last_reports_.clear();
        leader_since_ = now_;
        for (Node& other : nodes_) {
          if (with_probability(0.7)) other.cut_until = now_ + random_between(2500, 4000);
        }
        break;
      case 5:  // no quorum: no answers and no membership changes
        quorum_from_ = now_ + random_between(200, 6000);
        break;
      case 7:  // most are lost at once: killed, frozen or cut off, and return one after the other
        for (int other = 0; other < guards_.nodes; ++other) {
          if (with_probability(0.3)) continue;
          const Duration lost_for = random_between(300, 6000);
          const int how = random_below(3);
          if (how == 0) nodes_[other].down_until = now_ + lost_for;
          if (how == 0) start(other);
          if (how == 1) nodes_[other].cut_until = now_ + lost_for;
          if (how == 2) nodes_[other].frozen_until = now_ + lost_for;
        }
        break;
      default:  // all proxies restart and the leader changes
        if (!with_probability(0.3)) break;
        for (int other = 0; other < guards_.nodes; ++other) {
          nodes_[other].down_until = now_ + random_between(100, 900);
          start(other);
        }
        last_reports_.clear();
        leader_since_ = now_ + milliseconds(300);
        quorum_from_ = leader_since_;
    }
  }

  void update_member(const std::string& name, Member member) {
    member.changed_at = ++revision_;
    members_[name] = member;
  }

  TimePoint lease_end(const std::string& name, std::uint64_t incarnation) const {
    TimePoint end = leader_since_ + guards_.lease;
    const auto last_report = last_reports_.find(name);
    if (last_report != last_reports_.end() && last_report->second.incarnation == incarnation)
      end = std::max(end, last_report->second.received + guards_.lease);
    return end;
  }

  void run_leader() {
    if (now_ < quorum_from_) return;
    for (auto& [name, member] : members_) {
      if (member.leaving || now_ <= lease_end(name, member.incarnation) + kAbsentAfter) continue;
      Member absent = member;
      absent.leaving = true;
      update_member(name, absent);
    }
    announce_stable_revision();
  }

  void announce_stable_revision() {
    if (now_ < next_announcement_) return;
    next_announcement_ = now_ + milliseconds(100);
    const std::uint64_t stable = stable_revision();
    if (std::exchange(announced_, stable) == stable) return;
    for (int index = 0; index < guards_.nodes; ++index) {
      Node& node = nodes_[index];
      const auto last_report = last_reports_.find(name_of(index));
      const bool follows =
          last_report != last_reports_.end() && last_report->second.incarnation == node.incarnation;
      if (!follows || !reaches_control(node)) continue;
      node.updates.push_back(
          {now_ + random_between(0, 60), std::nullopt, members_, revision_, stable, node.incarnation});
    }
  }

  std::uint64_t stable_revision() const {
    if (!guards_.waits_for_stable_revision) return revision_;
    std::vector<registry::ProxyRevision> known;
    for (const auto& [name, member] : members_) {
      const auto last_report = last_reports_.find(name);
      const bool same =
          last_report != last_reports_.end() && last_report->second.incarnation == member.incarnation;
      known.push_back({same ? last_report->second.revision : 0,
                       lease_end(name, member.incarnation) - guards_.lease + registry::kBudgetAuthorityWait});
    }
    return registry::stable_revision(known, revision_, now_);
  }

  bool is_running(const Node& node) const { return now_ >= node.down_until && now_ >= node.frozen_until; }
  bool reaches_control(const Node& node) const { return now_ >= node.cut_until && now_ >= quorum_from_; }

  void step(int index) {
    Node& node = nodes_[index];
    if (!is_running(node)) return;
    while (!node.updates.empty() && node.updates.front().due <= now_) {
      apply_update(index, node.updates.front());
      node.updates.pop_front();
    }
    if (now_ < node.next_report) return;
    node.next_report = now_ + kReportEvery + random_between(0, 200);
    if (!reaches_control(node)) return;
    report(index);
  }

  void report(int index) {
    Node& node = nodes_[index];
    const std::string name = name_of(index);
    Member member = members_[name];
    const bool leaving = now_ < node.draining_until;
    if (member.incarnation != node.incarnation || member.leaving != leaving) {
      member.incarnation = node.incarnation;
      member.leaving = leaving;
      update_member(name, member);
    }
    last_reports_[name] = LastReport{node.incarnation, node.revision, now_};
    node.updates.push_back(
        {now_ + random_between(0, 60), now_, members_, revision_, stable_revision(), node.incarnation});
  }

  static std::size_t tenant_owners(const std::map<std::string, Member>& members) {
    const bool all_spread = std::all_of(members.begin(), members.end(), [](const auto& entry) {
      return entry.second.leaving || registry::spreads_limits(entry.second.incarnation);
    });
    return all_spread ? kManyQuotaOwners : kQuotaOwners;
  }

  void apply_update(int index, const Update& update) {
    Node& node = nodes_[index];
    if (update.incarnation != node.incarnation) return;
    if (update.revision > node.revision) {
      std::vector<subset::ProxyPointer> accepting;
      std::vector<subset::ProxyPointer> changed;
      for (int other = 0; other < guards_.nodes; ++other) {
        const std::string name = name_of(other);
        const Member& member = update.members.at(name);
        const auto proxy = std::make_shared<subset::ProxyView>(
            subset::ProxyView{NodeName(name), zone_of(other), {"10.0.0.1", 1}});
        if (!member.leaving) accepting.push_back(proxy);
        const bool was_known = node.view.count(name) > 0 && node.view.at(name).leaving == member.leaving;
        const bool changed_since_view = node.revision == 0 || member.changed_at > node.revision;
        if (changed_since_view && (guards_.returning_owner_starts_anew || !was_known))
          changed.push_back(proxy);
      }
      node.owner->set_owners(QuotaOwners(accepting, changed, tenant_owners(update.members)), update.revision);
      node.owners.clear();
      for (const auto& owner : node.owner->owners().owners_of(limit_.key))
        node.owners.push_back(std::stoi(owner->name.value.substr(name_of(0).size() - 1)));
      node.view = update.members;
      node.revision = update.revision;
    }
    if (update.asked_at) node.owner->record_confirmed(*update.asked_at, update.stable_revision, now_);
    if (!update.asked_at) node.owner->record_stable(update.stable_revision, now_);
  }

  void send_operations(int index) {
    Node& node = nodes_[index];
    if (!is_running(node) || !callers_active_) return;
    if (!guards_.stops_without_confirmation) node.owner->record_confirmed(now_, 0, now_);
    for (int operation = 0; operation < 3; ++operation) {
      const TimePoint taken_at = guards_.tokens_expire ? now_ : TimePoint{};
      if (!node.cache.take(taken_at)) {
        request_tokens(index);
        if (!node.cache.take(taken_at)) return;
      }
      operation_times_.push_back(now_);
    }
  }

  void request_tokens(int index) {
    Node& node = nodes_[index];
    for (const int owner : node.owners) {
      Node& other = nodes_[owner];
      if (!is_running(other)) continue;
      // Sometimes requests tokens in advance, to be used until shortly before they expire.
      const TokenRequest request{1, with_probability(0.2) ? 40U : 0U};
      Grant grant = other.owner->grant(limit_, request, now_);
      if (!guards_.bucket_starts_empty && granted_initial_.insert(other.incarnation).second)
        grant.tokens += static_cast<std::uint64_t>(owner_share(limit_).depth);
      if (grant.tokens == 0) continue;
      node.cache.add(grant.tokens, now_);
      return;
    }
  }

  [[nodiscard]] double max_in_window() const {
    std::size_t first = 0;
    std::size_t maximum = 0;
    for (std::size_t last = 0; last < operation_times_.size(); ++last) {
      while (operation_times_[last] - operation_times_[first] > limit_.window.window) ++first;
      maximum = std::max(maximum, last - first + 1);
    }
    return static_cast<double>(maximum);
  }

  std::mt19937_64 random_;
  Guards guards_;
  Limit limit_;
  TimePoint now_{seconds(1)};
  std::vector<Node> nodes_;
  std::uint64_t incarnations_ = 0;
  std::map<std::string, Member> members_;
  std::uint64_t revision_ = 1;
  std::map<std::string, LastReport> last_reports_;
  TimePoint leader_since_{seconds(1)};
  TimePoint quorum_from_{};
  TimePoint next_announcement_{};
  std::uint64_t announced_ = 0;  ///< stable revision announced last
  std::set<std::uint64_t> granted_initial_;
  std::vector<TimePoint> operation_times_;
  bool callers_active_ = false;  ///< whether callers send operations; the buckets fill while they don't
  TimePoint next_load_change_{};
};

/// A short lease, with which a lost owner is replaced sooner. The limit must hold for any length of the
/// lease.
inline Guards with_short_lease(int only_fault) {
  Guards guards;
  guards.lease = milliseconds(400);
  guards.only_fault = only_fault;
  return guards;
}

/// Number of seeds to run; CAIRNHOLLOW_BUDGET_SEEDS overrides the default, which fits the time of a sanitized
/// run.
inline int seeds() {
  const char* text = std::getenv("CAIRNHOLLOW_BUDGET_SEEDS");
  return text == nullptr ? 20 : std::stoi(text);
}

/// Returns the maximum of Fleet::run() over the seeds 1 to `seeds`; stops at the first above 1.
inline double worst_usage(int seeds, const Guards& guards, const Limit& limit) {
  double worst = 0;
  for (int seed = 1; seed <= seeds && worst <= 1.0; ++seed) {
    Fleet fleet(static_cast<std::uint64_t>(seed), guards, limit);
    worst = std::max(worst, fleet.run(seconds(40)));
  }
  return worst;
}

}  // namespace cairnhollow::registered::limits::fleet_model
