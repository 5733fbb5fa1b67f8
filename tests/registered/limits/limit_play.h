// A play of what the promise of src/limits depends on: who is a member, who knows it, who reaches whom, who
// runs.
#pragma once

#include <fmt/format.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "registered/limits/quota_ledger.h"
#include "registered/limits/token_stock.h"
#include "registered/registry/budget_authority.h"
#include "registered/registry/stable_revision.h"

namespace cairnhollow::registered::limits::play {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(10);
constexpr Duration kAbsentAfter = milliseconds(200);  ///< after it
constexpr Duration kReportEvery = milliseconds(400);
constexpr int kNodes = 7;

/// One guard left out each; all true is the design.
struct Guards {
  bool waits_until_settled = true;
  bool authority_ends = true;
  bool bucket_starts_empty = true;
  bool returning_home_is_new = true;
  bool tokens_expire = true;
  Duration lease = milliseconds(1500);  ///< control's serving lease
  int only_event = -1;                  ///< the one disturbance that is played; -1: all kinds
};

/// Proxies, the leader of control, and callers of one limited thing, in steps of kTick. Only what the rule
/// depends on: who is a member, who knows it, who reaches whom, who runs.
class Fleet {
 public:
  Fleet(std::uint64_t seed, Guards guards, Limit limit)
      : random_(seed), guards_(guards), limit_(std::move(limit)) {
    for (int number = 0; number < kNodes; ++number) {
      rows_[name_of(number)] = Row{};
      nodes_.emplace_back();
      start(number);
    }
  }

  /// The most operations in any window, in parts of what is allowed.
  double play(Duration length) {
    const TimePoint end = now_ + length;
    while (now_ < end) {
      now_ += kTick;
      if (chance(0.012)) disturb();
      if (now_ >= turns_at_) {
        asks_ = !asks_;
        turns_at_ = now_ + (asks_ ? between(3000, 8000) : between(500, 4000));
      }
      lead();
      for (int number = 0; number < kNodes; ++number) step(number);
      for (int number = 0; number < kNodes; ++number) call(number);
    }
    return most_in_a_window() / allowance(limit_);
  }
  [[nodiscard]] std::size_t operations() const { return runs_.size(); }

 private:
  struct Row {
    bool leaving = false;
    std::uint64_t incarnation = 0;
    std::uint64_t changed_at = 0;
  };
  struct Update {
    TimePoint due;
    TimePoint asked_at;
    std::map<std::string, Row> rows;
    std::uint64_t revision = 0;
    std::uint64_t settled = 0;
    std::uint64_t incarnation = 0;
  };
  struct Node {
    std::unique_ptr<QuotaLedger> owner;
    TokenStock stock;
    std::map<std::string, Row> view;
    std::vector<int> owners;  ///< by its copy of the membership
    std::uint64_t revision = 0;
    std::uint64_t incarnation = 0;
    TimePoint next_report{};
    TimePoint down_until{};
    TimePoint cut_until{};     ///< from control
    TimePoint frozen_until{};  ///< does nothing; its clock goes on
    TimePoint draining_until{};
    std::deque<Update> updates;
  };
  struct Life {
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    TimePoint received{};
  };

  static std::string name_of(int number) { return fmt::format("proxy-{}", number); }
  static ZoneName zone_of(int number) { return ZoneName(fmt::format("zone-{}", number % 3)); }
  bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
  int below(int count) { return std::uniform_int_distribution<>(0, count - 1)(random_); }
  Duration between(int least_ms, int most_ms) { return milliseconds(least_ms + below(most_ms - least_ms)); }

  void start(int number) {
    Node& node = nodes_[number];
    const Node fresh{};
    node.owner = std::make_unique<QuotaLedger>(NodeName(name_of(number)));
    node.stock = TokenStock();
    node.view.clear();
    node.owners.clear();
    node.revision = 0;
    node.incarnation = ++incarnations_;
    node.updates.clear();
    node.next_report = now_;
  }

