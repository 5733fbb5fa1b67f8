// Tests that the previous value of a lowered limit stays in force for a grace period, so that callers are not
// refused before the change must have taken effect.
#include <cppunit/extensions/HelperMacros.h>

#include "registered/limits/quota_ledger.h"

namespace cairnhollow::registered::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The grace period after a reduction is 2 s.
Limit tenant_of(std::uint64_t rate) {
  const LimitWindow window{seconds(5), 0.1, 20, seconds(2)};
  return {{LimitKind::kTenant, "tenant"}, static_cast<double>(rate), 10, window};
}

}  // namespace

class LoweredLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoweredLimitTest);
  CPPUNIT_TEST(keeps_previous_limit_for_grace_period);
  CPPUNIT_TEST(second_reduction_does_not_extend_grace_period);
  CPPUNIT_TEST(raised_limit_applies_immediately);
  CPPUNIT_TEST(first_limit_applies_immediately);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const auto proxy = std::make_shared<subset::ProxyView>(
        subset::ProxyView{NodeName("proxy"), ZoneName("a"), {"10.0.0.1", 1}});
    ledger_ = std::make_unique<QuotaLedger>(NodeName("proxy"));
    ledger_->set_owners(QuotaOwners({proxy}, {proxy}), 1);
    now_ = TimePoint(seconds(100));
    confirm();
  }

  void keeps_previous_limit_for_grace_period() {
    granted_in(tenant_of(300), seconds(10));
    ledger_->record_limit_change(tenant_of(300), tenant_of(30), now_);
    const int before = granted_in(tenant_of(30), seconds(2));
    CPPUNIT_ASSERT_MESSAGE("one owner's third of 300 per second", before >= 190);
    const int after = granted_in(tenant_of(30), seconds(2));
    CPPUNIT_ASSERT_MESSAGE("one owner's third of 30 per second, and the bucket depth", after <= 20 + 20);
  }

  void second_reduction_does_not_extend_grace_period() {
    granted_in(tenant_of(300), seconds(10));
    ledger_->record_limit_change(tenant_of(300), tenant_of(240), now_);
    granted_in(tenant_of(240), milliseconds(1900));
    ledger_->record_limit_change(tenant_of(240), tenant_of(30), now_);
    granted_in(tenant_of(30), milliseconds(100));
    CPPUNIT_ASSERT(granted_in(tenant_of(30), seconds(2)) <= 20 + 20);
  }

  void raised_limit_applies_immediately() {
    granted_in(tenant_of(30), seconds(10));
    ledger_->record_limit_change(tenant_of(30), tenant_of(300), now_);
    CPPUNIT_ASSERT(granted_in(tenant_of(300), seconds(2)) >= 190);
    CPPUNIT_ASSERT(granted_in(tenant_of(300), seconds(2)) >= 190);
  }

  void first_limit_applies_immediately() {
    Limit none = tenant_of(0);
    none.burst = 0;
    ledger_->record_limit_change(none, tenant_of(30), now_);
    CPPUNIT_ASSERT(granted_in(tenant_of(30), seconds(2)) <= 20 + 20);
  }

 private:
  void confirm() { ledger_->record_confirmed(now_, 1, now_); }
  /// Returns the number of tokens granted within `length` to a caller that requests one every 2 ms.
  int granted_in(const Limit& tenant, Duration length) {
    int granted = 0;
    const TimePoint end = now_ + length;
    while (now_ < end) {
      now_ += milliseconds(2);
      confirm();
      granted += static_cast<int>(ledger_->grant(tenant, {1, 0}, now_).tokens);
    }
    return granted;
  }

  std::unique_ptr<QuotaLedger> ledger_;
  TimePoint now_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoweredLimitTest);

}  // namespace cairnhollow::registered::limits
