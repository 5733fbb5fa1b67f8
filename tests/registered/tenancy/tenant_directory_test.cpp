// Tests which tenant an API key authenticates, and how long keys remain valid without confirmation.
#include "registered/tenancy/tenant_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/tenancy/key_confirmation.h"

namespace cairnhollow::registered::tenancy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

registry::TenantRule tenant(const std::string& name, const std::vector<std::string>& keys) {
  registry::TenantRule rule;
  rule.name = TenantName(name);
  for (const std::string& key : keys) rule.keys.emplace_back(key);
  return rule;
}

std::string tenant_with_key(const TenantDirectory& directory, const std::string& key) {
  const auto* found = directory.find_by_key(ApiKey(key));
  return found == nullptr ? std::string() : found->name.value;
}

}  // namespace

class TenantDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantDirectoryTest);
  CPPUNIT_TEST(finds_tenant_while_it_has_the_key);
  CPPUNIT_TEST(moved_key_finds_new_tenant_in_either_order);
  CPPUNIT_TEST(only_tenants_with_highest_rates_are_large);
  CPPUNIT_TEST(keys_are_valid_until_bound_after_request);
  CPPUNIT_TEST(keys_are_always_valid_without_bound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void finds_tenant_while_it_has_the_key() {
    TenantDirectory directory;
    directory.put(tenant("one", {"a", "b"}));
    CPPUNIT_ASSERT_EQUAL(std::string("one"), tenant_with_key(directory, "b"));
    CPPUNIT_ASSERT_EQUAL(std::string(), tenant_with_key(directory, ""));
    directory.put(tenant("one", {"a"}));
    CPPUNIT_ASSERT_EQUAL(std::string(), tenant_with_key(directory, "b"));
    directory.remove(TenantName("one"));
    CPPUNIT_ASSERT_EQUAL(std::string(), tenant_with_key(directory, "a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
  }

  void moved_key_finds_new_tenant_in_either_order() {
    for (const bool removed_first : {true, false}) {
      TenantDirectory directory;
      directory.put(tenant("one", {"a"}));
      if (removed_first) directory.put(tenant("one", {}));
      directory.put(tenant("two", {"a"}));
      if (!removed_first) directory.put(tenant("one", {}));
      CPPUNIT_ASSERT_EQUAL(std::string("two"), tenant_with_key(directory, "a"));
    }
  }

  void only_tenants_with_highest_rates_are_large() {
    TenantDirectory directory;
    for (std::uint64_t number = 0; number < 30; ++number) {
      registry::TenantRule rule = tenant("tenant-" + std::to_string(number), {});
      rule.rate_per_s = number;
      directory.put(rule);
    }
    CPPUNIT_ASSERT(directory.is_large(TenantName("tenant-10")) &&
                   !directory.is_large(TenantName("tenant-9")));
    CPPUNIT_ASSERT(!directory.is_large(TenantName("nobody")));
    directory.remove(TenantName("tenant-29"));
    CPPUNIT_ASSERT(directory.is_large(TenantName("tenant-9")));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(28.0 / 406, directory.limit_fraction(TenantName("tenant-28")), 1e-9);
  }

  void keys_are_valid_until_bound_after_request() {
    KeyConfirmation keys(seconds(5));
    const TimePoint asked{seconds(100)};
    CPPUNIT_ASSERT_MESSAGE("never confirmed", !keys.allows(asked));
    keys.record(asked);
    CPPUNIT_ASSERT(keys.allows(asked + milliseconds(4899)));
    CPPUNIT_ASSERT(!keys.allows(asked + milliseconds(4900)));
    keys.record(asked - seconds(1));
    CPPUNIT_ASSERT_MESSAGE("an answer to an older request does not shorten the bound",
                           keys.allows(asked + milliseconds(4899)));
    CPPUNIT_ASSERT(keys.is_confirmed_since(asked) && !keys.is_confirmed_since(asked + milliseconds(1)));
  }

  void keys_are_always_valid_without_bound() {
    const KeyConfirmation keys(std::nullopt);
    CPPUNIT_ASSERT(keys.allows(TimePoint{seconds(1000)}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantDirectoryTest);

}  // namespace cairnhollow::registered::tenancy
