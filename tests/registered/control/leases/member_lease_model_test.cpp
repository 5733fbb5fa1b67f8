// Exhaustively searched model of registry/member_lease.h: one proxy that control cannot reach, the two
// members that may follow the primary, and the leader that promotes one of them. Time advances in ticks.
// Invariant: once a promotion takes effect, the proxy holds no lease for the old primary.
//
// A member may restart under its name between any two steps. It then has no pause and no log until it has
// caught up with the old primary, and no other process knows its new incarnation. Assumptions, as in the
// design: clock drift stays within the margin of the leader's wait, and no member restarts and catches up
// between the leader's last status query to it and the effect of the promotion (0.3 s).
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cairnhollow::registered::control {

namespace {

constexpr int kLease = 2;                ///< kMemberLease, in ticks
constexpr int kWait = 3;                 ///< kMemberLeaseWait, in ticks
constexpr int kServeWithoutControl = 4;  ///< registry::kServeWithoutControl, in ticks
constexpr int kMembers = 2;              ///< A and B; A is known to every proxy
constexpr int kMaxLeaders = 2;           ///< consecutive leaders
constexpr int kMaxRestarts = 1;          ///< restarts of members

/// The guards of the protocol. The design enables all of them; each test case disables one.
struct Guards {
  bool leader_pauses = true;
  bool leader_waits = true;
  bool wait_covers_lease = true;
  bool leader_rechecks_pause = true;
  bool leader_waits_for_new_members = true;
  bool candidate_is_paused = true;  ///< the candidate itself, not just any member
  bool proxy_checks_pause = true;
  bool proxy_checks_term = true;
  bool proxy_queries_all = true;
  bool lease_counts_from_query = true;
  bool proxy_stops_at_limit = true;
  bool new_member_ends_lease = true;
  bool proxy_checks_lost_log = true;
};

struct Member {
  bool paused = false;
  bool leads_next_term = false;
  bool lost_log = false;  ///< restarted and has not caught up
  auto operator<=>(const Member&) const = default;
};

/// State of a pause as seen by the leader.
enum class Pause : std::uint8_t { kNone, kOrdered, kAnswered };

struct State {
  std::array<Member, kMembers> members{};
  // State of the proxy.
  int lease_ticks_left = 0;
  int serve_ticks_left = kServeWithoutControl;
  bool knows_b = true;
  bool querying = false;
  int query_age = 0;
  std::array<bool, kMembers> answered{};  ///< answered in a way that permits the lease
  // State of the leader.
  std::array<Pause, kMembers> pauses{};
  std::array<int, kMembers> wait_ticks_left{};
  int b_unknown_ticks_left = 0;  ///< ticks until every serving proxy knows B
  int promoting = -1;            ///< index of the member ordered to promote; -1: none
  bool done = false;
  int leaders = 1;
  int restarts = 0;
  auto operator<=>(const State&) const = default;
};

class Model {
 public:
  explicit Model(Guards guards) : guards_(guards) {}

  /// Returns true if some order of events violates the invariant.
  bool finds_violation() {
    State known;
    visit(known);
    State unknown;
    unknown.knows_b = false;
    unknown.b_unknown_ticks_left = kServeWithoutControl + kLease;
    visit(unknown);
    while (!open_.empty() && !violated_) {
      const State state = open_.front();
      open_.pop_front();
      current_ = state;
      expand(state);
    }
    return violated_;
  }
  [[nodiscard]] std::size_t states() const { return reached_from_.size(); }
  /// The states on the path to the violation, one per line.
  [[nodiscard]] const std::string& trace() const { return trace_; }

 private:
  void visit(const State& state) {
    if (!reached_from_.emplace(state, current_).second) return;
    open_.push_back(state);
    const bool promoted = state.members[0].leads_next_term || state.members[1].leads_next_term;
    if (violated_ || !promoted || state.lease_ticks_left == 0) return;
    violated_ = true;
    for (std::optional<State> step = state; step; step = reached_from_.at(*step))
      trace_ = describe(*step) + trace_;
  }

  static std::string describe(const State& state) {
    std::string text;
    for (int place = 0; place < kMembers; ++place) {
      const Member& member = state.members[place];
      text +=
          fmt::format("{}{}{}{} pause {} wait {}, ", place == 0 ? "A" : "B", member.paused ? " paused" : "",
                      member.leads_next_term ? " leads" : "", member.lost_log ? " lost" : "",
                      static_cast<int>(state.pauses[place]), state.wait_ticks_left[place]);
    }
    return text + fmt::format(
                      "lease {} serve {} asking {} age {} answered {}{} B new {} promoting {} leader {} "
                      "restarts {}\n",
                      state.lease_ticks_left, state.serve_ticks_left, state.querying, state.query_age,
                      state.answered[0], state.answered[1], state.b_unknown_ticks_left, state.promoting,
                      state.leaders, state.restarts);
  }

  void expand(const State& state) {
    tick(state);
    proxy_steps(state);
    proxy_learns_b(state);
    for (int member = 0; member < kMembers; ++member) {
      member_answers(state, member);
      pause_steps(state, member);
      promotion_steps(state, member);
      restart(state, member);
      catch_up(state, member);
    }
    next_leader(state);
  }

  void tick(State state) {
    const auto down = [](int& value) { value = value > 0 ? value - 1 : 0; };
    down(state.lease_ticks_left);
    if (guards_.proxy_stops_at_limit) down(state.serve_ticks_left);
    down(state.b_unknown_ticks_left);
    for (int& left : state.wait_ticks_left) down(left);
    if (state.querying) ++state.query_age;
    if (state.query_age > kLease) drop_query(state);
    visit(state);
  }

  static void drop_query(State& state) {
    state.querying = false;
    state.query_age = 0;
    state.answered = {};
  }

  void proxy_steps(const State& state) {
    if (!state.querying && state.serve_ticks_left > 0) {
      State queried = state;
      queried.querying = true;
      visit(queried);
    }
    if (!state.querying) return;
    const bool all = state.answered[0] && (state.answered[1] || !state.knows_b);
    const bool any = state.answered[0] || state.answered[1];
    if (guards_.proxy_queries_all ? all : any) {
      State granted = state;
      const int used = guards_.lease_counts_from_query ? state.query_age : 0;
      granted.lease_ticks_left =
          std::max(granted.lease_ticks_left, std::min(kLease - used, state.serve_ticks_left));
      if (!guards_.lease_counts_from_query) granted.lease_ticks_left = kLease;
      drop_query(granted);
      visit(granted);
    }
    State lost = state;
    drop_query(lost);
    visit(lost);
  }

  /// The proxy learns of B and reports it, so B no longer counts as new for the leader.
  void proxy_learns_b(const State& state) {
    if (state.knows_b) return;
    State updated = state;
    updated.knows_b = true;
    updated.b_unknown_ticks_left = 0;
    if (guards_.new_member_ends_lease) {
      updated.lease_ticks_left = 0;
      drop_query(updated);
    }
    visit(updated);
  }

  void member_answers(const State& state, int place) {
    const Member& member = state.members[place];
    if (!state.querying || state.answered[place]) return;
    if (place == 1 && !state.knows_b) return;
    if (member.paused && guards_.proxy_checks_pause) return;
    if (member.leads_next_term && guards_.proxy_checks_term) return;
    if (member.lost_log && guards_.proxy_checks_lost_log) return;
    State updated = state;
    updated.answered[place] = true;
    visit(updated);
  }

  void pause_steps(const State& state, int place) {
    if (state.done || state.promoting >= 0) return;
    if (guards_.leader_pauses && state.pauses[place] == Pause::kNone) {
      State ordered = state;
      ordered.pauses[place] = Pause::kOrdered;
      visit(ordered);
    }
    if (state.pauses[place] != Pause::kOrdered) return;
    State paused = state;
    paused.members[place].paused = true;
    visit(paused);
    if (!state.members[place].paused) return;
    State answered = state;
    answered.pauses[place] = Pause::kAnswered;
    answered.wait_ticks_left[place] = guards_.wait_covers_lease ? kWait : kLease - 1;
    visit(answered);
  }

  [[nodiscard]] bool permits_promotion(const State& state, int place) const {
    if (!guards_.leader_pauses) return true;
    if (state.pauses[place] != Pause::kAnswered) return false;
    if (guards_.leader_waits && state.wait_ticks_left[place] > 0) return false;
    if (guards_.leader_rechecks_pause && !state.members[place].paused) return false;
    const bool is_new = place == 1 && state.b_unknown_ticks_left > 0;
    return !(guards_.leader_waits_for_new_members && is_new);
  }

  void promotion_steps(const State& state, int place) {
    if (state.done) return;
    const bool other_permits = !guards_.candidate_is_paused && permits_promotion(state, 1 - place);
    const bool permitted = permits_promotion(state, place) || other_permits;
    if (state.promoting < 0 && permitted) {
      State ordered = state;
      ordered.promoting = place;
      visit(ordered);
    }
    if (state.promoting != place) return;
    State led = state;
    led.members[place] = Member{false, true, led.members[place].lost_log};
    led.done = true;
    visit(led);
    // The other members resume once the new primary was seen to lead.
    for (Member& member : led.members) member.paused = false;
    visit(led);
  }

  void restart(const State& state, int place) {
    if (state.restarts >= kMaxRestarts) return;
    State restarted = state;
    ++restarted.restarts;
    restarted.members[place] = Member{false, false, true};
    visit(restarted);
  }

  /// The member catches up from the old primary, which may still be running.
  void catch_up(const State& state, int place) {
    if (!state.members[place].lost_log || state.members[place].paused || state.promoting >= 0) return;
    State caught_up = state;
    caught_up.members[place].lost_log = false;
    visit(caught_up);
  }

  /// The next leader finds the group closed and has no record of its predecessor's pauses.
  void next_leader(const State& state) {
    if (state.done || state.promoting >= 0 || state.leaders >= kMaxLeaders) return;
    State other = state;
    ++other.leaders;
    other.pauses = {};
    other.wait_ticks_left = {};
    visit(other);
  }

  Guards guards_;
  bool violated_ = false;
  std::map<State, std::optional<State>> reached_from_;
  std::optional<State> current_;
  std::string trace_;
  std::deque<State> open_;
};

}  // namespace

class MemberLeaseModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberLeaseModelTest);
  CPPUNIT_TEST(design_satisfies_invariant);
  CPPUNIT_TEST(every_guard_is_required);
  CPPUNIT_TEST_SUITE_END();

 public:
  void design_satisfies_invariant() {
    Model model{Guards{}};
    const bool violated = model.finds_violation();
    CPPUNIT_ASSERT_MESSAGE(model.trace(), !violated);
    CPPUNIT_ASSERT_MESSAGE("the search explored too few states", model.states() > 10'000);
  }

  void every_guard_is_required() {
    expect_violation("leader_pauses", [](Guards& guards) { guards.leader_pauses = false; });
    expect_violation("leader_waits", [](Guards& guards) { guards.leader_waits = false; });
    expect_violation("wait_covers_lease", [](Guards& guards) { guards.wait_covers_lease = false; });
    expect_violation("leader_rechecks_pause", [](Guards& guards) { guards.leader_rechecks_pause = false; });
    expect_violation("leader_waits_for_new_members",
                     [](Guards& guards) { guards.leader_waits_for_new_members = false; });
    expect_violation("candidate_is_paused", [](Guards& guards) { guards.candidate_is_paused = false; });
    expect_violation("proxy_checks_pause", [](Guards& guards) { guards.proxy_checks_pause = false; });
    expect_violation("proxy_checks_term", [](Guards& guards) { guards.proxy_checks_term = false; });
    expect_violation("proxy_queries_all", [](Guards& guards) { guards.proxy_queries_all = false; });
    expect_violation("lease_counts_from_query",
                     [](Guards& guards) { guards.lease_counts_from_query = false; });
    expect_violation("proxy_stops_at_limit", [](Guards& guards) { guards.proxy_stops_at_limit = false; });
    expect_violation("new_member_ends_lease", [](Guards& guards) { guards.new_member_ends_lease = false; });
    expect_violation("proxy_checks_lost_log", [](Guards& guards) { guards.proxy_checks_lost_log = false; });
  }

 private:
  static void expect_violation(const std::string& guard, const std::function<void(Guards&)>& disable) {
    Guards guards;
    disable(guards);
    CPPUNIT_ASSERT_MESSAGE(guard, Model(guards).finds_violation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberLeaseModelTest);

}  // namespace cairnhollow::registered::control
