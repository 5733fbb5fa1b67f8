// Tests a proxy with two domains: "north" owns database "decks", "south" owns "maps". Both declare objects
// with the same names.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "declared/routing/session_token.h"
#include "http/problem.h"
#include "tests/declared/proxy/calls/call_assertions.h"
#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {
namespace {

using standins::callers::CallAnswer;
using standins::callers::CallOutcome;
using standins::callers::StatementKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kNorthControl{"10.0.3.1", 8000};
const Endpoint kSouthControl{"10.0.3.2", 8000};
constexpr const char* kSouthDatabase = "maps";
constexpr Duration kPastLeaseExpiry = seconds(3);

void follow_both(ProxySettings& proxy) {
  proxy.control_endpoints.clear();
  proxy.domains = {{DomainName("north"), {kNorthControl}, {DatabaseName(ProxyWorld::key().database)}},
                   {DomainName("south"), {kSouthControl}, {DatabaseName(kSouthDatabase)}}};
}

ProxyWorldSettings two_domains() {
  ProxyWorldSettings settings;
  settings.adjust_proxy = follow_both;
  return settings;
}

class ProxyDomainsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyDomainsTest);
  CPPUNIT_TEST(a_domain_with_an_expired_lease_is_refused_and_the_other_served);
  CPPUNIT_TEST(a_domain_not_yet_reached_keeps_its_databases);
  CPPUNIT_TEST(a_transaction_ends_with_its_own_domain_only);
  CPPUNIT_TEST(objects_of_the_same_name_in_two_domains_are_distinct);
  CPPUNIT_TEST(a_database_that_no_domain_owns_is_refused);
  CPPUNIT_TEST(a_proxy_of_another_domain_forwards);
  CPPUNIT_TEST(a_proxy_drained_by_its_own_domain_forwards_nothing);
  CPPUNIT_TEST(diagnostics_distinguish_the_domains);
  CPPUNIT_TEST_SUITE_END();

 public:
  void a_domain_with_an_expired_lease_is_refused_and_the_other_served() {
    ProxyWorld deployment(two_domains());
    auto& south = start_south(deployment);
    auto& caller = deployment.add_caller(0);
    assert_done(write_south(deployment, caller));
    assert_done(deployment.write(caller, "one"));
    south.set_answering(false);
    deployment.world().run_for(kPastLeaseExpiry);
    assert_lease_expired_at_once(deployment, caller);
    assert_done(deployment.write(caller, "two"));
    assert_done(deployment.read(caller));
    south.set_answering(true);
    deployment.world().run_for(kPastLeaseExpiry);
    assert_done(write_south(deployment, caller));
    // The reverse case, in which north's lease expires.
    deployment.control().set_answering(false);
    deployment.world().run_for(kPastLeaseExpiry);
    assert_refused(deployment.write(caller, "three"), CallOutcome::kNotRun, ReasonCode::kLeaseExpired);
    assert_done(write_south(deployment, caller));
  }

  void a_domain_not_yet_reached_keeps_its_databases() {
    ProxyWorld deployment(two_domains());
    auto& south = start_south(deployment);
    config::RouteSpec anything;
    deployment.control().put({{"anything", LabelSet{}, anything}});
    south.set_answering(false);
    deployment.world().kill(ProxyWorld::proxy(0));
    deployment.world().run_for(seconds(1));
    deployment.world().restart(ProxyWorld::proxy(0));
    deployment.world().run_for(seconds(1));
    auto& caller = deployment.add_caller(0);
    assert_lease_expired_at_once(deployment, caller);
    assert_done(deployment.write(caller, "one"));
  }

  void a_transaction_ends_with_its_own_domain_only() {
    ProxyWorld deployment(two_domains());
    auto& south = start_south(deployment);
    auto& of_south = deployment.add_caller(0);
    auto& of_north = deployment.add_caller(0);
    auto begin = deployment.next_request(of_south, StatementKind::kWrite, "");
    begin.database = kSouthDatabase;
    const auto lapsing = deployment.run(of_south.client.begin(std::move(begin)));
    const auto lasting = deployment.begin(of_north);
    assert_done(lapsing);
    assert_done(lasting);
    south.set_answering(false);
    deployment.world().run_for(kPastLeaseExpiry);
    assert_refused(deployment.execute_in(of_south, lapsing.transaction, "one"), CallOutcome::kNotRun,
                   ReasonCode::kLeaseExpired);
    assert_refused(deployment.commit(of_south, lapsing.transaction), CallOutcome::kNotRun,
                   ReasonCode::kLeaseExpired);
    assert_done(deployment.rollback(of_south, lapsing.transaction));
    assert_done(deployment.execute_in(of_north, lasting.transaction, "two"));
    assert_done(deployment.commit(of_north, lasting.transaction));
  }

  void objects_of_the_same_name_in_two_domains_are_distinct() {
    ProxyWorld deployment(two_domains());
    auto& south = start_south(deployment);
    auto& caller = deployment.add_caller(0);
    assert_done(deployment.write(caller, "one"));
    // South's primary and its position must not affect north's group of the same name.
    south.set_primary(ProxyWorld::group(), 9, BackendName("none"));
    deployment.world().run_for(seconds(1));
    assert_done(deployment.write(caller, "two"));
    const auto read = deployment.read(caller);
    assert_done(read);
    Reason reason;
    const auto token = routing::decode_session_token(read.session_token, reason);
    CPPUNIT_ASSERT(token);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, token->positions.count(GroupName("north/records")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, token->positions.size());
  }

  void a_database_that_no_domain_owns_is_refused() {
    ProxyWorld deployment(two_domains());
    auto& caller = deployment.add_caller(0);
    assert_refused(write_to(deployment, caller, "strays"), CallOutcome::kNotRun, ReasonCode::kNoRoute);
  }

  void a_proxy_of_another_domain_forwards() {
    ProxyWorld deployment(two_domains());
    start_south(deployment, {1});
    auto& caller = deployment.add_caller(0);
    assert_done(write_south(deployment, caller));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         metric(deployment, 0, R"(forwards_total{domain="south",result="answered"})"));
    auto begin = deployment.next_request(caller, StatementKind::kWrite, "");
    begin.database = kSouthDatabase;
    const auto begun = deployment.run(caller.client.begin(std::move(begin)));
    assert_done(begun);
    assert_done(deployment.execute_in(caller, begun.transaction, "inside"));
    assert_done(deployment.commit(caller, begun.transaction));
  }

  void a_proxy_drained_by_its_own_domain_forwards_nothing() {
    ProxyWorld deployment(two_domains());
    start_south(deployment, {1});
    const config::ProxySpec drained{ZoneName("zone-0"), ProxyWorld::proxy_endpoint(0), true};
    deployment.control().put({{ProxyWorld::proxy(0), LabelSet{}, drained}});
    deployment.world().run_for(seconds(1));
    auto& caller = deployment.add_caller(0);
    assert_refused(write_south(deployment, caller), CallOutcome::kNotRun, ReasonCode::kDraining);
  }

  void diagnostics_distinguish_the_domains() {
    ProxyWorld deployment(two_domains());
    auto& south = start_south(deployment);
    south.set_answering(false);
    deployment.world().run_for(kPastLeaseExpiry);
    CPPUNIT_ASSERT_EQUAL(std::string("0"), metric(deployment, 0, R"(lease_valid{domain="south"})"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), metric(deployment, 0, R"(lease_valid{domain="north"})"));
    const auto ready = deployment.get(0, "/readyz");
    CPPUNIT_ASSERT_EQUAL(200U, ready.status);
    assert_contains(ready.body, R"("name":"north","ready":true)");
    assert_contains(ready.body, R"("name":"south","ready":false)");
    const auto expired = deployment.get(0, "/v1/explain?database=maps&partition_key=a&kind=write");
    assert_contains(expired.body, R"("domain":"south")");
    assert_contains(expired.body, R"("code":"lease_expired")");
    const auto valid = deployment.get(0, "/v1/explain?database=decks&partition_key=a&kind=write");
    assert_contains(valid.body, R"("domain":"north")");
    deployment.control().set_answering(false);
    deployment.world().run_for(kPastLeaseExpiry);
    CPPUNIT_ASSERT_EQUAL(503U, deployment.get(0, "/readyz").status);
  }

 private:
  /// Starts south's control node, which declares the same databases and group, and these proxies.
  static ControlStub& start_south(ProxyWorld& deployment,
                                  const std::vector<std::uint32_t>& proxies = {0, 1}) {
    deployment.world().start(
        {"control-south", kSouthControl.address, ZoneName("zone-1")},
        [](runtime::Runtime& runtime) { return std::make_unique<ControlStub>(runtime, kSouthControl); });
    auto& south = dynamic_cast<ControlStub&>(deployment.world().role("control-south"));
    std::vector<config::Object> objects;
    for (std::uint32_t index = 0; index < 3; ++index) {
      const config::BackendSpec spec{ZoneName("zone-" + std::to_string(index)),
                                     ProxyWorld::database_endpoint(index), false};
      objects.push_back({ProxyWorld::database(index), LabelSet{}, spec});
    }
    for (const auto index : proxies) {
      const config::ProxySpec spec{ZoneName("zone-" + std::to_string(index)),
                                   ProxyWorld::proxy_endpoint(index), false};
      objects.push_back({ProxyWorld::proxy(index), LabelSet{}, spec});
    }
    objects.push_back({ProxyWorld::group().value, LabelSet{}, config::DatabaseGroupSpec{}});
    config::RouteSpec route;
    route.statement_selector.match_labels.entries["database"] = kSouthDatabase;
    objects.push_back({"maps", LabelSet{}, route});
    south.put(std::move(objects));
    south.set_primary(ProxyWorld::group(), 1, BackendName(ProxyWorld::database(0)));
    deployment.world().run_for(seconds(1));
    return south;
  }

  static CallAnswer write_to(ProxyWorld& deployment, Caller& caller, const std::string& database) {
    auto key = ProxyWorld::key();
    key.database = database;
    auto request = deployment.next_request(caller, StatementKind::kWrite,
                                           standins::callers::make_append_text(key, "value"));
    request.database = database;
    return deployment.run(caller.client.execute(std::move(request)));
  }
  static CallAnswer write_south(ProxyWorld& deployment, Caller& caller) {
    return write_to(deployment, caller, kSouthDatabase);
  }

  static void assert_lease_expired_at_once(ProxyWorld& deployment, Caller& caller) {
    const TimePoint begun = deployment.world().now();
    const auto refused = write_south(deployment, caller);
    assert_refused(refused, CallOutcome::kNotRun, ReasonCode::kLeaseExpired);
    CPPUNIT_ASSERT(deployment.world().now() - begun < milliseconds(50));
    CPPUNIT_ASSERT(refused.retry_after > Duration(0));
    CPPUNIT_ASSERT(!refused.reason.peer.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("admit_statement"), refused.reason.step);
    assert_contains(refused.reason.detail, "domain south");
  }

  static void assert_contains(const std::string& text, const std::string& part) {
    CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
  }

  /// Value of the metric at that proxy; empty if there is none.
  static std::string metric(ProxyWorld& deployment, std::uint32_t proxy, const std::string& name) {
    const auto text = deployment.get(proxy, "/metrics").body;
    const std::string start = "\ncairnhollow_proxy_" + name + " ";
    const auto place = text.find(start);
    if (place == std::string::npos) return "";
    const auto value = place + start.size();
    return text.substr(value, text.find('\n', value) - value);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyDomainsTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
