// Checks right before a statement is sent, including its API key, and checks of open transactions.
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
  CPPUNIT_TEST(rejects_invalid_or_unconfirmed_keys);
  CPPUNIT_TEST(rejects_writes_while_commits_stall);
  CPPUNIT_TEST(rechecks_before_sending);
  CPPUNIT_TEST(rechecks_open_transactions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void rejects_invalid_or_unconfirmed_keys() {
    CPPUNIT_ASSERT(key_rejection({false, false, false}) == RejectionReason::kNone);
    CPPUNIT_ASSERT(key_rejection({true, true, true}) == RejectionReason::kNone);
    CPPUNIT_ASSERT(key_rejection({true, false, true}) == RejectionReason::kKeyUnauthorized);
    CPPUNIT_ASSERT(key_rejection({true, true, false}) == RejectionReason::kKeyUnconfirmed);
    CPPUNIT_ASSERT(key_rejection({true, false, false}) == RejectionReason::kKeyUnauthorized);
  }

  void rejects_writes_while_commits_stall() {
    CPPUNIT_ASSERT(commit_rejection(true, true) == RejectionReason::kCommitsStall);
    CPPUNIT_ASSERT(commit_rejection(true, false) == RejectionReason::kNone);
    CPPUNIT_ASSERT(commit_rejection(false, true) == RejectionReason::kNone);
  }

  void rechecks_before_sending() {
    const SendFacts good{true, true, false, {true, true, true}};
    const BackendFacts there = BackendFacts();
    const auto look = [&there](SendFacts facts, auto change) {
      change(facts);
      return check_before_sending(facts, there);
    };
    const auto is = [](SendDecision decision, SendAction action, RejectionReason rejection) {
      return decision.action == action && decision.rejection == rejection;
    };
    CPPUNIT_ASSERT(is(check_before_sending(good, there), SendAction::kSend, RejectionReason::kNone));
    CPPUNIT_ASSERT(is(look(good, [](auto& facts) { facts.may_use_primary = false; }),
                      SendAction::kReselectBackend, RejectionReason::kPrimaryGivenUp));
    CPPUNIT_ASSERT(is(look(good,
                           [](auto& facts) {
                             facts.may_use_primary = false;
                             facts.needs_primary = false;
                           }),
                      SendAction::kSend, RejectionReason::kNone));
    CPPUNIT_ASSERT(is(look(good, [](auto& facts) { facts.lacks_token = true; }), SendAction::kRefuse,
                      RejectionReason::kOverLimit));
    CPPUNIT_ASSERT(is(look(good, [](auto& facts) { facts.key.proves_tenant = false; }), SendAction::kRefuse,
                      RejectionReason::kKeyUnauthorized));
    CPPUNIT_ASSERT(is(look(good, [](auto& facts) { facts.key.is_confirmed = false; }), SendAction::kRefuse,
                      RejectionReason::kKeyUnconfirmed));
    const auto evacuated = with(there, [](auto& facts) { facts.zone_evacuated = true; });
    const auto outside = with(there, [](auto& facts) { facts.region_allowed = false; });
    const auto cold = with(there, [](auto& facts) { facts.cold_limit_reached = true; });
    const auto leaving = with(there, [](auto& facts) { facts.leaving = true; });
    CPPUNIT_ASSERT(is(check_before_sending(good, evacuated), SendAction::kReselectBackend,
                      RejectionReason::kZoneEvacuated));
    CPPUNIT_ASSERT(is(check_before_sending(good, outside), SendAction::kReselectBackend,
                      RejectionReason::kOutsideRegions));
    CPPUNIT_ASSERT(
        is(check_before_sending(good, cold), SendAction::kReselectBackend, RejectionReason::kColdLimit));
    CPPUNIT_ASSERT(is(check_before_sending(good, leaving), SendAction::kSend, RejectionReason::kNone));
  }

  void rechecks_open_transactions() {
    const TransactionFacts good{true, false, true, false, {true, true, true}};
    const BackendFacts there = BackendFacts();
    const auto ask = [&there](TransactionFacts facts, auto change) {
      change(facts);
      return rejection_in_transaction(facts, there);
    };
    CPPUNIT_ASSERT(rejection_in_transaction(good, there) == RejectionReason::kNone);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) { facts.may_use_primary = false; }) ==
                   RejectionReason::kPrimaryGivenUp);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) {
                     facts.may_use_primary = false;
                     facts.read_only = true;
                   }) == RejectionReason::kNone);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) {
                     facts.may_use_primary = false;
                     facts.at_primary = false;
                   }) == RejectionReason::kNone);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) { facts.commits_stall = true; }) ==
                   RejectionReason::kCommitsStall);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) { facts.key.proves_tenant = false; }) ==
                   RejectionReason::kKeyUnauthorized);
    CPPUNIT_ASSERT(ask(good, [](auto& facts) { facts.key.is_confirmed = false; }) ==
                   RejectionReason::kKeyUnconfirmed);
    BackendFacts evacuated = with(there, [](auto& facts) { facts.zone_evacuated = true; });
    CPPUNIT_ASSERT_MESSAGE("within the grace period",
                           rejection_in_transaction(good, evacuated) == RejectionReason::kNone);
    evacuated.transaction_grace_expired = true;
    CPPUNIT_ASSERT(rejection_in_transaction(good, evacuated) == RejectionReason::kZoneEvacuated);
    const auto others = with(there, [](auto& facts) {
      facts.leaving = true;
      facts.cold_limit_reached = true;
      facts.region_allowed = false;
    });
    CPPUNIT_ASSERT_MESSAGE("conditions that apply to new work only",
                           rejection_in_transaction(good, others) == RejectionReason::kNone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendingTest);

}  // namespace cairnhollow::registered::placement
