// A small model of a change of primary, searched exhaustively with the real choose_promotion(): a primary P
// and its replicas A and B, one proxy that acknowledges commits, and the leader that closes the group, looks,
// promotes and opens. Any of the three may start again under its name between any two steps: with an empty
// log, and in the registry some time later. The promise: whoever the group is opened with holds every
// acknowledged commit, unless nobody's log has it any more, and somebody is opened once nothing better can
// come.
//
// Assumed, as the design does: until it has registered, an incarnation that starts again gets the primary's
// log whole or not at all.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "registered/control/failover/promotion_choice.h"

namespace cairnhollow::registered::control {

namespace {

constexpr std::size_t kMembers = 3;  ///< P, A and B
constexpr std::size_t kPrimary = 0;
constexpr std::uint64_t kMostCommits = 2;
constexpr int kMostRestarts = 2;
constexpr std::uint64_t kClosedTerm = 2;
const std::array<std::string, kMembers> kNames{"P", "A", "B"};

/// One guard left out each; all true is the design.
struct Guards {
  bool backends_tell_incarnations = true;       ///< and who shows an empty log has lost it
  bool term_tells_primarys_incarnation = true;  ///< another incarnation of the primary is not the old one
  bool replaced_incarnation_unsettles = true;   ///< a reborn member left with all it held
  bool left_incarnation_unsettles = true;       ///< and is not stable until compared
  bool joined_incarnation_needs_entries = true;
  bool opened_with_what_was_chosen = true;
};

struct Member {
  std::uint64_t length = 0;  ///< commits that it holds
  bool answers = true;
  int incarnation = 1;
  int registered = 1;  ///< the incarnation that the registry has
  bool joined = false;
  auto operator<=>(const Member&) const = default;
};

struct State {
  std::array<Member, kMembers> members{};
  std::uint64_t earlier = 0;     ///< commits of the term before
  std::uint64_t replicated = 0;  ///< that some replica has received
  std::uint64_t acknowledged = 0;
  std::uint64_t told = 0;  ///< the highest that the proxy knows of
  bool proxy_started_again = false;
  bool unsettled = false;
  bool replaced = false;
  bool closed = false;
  int restarts = 0;
  int ordered = -1;
  std::uint64_t chosen_length = 0;
  auto operator<=>(const State&) const = default;
};

class Model {
 public:
  explicit Model(Guards guards) : guards_(guards) {}

  bool finds_violation() {
    visit(State{});
    // Commits of the term before, acknowledged by proxies that have started again since.
    State later;
    later.earlier = later.replicated = later.acknowledged = kMostCommits;
    for (Member& member : later.members) member.length = kMostCommits;
    visit(later);
    while (!open_.empty() && violation_.empty()) {
      const State state = open_.front();
      open_.pop_front();
      current_ = state;
      expand(state);
    }
    return !violation_.empty();
  }
  [[nodiscard]] std::size_t states() const { return reached_from_.size(); }
  [[nodiscard]] const std::string& violation() const { return violation_; }

 private:
  void visit(const State& state) {
    if (reached_from_.emplace(state, current_).second) open_.push_back(state);
  }

  static std::string describe(const State& state) {
    std::string text;
    for (std::size_t place = 0; place < kMembers; ++place) {
      const Member& member = state.members[place];
      text += fmt::format("{} holds {}{} incarnation {} registered {}{}, ", kNames[place], member.length,
                          member.answers ? "" : " silent", member.incarnation, member.registered,
                          member.joined ? " joined" : "");
    }
    return text + fmt::format("acknowledged {} told {} closed {} unsettled {} replaced {} ordered {}\n",
                              state.acknowledged, state.told, state.closed, state.unsettled, state.replaced,
                              state.ordered);
  }

  void violate(const State& state, const std::string& why) {
    if (!violation_.empty()) return;
    for (std::optional<State> step = state; step; step = reached_from_.at(*step))
      violation_ = describe(*step) + violation_;
    violation_ += why;
  }

