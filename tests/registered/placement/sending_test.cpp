// The last look before a statement is sent, at its key as well, and the look at open transactions.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/placement/placement.h"

namespace cairnhollow::registered::placement {
namespace {

template <class Facts, class Change>
Facts with(Facts facts, Change change) {
  change(facts);
  return facts;
}

}  // namespace

class SendingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SendingTest);
  CPPUNIT_TEST(keys);
  CPPUNIT_TEST(stalled_commits);
  CPPUNIT_TEST(the_last_look);
  CPPUNIT_TEST(open_transactions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void keys() {
    CPPUNIT_ASSERT(key_obstacle({false, false, false}) == Obstacle::kNone);
    CPPUNIT_ASSERT(key_obstacle({true, true, true}) == Obstacle::kNone);
    CPPUNIT_ASSERT(key_obstacle({true, false, true}) == Obstacle::kKeyUnauthorized);
    CPPUNIT_ASSERT(key_obstacle({true, true, false}) == Obstacle::kKeyUnconfirmed);
    CPPUNIT_ASSERT(key_obstacle({true, false, false}) == Obstacle::kKeyUnauthorized);
  }

  void stalled_commits() {
    CPPUNIT_ASSERT(commit_obstacle(true, true) == Obstacle::kCommitsStall);
    CPPUNIT_ASSERT(commit_obstacle(true, false) == Obstacle::kNone);
    CPPUNIT_ASSERT(commit_obstacle(false, true) == Obstacle::kNone);
  }

  void the_last_look() {
    const SendFacts good{true, true, false, {true, true, true}};
    const BackendFacts there = BackendFacts();
    const auto look = [&there](SendFacts facts, auto change) {
      change(facts);
      return before_sending(facts, there);
    };
    const auto is = [](SendDecision decision, SendAction action, Obstacle obstacle) {
      return decision.action == action && decision.obstacle == obstacle;
    };
    CPPUNIT_ASSERT(is(before_sending(good, there), SendAction::kSend, Obstacle::kNone));
    CPPUNIT_ASSERT(is(look(good, [](auto& facts) { facts.may_use_primary = false; }),
                      SendAction::kChooseAgain, Obstacle::kPrimaryGivenUp));
    CPPUNIT_ASSERT(is(look(good,
                           [](auto& facts) {
                             facts.may_use_primary = false;
                             facts.needs_primary = false;
                           }),
                      SendAction::kSend, Obstacle::kNone));
    CPPUNIT_ASSERT(is(look(good, [](auto& facts) { facts.lacks_token = true; }), SendAction::kRefuse,
                      Obstacle::kOverLimit));
    CPPUNIT_ASSERT(is(look(good, [](auto& facts) { facts.key.proves_tenant = false; }), SendAction::kRefuse,
                      Obstacle::kKeyUnauthorized));
    CPPUNIT_ASSERT(is(look(good, [](auto& facts) { facts.key.is_confirmed = false; }), SendAction::kRefuse,
                      Obstacle::kKeyUnconfirmed));
    const auto evacuated = with(there, [](auto& facts) { facts.zone_evacuated = true; });
    const auto outside = with(there, [](auto& facts) { facts.region_allowed = false; });
    const auto cold = with(there, [](auto& facts) { facts.cold_limit_reached = true; });
    const auto leaving = with(there, [](auto& facts) { facts.leaving = true; });
    CPPUNIT_ASSERT(is(before_sending(good, evacuated), SendAction::kChooseAgain, Obstacle::kZoneEvacuated));
    CPPUNIT_ASSERT(is(before_sending(good, outside), SendAction::kChooseAgain, Obstacle::kOutsideRegions));
    CPPUNIT_ASSERT(is(before_sending(good, cold), SendAction::kChooseAgain, Obstacle::kColdLimit));
    CPPUNIT_ASSERT(is(before_sending(good, leaving), SendAction::kSend, Obstacle::kNone));
  }

  void open_transactions() {
    const TransactionFacts good{true, false, true, false, {true, true, true}};
    const BackendFacts there = BackendFacts();
    const auto ask = [&there](TransactionFacts facts, auto change) {
      change(facts);
      return obstacle_in_transaction(facts, there);
    };
    CPPUNIT_ASSERT(obstacle_in_transaction(good, there) == Obstacle::kNone);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) { facts.may_use_primary = false; }) ==
                   Obstacle::kPrimaryGivenUp);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) {
                     facts.may_use_primary = false;
                     facts.read_only = true;
                   }) == Obstacle::kNone);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) {
                     facts.may_use_primary = false;
                     facts.at_primary = false;
                   }) == Obstacle::kNone);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) { facts.commits_stall = true; }) == Obstacle::kCommitsStall);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) { facts.key.proves_tenant = false; }) ==
                   Obstacle::kKeyUnauthorized);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) { facts.key.is_confirmed = false; }) ==
                   Obstacle::kKeyUnconfirmed);
    BackendFacts evacuated = with(there, [](auto& facts) { facts.zone_evacuated = true; });
    CPPUNIT_ASSERT_MESSAGE("it has a while", obstacle_in_transaction(good, evacuated) == Obstacle::kNone);
    evacuated.transaction_grace_over = true;
    CPPUNIT_ASSERT(obstacle_in_transaction(good, evacuated) == Obstacle::kZoneEvacuated);
    const auto others = with(there, [](auto& facts) {
      facts.leaving = true;
      facts.cold_limit_reached = true;
      facts.region_allowed = false;
    });
    CPPUNIT_ASSERT_MESSAGE("that is about new work",
                           obstacle_in_transaction(good, others) == Obstacle::kNone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendingTest);

}  // namespace cairnhollow::registered::placement
