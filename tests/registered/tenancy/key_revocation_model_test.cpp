// Exhaustive model check of tenancy/key_confirmation.h: no statement runs that was sent later than the bound
// after the removal of its key was acknowledged. Models a control leader that may be deposed, a proxy that
// requests confirmations, and a caller; assumes clocks that agree within the margin, and restarts that lose
// all confirmations.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <deque>
#include <set>
#include <string>

namespace cairnhollow::registered::tenancy {

namespace {

constexpr int kBound = 4;                ///< ticks
constexpr int kMaximumAge = kBound + 2;  ///< upper limit of ages; represents all greater ages
constexpr int kNotRemoved = -1;

/// Safety checks of the protocol, each of which a test can disable. All true is the protocol as implemented.
struct Guards {
  bool leader_asks_quorum = true;
  bool counts_from_request = true;
  bool confirms_with_document = true;  ///< an answer that arrives before its document change confirms nothing
  bool proxy_stops_without_confirmation = true;
  bool statements_are_checked = true;  ///< each one, in addition to the opening of a session
  bool restart_forgets = true;
};

enum class Answer : std::uint8_t { kNone, kOld, kNew };

struct State {
  int removed_age = kNotRemoved;  ///< ticks since the removal was acknowledged
  bool deposed_answers = false;   ///< the proxy talks to a leader that was replaced before the removal
  // The proxy.
  /// Ticks since the last answered request was sent; kMaximumAge: none, or too old.
  int confirmed_age = kMaximumAge;
  bool knows_removal = false;  ///< has received the removal
  bool has_request = false;
  int request_age = 0;
  Answer answer = Answer::kNone;  ///< in transit: kOld without the removal, kNew with it
  bool session_open = false;      ///< opened while the key was valid
  // A statement that was read and is waiting to run.
  bool waits = false;
  bool sent_late = false;  ///< sent later than the bound after the removal was acknowledged
  auto operator<=>(const State&) const = default;
};

class Model {
 public:
  explicit Model(Guards guards) : guards_(guards) {}

  bool finds_violation() {
    visit(State{});
    while (!queue_.empty() && !violated_) {
      const State state = queue_.front();
      queue_.pop_front();
      expand(state);
    }
    return violated_;
  }
  [[nodiscard]] std::size_t states() const { return visited_.size(); }

 private:
  void visit(const State& state) {
    if (visited_.insert(state).second) queue_.push_back(state);
  }

  static int older(int age) { return age >= kMaximumAge ? kMaximumAge : age + 1; }

  [[nodiscard]] bool allows(const State& state) const {
    if (state.knows_removal) return false;
    return !guards_.proxy_stops_without_confirmation
               ? state.confirmed_age != kMaximumAge || state.session_open
               : state.confirmed_age < kBound;
  }

  void expand(const State& state) {
    tick(state);
    control_steps(state);
    request_steps(state);
    caller_steps(state);
    restart(state);
  }

  void tick(State state) {
    if (state.removed_age != kNotRemoved) state.removed_age = older(state.removed_age);
    state.confirmed_age = older(state.confirmed_age);
    if (state.has_request) state.request_age = older(state.request_age);
    visit(state);
  }

  void control_steps(const State& state) {
    State removed = state;
    if (state.removed_age == kNotRemoved) removed.removed_age = 0;
    visit(removed);
    State deposed = state;
    deposed.deposed_answers = !state.deposed_answers;
    visit(deposed);
  }

  void request_steps(const State& state) {
    State next = state;
    if (!state.has_request) {
      next.has_request = true;
      next.request_age = 0;
      next.answer = Answer::kNone;
      visit(next);
      return;
    }
    if (state.answer == Answer::kNone) {
      // A replaced leader finds no quorum and does not answer.
      if (state.deposed_answers && guards_.leader_asks_quorum) return;
      const bool knows_removal = state.removed_age != kNotRemoved && !state.deposed_answers;
      next.answer = knows_removal ? Answer::kNew : Answer::kOld;
      visit(next);
      return;
    }
    take_answer(state, false);
    // A document change that is too large for the answer arrives after it.
    if (state.answer == Answer::kNew) take_answer(state, true);
  }

  void take_answer(State state, bool without_change) {
    state.has_request = false;
    const bool confirms = !without_change || !guards_.confirms_with_document;
    if (state.answer == Answer::kNew && !without_change) state.knows_removal = true;
    if (confirms) state.confirmed_age = guards_.counts_from_request ? state.request_age : 0;
    state.answer = Answer::kNone;
    state.request_age = 0;
    visit(state);
  }

  void caller_steps(const State& state) {
    State next = state;
    if (!state.session_open && allows(state)) {
      next.session_open = true;
      visit(next);
    }
    if (state.session_open && !state.waits) {
      next = state;
      next.waits = true;
      next.sent_late = state.removed_age > kBound;
      visit(next);
    }
    if (!state.waits) return;
    const bool runs = !guards_.statements_are_checked || allows(state);
    if (runs && state.sent_late) violated_ = true;
    next = state;
    next.waits = false;
    next.sent_late = false;
    visit(next);
  }

  void restart(const State& state) {
    State next;
    next.removed_age = state.removed_age;
    next.deposed_answers = state.deposed_answers;
    if (!guards_.restart_forgets) next.confirmed_age = 0;
    visit(next);
  }

  Guards guards_;
  std::set<State> visited_;
  std::deque<State> queue_;
  bool violated_ = false;
};

}  // namespace

class KeyRevocationModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyRevocationModelTest);
  CPPUNIT_TEST(no_order_of_events_runs_a_late_statement);
  CPPUNIT_TEST(late_statement_runs_without_any_guard);
  CPPUNIT_TEST_SUITE_END();

 public:
  void no_order_of_events_runs_a_late_statement() {
    Model model({});
    CPPUNIT_ASSERT(!model.finds_violation());
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} states", model.states()), model.states() > 1000);
  }

  void late_statement_runs_without_any_guard() {
    const auto finds_without = [](bool Guards::*guard) {
      Guards guards;
      guards.*guard = false;
      return Model(guards).finds_violation();
    };
    CPPUNIT_ASSERT_MESSAGE("leader confirms with a quorum", finds_without(&Guards::leader_asks_quorum));
    CPPUNIT_ASSERT_MESSAGE("confirmation counts from the request",
                           finds_without(&Guards::counts_from_request));
    CPPUNIT_ASSERT_MESSAGE("confirmation needs the document change",
                           finds_without(&Guards::confirms_with_document));
    CPPUNIT_ASSERT_MESSAGE("proxy stops without confirmation",
                           finds_without(&Guards::proxy_stops_without_confirmation));
    CPPUNIT_ASSERT_MESSAGE("each statement is checked", finds_without(&Guards::statements_are_checked));
    CPPUNIT_ASSERT_MESSAGE("restart discards confirmations", finds_without(&Guards::restart_forgets));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyRevocationModelTest);

}  // namespace cairnhollow::registered::tenancy
