// Guards against too many new links, and too many open at one backend, with tenants of skewed load.
//
// The load: 83 tenants, the k-th with 1 / k of the first one's operations, 39 a second at one group of three
// backends with 56 connections each, one a zone; 9 proxies of 78 serve it, a fifth of the statements needs
// the primary, and callers arrive in four zones, one of them without a backend.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <random>

#include "registered/proxy/group/connection_shares.h"
#include "registered/proxy/links/stateful_pool.h"
#include "registered/registry/division.h"
#include "registered/tenancy/tenant_division.h"
#include "simulation/world.h"
#include "subset/subset.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kTenants = 83;
constexpr int kStatements = 2400;
constexpr std::uint64_t kSlots = 3;

class OpenLink : public BackendLink {
 public:
  Awaitable<std::optional<Answer>> run(BackendRequest /*request*/, TimePoint /*deadline*/,
                                       runtime::SendState& /*sent*/, Reason& /*reason*/) override {
    co_return Answer{};
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return std::nullopt;
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return "backend"; }

 private:
  bool open_ = true;
};

/// Counts opened links, and the most that were open at one backend.
class CountingDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress address, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    auto link = std::make_shared<OpenLink>();
    auto& links = links_[address.backend];
    std::erase_if(links, [](const auto& one) { return !one->is_open(); });
    links.push_back(link);
    max_open = std::max(max_open, links.size());
    ++opened;
    co_return link;
  }
  int opened = 0;
  std::size_t max_open = 0;

 private:
  std::map<BackendName, std::vector<std::shared_ptr<OpenLink>>> links_;
};

Awaitable<void> use_link(runtime::Runtime& runtime, StatefulPool& pool, TenantName tenant) {
  std::optional<Refusal> refusal;
  Reason reason;
  const TimePoint deadline = runtime.now() + seconds(1);
  LinkRequest link_request{std::move(tenant), {}};
  const LinkDeadlines deadlines{deadline, deadline};
  auto link = co_await pool.acquire(std::move(link_request), deadlines, refusal, reason);
  if (!link) co_return;
  co_await runtime.sleep_for(milliseconds(25));
  pool.release(link);
}

subset::ProxyPointer proxy_of(const std::string& name, const ZoneName& zone) {
  return std::make_shared<subset::ProxyView>(subset::ProxyView{NodeName(name), zone, {"10.0.0.1", 1}});
}

}  // namespace

class TenantLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantLinksTest);
  CPPUNIT_TEST(skewed_tenants_reuse_links);
  CPPUNIT_TEST_SUITE_END();

 public:
  void skewed_tenants_reuse_links() {
    simulation::World world(simulation::WorldSettings{});
    runtime_ = &world.start_bare({"proxy", "10.0.0.1", ZoneName("zone-0")});
    const subset::SubsetTable table(all_proxies());
    serving_ = table.serving(GroupName("group"), 9);
    std::mt19937 random(7);
    std::vector<double> weights;
    for (int rank = 1; rank <= kTenants; ++rank) weights.push_back(1.0 / rank);
    std::discrete_distribution<int> tenant_of(weights.begin(), weights.end());
    for (int statement = 0; statement < kStatements; ++statement) {
      const int tenant = tenant_of(random);
      const double part = weights[static_cast<std::size_t>(tenant)] / 5.0;  // the weights add up to 5.0
      run_one(TenantName(fmt::format("tenant-{}", tenant)), part, random);
      world.run_for(milliseconds(1000 / 39));
      for (auto& [key, pool] : pools_) pool.trim(runtime_->now(), 0);
    }
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} new links for {} statements", dialer_.opened, kStatements),
                           dialer_.opened * 100 <= kMostNewLinks * kStatements);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} links open at one backend", dialer_.max_open),
                           dialer_.max_open <= 52);
  }

 private:
  /// New links for 100 statements. Includes the first link of each pair of tenant and backend.
  static constexpr int kMostNewLinks = 22;

  static std::vector<subset::ProxyPointer> all_proxies() {
    std::vector<subset::ProxyPointer> proxies;
    proxies.reserve(78);
    for (int number = 0; number < 78; ++number)
      proxies.push_back(
          proxy_of(fmt::format("proxy-{}", number), ZoneName(fmt::format("zone-{}", number % 4))));
    return proxies;
  }

  void run_one(const TenantName& tenant, double part, std::mt19937& random) {
    const std::vector<ZoneName> reading{ZoneName("zone-0"), ZoneName("zone-1"), ZoneName("zone-2")};
    const bool at_primary = random() % 5 == 0;
    const ZoneName origin_zone(fmt::format("zone-{}", random() % 4));
    const ZoneName zone =
        at_primary ? ZoneName("zone-0") : tenancy::zone_for_reads(reading, tenant, origin_zone);
    const NodeName forwarder(fmt::format("{}-{}", origin_zone.value, random() % 20));
    const auto order = tenancy::order_for_tenant(
        subset::forwarding_order(owners_in(zone), forwarder, origin_zone), tenant, part, zone);
    runtime_->spawn("use", use_link(*runtime_, pool_of(order.front(), zone), tenant));
  }

  [[nodiscard]] std::vector<subset::ProxyPointer> owners_in(const ZoneName& zone) const {
    return capacity::owners_of(serving_, zone, capacity::owner_count(kSlots));
  }
  [[nodiscard]] bool is_owner(const subset::ProxyPointer& proxy, const ZoneName& zone) const {
    const auto owners = owners_in(zone);
    return std::find(owners.begin(), owners.end(), proxy) != owners.end();
  }

  /// The proxy's links to the backend in the zone.
  StatefulPool& pool_of(const subset::ProxyPointer& proxy, const ZoneName& zone) {
    const std::string key = proxy->name.value + " " + zone.value;
    auto found = pools_.find(key);
    if (found != pools_.end()) return found->second;
    const BackendAddress address{{"10.0.0.2", 9000}, GroupName("group"), BackendName(zone.value)};
    found = pools_.try_emplace(key, *runtime_, dialer_, address).first;
    registry::GroupRule rule;
    rule.max_connections = 56;
    const std::size_t owners = owners_in(zone).size();
    const capacity::LinkLimits limits = capacity::settled_limits(
        {registry::usable_connections(rule), owners, serving_.size() - owners, is_owner(proxy, zone)});
    found->second.set_limits(limits.kept, limits.maximum);
    found->second.set_idle_timeout(is_owner(proxy, zone) ? kOwnedIdleLinkTimeout : kIdleLinkTimeout);
    return found->second;
  }

  simulation::VirtualRuntime* runtime_ = nullptr;
  CountingDialer dialer_;
  std::vector<subset::ProxyPointer> serving_;
  std::map<std::string, StatefulPool> pools_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantLinksTest);

}  // namespace cairnhollow::registered::proxy