  /// Whether P leads the term: not once it has started again.
  static bool leads(const State& state) { return state.members[kPrimary].incarnation == 1; }

  void expand(const State& state) {
    for (std::size_t place = 0; place < kMembers; ++place) {
      replicate(state, place);
      fall_silent(state, place);
      restart(state, place);
      register_incarnation(state, place);
    }
    commit(state);
    acknowledge(state);
    restart_proxy(state);
    settle(state);
    close(state);
    look(state);
    take_effect(state);
  }

  void commit(const State& state) {
    if (state.closed || !leads(state) || state.members[kPrimary].length >= kMostCommits) return;
    State next = state;
    ++next.members[kPrimary].length;
    visit(next);
  }
  void replicate(const State& state, std::size_t place) {
    if (place == kPrimary || !leads(state) || state.ordered >= 0) return;
    const Member& primary = state.members[kPrimary];
    State next = state;
    Member& member = next.members[place];
    if (member.length >= primary.length) return;
    // Entry by entry, or all at once.
    member.length = member.registered == member.incarnation ? member.length + 1 : primary.length;
    next.replicated = std::max(next.replicated, member.length);
    visit(next);
  }
  void acknowledge(const State& state) {
    if (state.closed || !leads(state) || state.replicated <= state.earlier) return;
    State next = state;
    next.acknowledged = std::max(next.acknowledged, state.replicated);
    next.told = std::max(next.told, state.replicated);
    visit(next);
  }
  void restart_proxy(const State& state) {
    State next = state;
    next.proxy_started_again = true;
    next.told = 0;
    visit(next);
  }
  void fall_silent(const State& state, std::size_t place) {
    State next = state;
    next.members[place].answers = !next.members[place].answers;
    visit(next);
  }
  void restart(const State& state, std::size_t place) {
    if (state.restarts >= kMostRestarts) return;
    State next = state;
    ++next.restarts;
    ++next.members[place].incarnation;
    next.members[place].length = 0;
    visit(next);
  }
  void register_incarnation(const State& state, std::size_t place) {
    State next = state;
    if (next.members[place].registered == next.members[place].incarnation) return;
    next.members[place].registered = next.members[place].incarnation;
    next.members[place].joined = true;
    next.unsettled = true;
    next.replaced = true;
    visit(next);
  }
  /// The leader finds another member with all that the primary holds.
  void settle(const State& state) {
    const Member& primary = state.members[kPrimary];
    if (!leads(state) || !primary.answers || state.closed || !state.unsettled) return;
    const bool held = std::any_of(state.members.begin() + 1, state.members.end(), [&](const Member& member) {
      return member.answers && member.length >= primary.length;
    });
    if (!held) return;
    State next = state;
    next.unsettled = false;
    next.replaced = false;
    visit(next);
  }
  void close(const State& state) {
    State next = state;
    next.closed = true;
    visit(next);
  }

  static Position position_of(const State& state, std::uint64_t length) {
    return {length <= state.earlier ? kClosedTerm - 1 : kClosedTerm, length};
  }

  [[nodiscard]] PromotionFacts facts_of(const State& state) const {
    PromotionFacts facts;
    facts.closed.term = kClosedTerm;
    facts.closed.epoch = state.earlier == 0 ? 2 : 4;
    facts.closed.primary = BackendName(kNames[kPrimary]);
    facts.closed.primary_start_time_ms =
        guards_.term_tells_primarys_incarnation && guards_.backends_tell_incarnations ? 1 : 0;
    facts.synchronous_replicas = 1;
    facts.all_acknowledgers_answered = !state.proxy_started_again;
    facts.highest_acknowledged = state.told == 0 ? Position{} : position_of(state, state.told);
    facts.members_are_stable = !(state.unsettled && guards_.left_incarnation_unsettles);
    facts.replaced_incarnation_is_unsettled =
        state.unsettled && state.replaced && guards_.replaced_incarnation_unsettles;
    for (std::size_t place = 0; place < kMembers; ++place) {
      const Member& member = state.members[place];
      MemberFinding finding;
      finding.entry.name = BackendName(kNames[place]);
      if (guards_.backends_tell_incarnations)
        finding.entry.start_time_ms = static_cast<std::uint64_t>(member.registered);
      finding.joined_in_term = member.joined && guards_.joined_incarnation_needs_entries;
      const bool is_primary = place == kPrimary && leads(state);
      if (member.answers)
        finding.status = BackendStatus{is_primary, kClosedTerm, position_of(state, member.length)};
      facts.members.push_back(std::move(finding));
    }
    return facts;
  }

