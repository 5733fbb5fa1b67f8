// Fixture for the tests of promotion requests: one control node, a closed group, and a platform that answers
// as the test says.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "registered/control/failover/promotion_requests.h"
#include "tests/registered/control/control_stand.h"
#include "tests/registered/control/promotion_double.h"

namespace cairnhollow::registered::control {

class PromotionRequestsStand : public CppUnit::TestFixture {
 public:
  /// A group that is closed in the term of "primary".
  void setUp() override {
    stand_ = std::make_unique<ControlStand>();
    stand_->open_group();
    commit(registry::CloseGroup{kGroup, 1});
    platform_ = std::make_unique<PlatformDouble>(stand_->runtime());
    terms_ = std::make_unique<GroupTerms>(stand_->runtime(), log(), stand_->fleet(), stand_->calls());
    requests_ = std::make_unique<PromotionRequests>(stand_->runtime(), log(), stand_->fleet(), *terms_,
                                                    stand_->calls(), *platform_, kNode);
  }
  void tearDown() override { stand_.reset(); }

 protected:
  using PromotionAttempt = registry::PromotionAttempt;
  static inline const GroupName kGroup{"group"};
  static inline const NodeName kNode{"10.0.0.1"};
  /// Time in which a report is committed.
  static constexpr Duration kReportTime = std::chrono::milliseconds(100);

  ScriptedConsensus& log() { return stand_->consensus(); }
  void commit(registry::Command command) { log().commit(std::move(command)); }
  const registry::UnsettledPromotions& unsettled() { return stand_->fleet().unsettled_promotions(); }
  const std::vector<PromotionAttempt>& attempts() { return unsettled().of(kGroup); }

  /// Runs until the request returns.
  void request(const char* backend) { CPPUNIT_ASSERT(stand_->finish(run_request(BackendName(backend)))); }
  Awaitable<void> run_request(BackendName backend) {
    was_requested_ =
        co_await requests_->request(stand_->term(), stand_->fleet().find_backend(backend)->incarnation());
  }
  void hold_answers() {
    platform_->reply = [](const registry::PromotionOrder&) { return std::nullopt; };
  }
  /// An attempt of another control node.
  PromotionAttempt foreign(std::uint64_t number, const char* backend) {
    return {kGroup, BackendName(backend), NodeName("10.0.0.2"), 1, number, 2, 7};
  }
  static PromotionAttempt withdrawn(PromotionAttempt attempt) {
    attempt.is_withdrawn = true;
    return attempt;
  }
  void withdraw(const PromotionAttempt& attempt) {
    commit(registry::BeginPromotion{attempt});
    commit(registry::WithdrawPromotions{{attempt}});
  }
  void open(const char* backend) {
    const registry::GroupTerm closed = stand_->term();
    commit(registry::OpenGroup{kGroup, closed.epoch, closed.term + 1, BackendName(backend), 0});
  }

  std::unique_ptr<ControlStand> stand_;
  std::unique_ptr<PlatformDouble> platform_;
  std::unique_ptr<GroupTerms> terms_;
  std::unique_ptr<PromotionRequests> requests_;
  bool was_requested_ = false;
};

}  // namespace cairnhollow::registered::control