  void disturb() {
    const int number = below(kNodes);
    Node& node = nodes_[number];
    const int event = below(7);
    switch (guards_.only_event < 0 ? event : guards_.only_event) {
      case 0:  // killed, and started again
        node.down_until = now_ + between(20, 4000);
        start(number);
        break;
      case 1:  // some are cut off from control together, and go on
        for (int each = 0; each < kNodes; ++each) {
          if (each == number || chance(0.4)) nodes_[each].cut_until = now_ + between(2500, 7000);
        }
        break;
      case 2:  // with tokens that it holds
        if (runs(node)) {
          for (int question = 0; question < 3; ++question) ask(number);
        }
        node.frozen_until = now_ + between(200, 5000);
        break;
      case 3:
        node.draining_until = now_ + between(1000, 6000);
        break;
      case 4:  // another leader, which knows no lives; some do not reach it
        lives_.clear();
        leads_since_ = now_;
        for (Node& each : nodes_) {
          if (chance(0.7)) each.cut_until = now_ + between(2500, 4000);
        }
        break;
      case 5:  // no quorum: nobody hears anything, nothing is decided
        quorum_at_ = now_ + between(200, 6000);
        break;
      default:  // all at once
        if (!chance(0.3)) break;
        for (int each = 0; each < kNodes; ++each) {
          nodes_[each].down_until = now_ + between(100, 900);
          start(each);
        }
        lives_.clear();
        leads_since_ = now_ + milliseconds(300);
        quorum_at_ = leads_since_;
    }
  }

  void put(const std::string& name, Row row) {
    row.changed_at = ++revision_;
    rows_[name] = row;
  }

  TimePoint lease_end(const std::string& name, std::uint64_t incarnation) const {
    TimePoint end = leads_since_ + guards_.lease;
    const auto life = lives_.find(name);
    if (life != lives_.end() && life->second.incarnation == incarnation)
      end = std::max(end, life->second.received + guards_.lease);
    return end;
  }

  void lead() {
    if (now_ < quorum_at_) return;
    for (auto& [name, row] : rows_) {
      if (row.leaving || now_ <= lease_end(name, row.incarnation) + kAbsentAfter) continue;
      Row absent = row;
      absent.leaving = true;
      put(name, absent);
    }
  }

  std::uint64_t settled() const {
    if (!guards_.waits_until_settled) return revision_;
    std::vector<registry::ProxyRevision> known;
    for (const auto& [name, row] : rows_) {
      const auto life = lives_.find(name);
      const bool same = life != lives_.end() && life->second.incarnation == row.incarnation;
      known.push_back({same ? life->second.revision : 0,
                       lease_end(name, row.incarnation) - guards_.lease + registry::kBudgetAuthorityWait});
    }
    return registry::stable_revision(known, revision_, now_);
  }

  bool runs(const Node& node) const { return now_ >= node.down_until && now_ >= node.frozen_until; }
  bool reaches_control(const Node& node) const { return now_ >= node.cut_until && now_ >= quorum_at_; }

  void step(int number) {
    Node& node = nodes_[number];
    if (!runs(node)) return;
    while (!node.updates.empty() && node.updates.front().due <= now_) {
      take(number, node.updates.front());
      node.updates.pop_front();
    }
    if (now_ < node.next_report) return;
    node.next_report = now_ + kReportEvery + between(0, 200);
    if (!reaches_control(node)) return;
    report(number);
  }

  void report(int number) {
    Node& node = nodes_[number];
    const std::string name = name_of(number);
    Row row = rows_[name];
    const bool leaving = now_ < node.draining_until;
    if (row.incarnation != node.incarnation || row.leaving != leaving) {
      row.incarnation = node.incarnation;
      row.leaving = leaving;
      put(name, row);
    }
    lives_[name] = Life{node.incarnation, node.revision, now_};
    node.updates.push_back({now_ + between(0, 60), now_, rows_, revision_, settled(), node.incarnation});
  }