  void look(const State& state) {
    if (!state.closed || state.ordered >= 0) return;
    const PromotionChoice choice = choose_promotion(facts_of(state), true);
    if (choice.verdict == PromotionVerdict::kNotYet) return expect_hope(state);
    const auto found = std::find(kNames.begin(), kNames.end(), choice.backend.value);
    const auto place = static_cast<std::size_t>(found - kNames.begin());
    if (choice.verdict == PromotionVerdict::kReopen) return opened(state, place);
    State next = state;
    next.ordered = static_cast<int>(place);
    next.chosen_length = state.members[place].length;
    visit(next);
  }

  /// Whether some log, reachable or not, has every acknowledged commit.
  static bool can_be_found(const State& state) {
    return std::any_of(state.members.begin(), state.members.end(),
                       [&](const Member& member) { return member.length >= state.acknowledged; });
  }

  /// Nobody is chosen: somebody silent, or unregistered, may still change that.
  void expect_hope(const State& state) {
    const bool all_known = std::all_of(state.members.begin(), state.members.end(), [](const Member& member) {
      return member.answers && member.registered == member.incarnation;
    });
    if (all_known) violate(state, "nobody is chosen, and nothing will change that");
  }

  void take_effect(const State& state) {
    if (state.ordered < 0) return;
    const auto place = static_cast<std::size_t>(state.ordered);
    const bool same = state.members[place].length >= state.chosen_length;
    if (same || !guards_.opened_with_what_was_chosen) opened(state, place);
  }

  void opened(const State& state, std::size_t place) {
    const bool holds_all = state.members[place].length >= state.acknowledged;
    if (!holds_all && can_be_found(state))
      violate(state, kNames[place] + " leads without an acknowledged commit");
  }

  Guards guards_;
  std::string violation_;
  std::map<State, std::optional<State>> reached_from_;
  std::optional<State> current_;
  std::deque<State> open_;
};

}  // namespace

class PromotionModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionModelTest);
  CPPUNIT_TEST(the_design_keeps_its_promise);
  CPPUNIT_TEST(each_guard_is_needed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void the_design_keeps_its_promise() {
    Model model{Guards{}};
    const bool violated = model.finds_violation();
    CPPUNIT_ASSERT_MESSAGE(model.violation(), !violated);
    CPPUNIT_ASSERT_MESSAGE("the search went somewhere", model.states() > 10'000);
  }

  void each_guard_is_needed() {
    expect_violation("incarnations", [](Guards& guards) { guards.backends_tell_incarnations = false; });
    expect_violation("primary's incarnation",
                     [](Guards& guards) { guards.term_tells_primarys_incarnation = false; });
    expect_violation("replaced", [](Guards& guards) { guards.replaced_incarnation_unsettles = false; });
    expect_violation("left", [](Guards& guards) { guards.left_incarnation_unsettles = false; });
    expect_violation("joined", [](Guards& guards) { guards.joined_incarnation_needs_entries = false; });
    expect_violation("chosen", [](Guards& guards) { guards.opened_with_what_was_chosen = false; });
  }

 private:
  static void expect_violation(const std::string& guard, const std::function<void(Guards&)>& leave_out) {
    Guards guards;
    leave_out(guards);
    CPPUNIT_ASSERT_MESSAGE(guard, Model(guards).finds_violation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionModelTest);

}  // namespace cairnhollow::registered::control
