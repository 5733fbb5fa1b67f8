// Where statements may go by a proxy's copy of the document, and to which proxies they may be sent.
#include "registered/proxy/fleet/fleet_view.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

namespace {

class NoDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

std::vector<RegionName> regions(const std::vector<std::string>& names) {
  std::vector<RegionName> list;
  list.reserve(names.size());
  for (const std::string& name : names) list.emplace_back(name);
  return list;
}

registry::RouteRule route(const std::string& name, const std::vector<std::string>& allowed) {
  registry::RouteRule rule;
  rule.name = RouteName(name);
  rule.database = DatabaseName(name);
  rule.group = GroupName("group");
  rule.allowed_regions = regions(allowed);
  return rule;
}

registry::TenantRule tenant(const std::string& name, const std::vector<std::string>& allowed) {
  registry::TenantRule rule;
  rule.name = TenantName(name);
  rule.keys = {ApiKey("key-of-" + name)};
  rule.allowed_regions = regions(allowed);
  return rule;
}

registry::AdmittedProxy proxy(const std::string& name, const std::string& zone) {
  return {NodeName(name), 1, ZoneName(zone), Endpoint{"10.0.1." + name.substr(1), 7000}, false};
}

SessionProxySettings settings() {
  SessionProxySettings all;
  all.node = NodeName("p1");
  all.zone = ZoneName("s1");
  all.zone_regions = {{ZoneName("n1"), RegionName("north")},
                      {ZoneName("n2"), RegionName("north")},
                      {ZoneName("s1"), RegionName("south")}};
  return all;
}

std::string names(const std::vector<subset::ProxyPointer>& proxies) {
  std::string text;
  for (const auto& one : proxies) text += (text.empty() ? "" : " ") + one->name.value;
  return text;
}

}  // namespace

class FleetViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetViewTest);
  CPPUNIT_TEST(route_and_tenant_both_bind);
  CPPUNIT_TEST(a_changed_document_binds_from_then_on);
  CPPUNIT_TEST(statements_are_sent_into_allowed_regions_only);
  CPPUNIT_TEST(groups_are_divided_anew_only_by_what_counts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    auto& runtime = world_->start_bare({"p1", "10.0.1.1", ZoneName("s1")});
    view_ = std::make_unique<FleetView>(runtime, dialer_, settings());
    registry::FleetDelta delta;
    delta.is_full = true;
    delta.revision = 1;
    delta.routes = {route("free", {}), route("northern", {"north"})};
    delta.tenants = {tenant("kea", {}), tenant("tui", {"south"}), tenant("ako", {"north", "south"})};
    delta.proxies = {proxy("p1", "s1"), proxy("p2", "s1"), proxy("p3", "n1"), proxy("p4", "n2"),
                     proxy("p5", "dark")};
    view_->apply(delta);
  }
  void tearDown() override {
    view_.reset();
    world_.reset();
  }

  void route_and_tenant_both_bind() {
    CPPUNIT_ASSERT(allowed("free", "").is_anywhere());
    CPPUNIT_ASSERT(allowed("free", "kea").is_anywhere());
    CPPUNIT_ASSERT(allowed("free", "nobody").is_anywhere());
    CPPUNIT_ASSERT_EQUAL(std::string("south"), allowed("free", "tui").to_string());
    CPPUNIT_ASSERT_EQUAL(std::string("north"), allowed("northern", "").to_string());
    CPPUNIT_ASSERT_EQUAL(std::string("north"), allowed("northern", "kea").to_string());
    CPPUNIT_ASSERT_EQUAL(std::string("north"), allowed("northern", "ako").to_string());
    CPPUNIT_ASSERT(allowed("northern", "tui").is_nowhere());
  }

  void a_changed_document_binds_from_then_on() {
    const auto before = allowed("free", "tui");
    registry::FleetDelta delta;
    delta.revision = 2;
    delta.routes = {route("free", {"north"})};
    delta.tenants = {tenant("tui", {})};
    delta.removed_tenants = {TenantName("ako")};
    view_->apply(delta);
    CPPUNIT_ASSERT_EQUAL(std::string("north"), allowed("free", "tui").to_string());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("what began before", std::string("south"), before.to_string());
    CPPUNIT_ASSERT(!view_->tenants().any_names_regions());
  }

  void statements_are_sent_into_allowed_regions_only() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, view_->others().size());
    const auto to_north = view_->in_regions(view_->others(), allowed("northern", ""));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, to_north.size());
    for (const auto& one : to_north) CPPUNIT_ASSERT(one->zone.value.front() == 'n');
    CPPUNIT_ASSERT_EQUAL(std::string("p2"),
                         names(view_->in_regions(view_->others(), allowed("free", "tui"))));
    CPPUNIT_ASSERT(view_->in_regions(view_->others(), allowed("northern", "tui")).empty());
    // This proxy has the text already, wherever it is.
    const auto self =
        std::make_shared<subset::ProxyView>(subset::ProxyView{NodeName("p1"), ZoneName("s1"), Endpoint{}});
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), names(view_->in_regions({self}, allowed("northern", ""))));
  }

  void groups_are_divided_anew_only_by_what_counts() {
    registry::BackendEntry backend;
    backend.name = BackendName("db-1");
    backend.group = GroupName("group");
    backend.zone = ZoneName("n1");
    backend.slots = 2;
    CPPUNIT_ASSERT_MESSAGE("a new one", is_divided_by(backend));
    CPPUNIT_ASSERT_MESSAGE("as before", !is_divided_by(backend));
    backend.cold_ms = 4000;
    CPPUNIT_ASSERT_MESSAGE("it turned cold", !is_divided_by(backend));
    backend.leaving = true;
    CPPUNIT_ASSERT_MESSAGE("it leaves", !is_divided_by(backend));
    backend.slots = 3;
    CPPUNIT_ASSERT_MESSAGE("more slots", is_divided_by(backend));
    backend.zone = ZoneName("n2");
    CPPUNIT_ASSERT_MESSAGE("another zone", is_divided_by(backend));
    backend.group = GroupName("other");
    CPPUNIT_ASSERT_MESSAGE("another group", is_divided_by(backend));
    registry::FleetDelta delta;
    delta.removed_backends = {BackendName("db-1")};
    CPPUNIT_ASSERT_MESSAGE("it is gone", is_divided_by(delta));
  }

 private:
  /// The views of other proxies are made with each division.
  bool is_divided_by(const registry::FleetDelta& delta) {
    const subset::ProxyPointer before = view_->others().front();
    view_->apply(delta);
    return view_->others().front() != before;
  }
  bool is_divided_by(const registry::BackendEntry& backend) {
    registry::FleetDelta delta;
    delta.backends = {backend};
    return is_divided_by(delta);
  }
  [[nodiscard]] locality::PermittedRegions allowed(const std::string& route_name,
                                                   const std::string& tenant_name) const {
    return view_->allowed_regions(*view_->find_route(DatabaseName(route_name)), TenantName(tenant_name));
  }

  NoDialer dialer_;
  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<FleetView> view_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetViewTest);

}  // namespace cairnhollow::registered::proxy