  void take(int number, const Update& update) {
    Node& node = nodes_[number];
    if (update.incarnation != node.incarnation) return;
    if (update.revision > node.revision) {
      std::vector<subset::ProxyPointer> takers;
      std::vector<subset::ProxyPointer> changed;
      for (int each = 0; each < kNodes; ++each) {
        const std::string name = name_of(each);
        const Row& row = update.rows.at(name);
        const auto proxy = std::make_shared<subset::ProxyView>(
            subset::ProxyView{NodeName(name), zone_of(each), {"10.0.0.1", 1}});
        if (!row.leaving) takers.push_back(proxy);
        const bool was_told = node.view.count(name) > 0 && node.view.at(name).leaving == row.leaving;
        const bool is_changed = node.revision == 0 || row.changed_at > node.revision;
        if (is_changed && (guards_.returning_home_is_new || !was_told)) changed.push_back(proxy);
      }
      node.owner->set_owners(QuotaOwners(takers, changed), update.revision);
      node.owners.clear();
      for (const auto& owner : node.owner->owners().of(limit_.of))
        node.owners.push_back(std::stoi(owner->name.value.substr(name_of(0).size() - 1)));
      node.view = update.rows;
      node.revision = update.revision;
    }
    node.owner->record_confirmed(update.asked_at, update.settled, now_);
  }

  void call(int number) {
    Node& node = nodes_[number];
    if (!runs(node) || !asks_) return;
    if (!guards_.authority_ends) node.owner->record_confirmed(now_, 0, now_);
    for (int operation = 0; operation < 3; ++operation) {
      const TimePoint taken_at = guards_.tokens_expire ? now_ : TimePoint{};
      if (!node.stock.take(taken_at)) {
        ask(number);
        if (!node.stock.take(taken_at)) return;
      }
      runs_.push_back(now_);
    }
  }

  void ask(int number) {
    Node& node = nodes_[number];
    for (const int owner : node.owners) {
      Node& other = nodes_[owner];
      if (!runs(other)) continue;
      // Sometimes more than is needed, held back until shortly before it expires.
      const TokenRequest request{1, chance(0.2) ? 40U : 0U};
      Grant grant = other.owner->grant(limit_, request, now_);
      if (!guards_.bucket_starts_empty && fresh_.insert(other.incarnation).second)
        grant.tokens += static_cast<std::uint64_t>(owner_share(limit_).depth);
      if (grant.tokens == 0) continue;
      node.stock.put(grant.tokens, now_);
      return;
    }
  }

  [[nodiscard]] double most_in_a_window() const {
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < runs_.size(); ++last) {
      while (runs_[last] - runs_[first] > limit_.window.window) ++first;
      most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most);
  }

  std::mt19937_64 random_;
  Guards guards_;
  Limit limit_;
  TimePoint now_{seconds(1)};
  std::vector<Node> nodes_;
  std::uint64_t incarnations_ = 0;
  std::map<std::string, Row> rows_;
  std::uint64_t revision_ = 1;
  std::map<std::string, Life> lives_;
  TimePoint leads_since_{seconds(1)};
  TimePoint quorum_at_{};
  std::set<std::uint64_t> fresh_;
  std::vector<TimePoint> runs_;
  bool asks_ = false;  ///< the callers; after a rest the buckets are full
  TimePoint turns_at_{};
};

/// The promise does not rest on the length of the lease; with a short one a lost owner is replaced sooner.
inline Guards with_short_lease(int only_event) {
  Guards guards;
  guards.lease = milliseconds(400);
  guards.only_event = only_event;
  return guards;
}

/// CAIRNHOLLOW_BUDGET_SEEDS asks for more than the sanitized run has time for.
inline int seeds() {
  const char* text = std::getenv("CAIRNHOLLOW_BUDGET_SEEDS");
  return text == nullptr ? 20 : std::stoi(text);
}

/// The most in any window of so many plays, in parts of what is allowed; ends with the first above it.
inline double worst_of(int seeds, const Guards& guards, const Limit& limit) {
  double worst = 0;
  for (int seed = 1; seed <= seeds && worst <= 1.0; ++seed) {
    Fleet fleet(static_cast<std::uint64_t>(seed), guards, limit);
    worst = std::max(worst, fleet.play(seconds(40)));
  }
  return worst;
}

}  // namespace cairnhollow::registered::limits::play
