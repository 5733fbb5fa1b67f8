// What a read must see, depending on its route, its session's latest commit and the known positions of the
// primary.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "registered/proxy/group/group_access.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using registry::ReadPolicy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class NoDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

/// The primary showed `index` as the end of its log, `age` ago.
struct ShownPosition {
  Duration age;
  std::uint64_t index;
};

struct Row {
  std::string name;
  ReadPolicy reads = ReadPolicy::kBoundedStaleness;
  std::vector<ShownPosition> shown;
  std::uint64_t committed = 0;  ///< by the session, 100 ms ago; 0: none
  bool open = true;
  /// Expected position; 0: only the primary may serve the read.
  std::uint64_t required = 0;
  Duration since{0};  ///< expected time since the primary had it
};

constexpr Duration kStaleness = milliseconds(900);

}  // namespace

class ReadNeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadNeedTest);
  CPPUNIT_TEST(depends_on_policy_and_positions);
  CPPUNIT_TEST(new_term_discards_positions);
  CPPUNIT_TEST(query_is_due_when_position_ages);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    world_->run_for(seconds(5));
  }
  void tearDown() override {
    group_.reset();
    world_.reset();
  }

  void depends_on_policy_and_positions() {
    const std::vector<ShownPosition> young{{milliseconds(950), 10}, {milliseconds(400), 12}};
    const std::vector<ShownPosition> old{{milliseconds(880), 10}, {milliseconds(460), 12}};
    const std::vector<Row> rows{
        {"a route that reads at the primary", ReadPolicy::kPrimary, young, 0, true, 0, {}},
        {"no position is known", ReadPolicy::kBoundedStaleness, {}, 0, true, 0, {}},
        {"the earliest position that covers the bound", ReadPolicy::kBoundedStaleness, young, 0, true, 12,
         milliseconds(400)},
        {"bounded staleness ignores the session's commit", ReadPolicy::kBoundedStaleness, young, 20, true, 12,
         milliseconds(400)},
        {"read your writes: nothing committed", ReadPolicy::kReadYourWrites, young, 0, true, 12,
         milliseconds(400)},
        {"read your writes: committed before", ReadPolicy::kReadYourWrites, young, 11, true, 12,
         milliseconds(400)},
        {"read your writes: committed since", ReadPolicy::kReadYourWrites, young, 13, true, 13,
         milliseconds(100)},
        {"older than half of the bound: refreshed at the primary",
         ReadPolicy::kBoundedStaleness,
         old,
         0,
         true,
         0,
         {}},
        {"without a primary: an older position serves", ReadPolicy::kBoundedStaleness, old, 0, false, 10,
         milliseconds(880)},
        {"without a primary: the position is too old",
         ReadPolicy::kBoundedStaleness,
         {{milliseconds(901), 10}},
         0,
         false,
         0,
         {}},
        {"first seen earlier than the entry that covers the bound",
         ReadPolicy::kBoundedStaleness,
         {{milliseconds(950), 12}, {milliseconds(300), 12}},
         0,
         true,
         12,
         milliseconds(950)},
    };
    for (const Row& row : rows) check(row);
  }

  void new_term_discards_positions() {
    start(true);
    group_->positions.record(runtime_->now(), {1, 7});
    CPPUNIT_ASSERT(!need(ReadPolicy::kBoundedStaleness, {}).primary_only);
    set_term(1, false);
    CPPUNIT_ASSERT_MESSAGE("the same term is closed", !need(ReadPolicy::kBoundedStaleness, {}).primary_only);
    set_term(2, true);
    CPPUNIT_ASSERT(need(ReadPolicy::kBoundedStaleness, {}).primary_only);
    CPPUNIT_ASSERT(!group_->positions.highest_shown());
  }

  void query_is_due_when_position_ages() {
    start(true);
    CPPUNIT_ASSERT_MESSAGE("no bounded-staleness read yet", !is_position_due());
    need(ReadPolicy::kBoundedStaleness, {});
    CPPUNIT_ASSERT_MESSAGE("no position is known", is_position_due());
    group_->positions.record(runtime_->now(), {1, 7});
    world_->run_for(milliseconds(300));
    CPPUNIT_ASSERT_MESSAGE("exactly a third of the bound", !is_position_due());
    world_->run_for(milliseconds(1));
    CPPUNIT_ASSERT(is_position_due());
    set_term(1, false);
    CPPUNIT_ASSERT_MESSAGE("no open primary to query", !is_position_due());
    set_term(1, true);
    world_->run_for(seconds(1));
    CPPUNIT_ASSERT_MESSAGE("no recent bounded-staleness reads", !is_position_due());
  }

 private:
  void start(bool open) {
    group_ = std::make_unique<GroupAccess>(*runtime_, dialer_, GroupName("group"), ZoneName("a"),
                                           std::make_shared<EvacuatedZones>(seconds(5)));
    registry::BackendEntry primary;
    primary.name = BackendName("primary");
    primary.group = GroupName("group");
    primary.zone = ZoneName("a");
    group_->put_backend(primary);
    set_term(1, open);
  }
  void set_term(std::uint64_t term, bool open) {
    group_->set_term({GroupName("group"), term, BackendName("primary"), open, ++epoch_, 1});
  }
  ReadNeed need(ReadPolicy reads, const SessionCommit& committed) {
    registry::RouteRule route;
    route.reads = reads;
    route.max_staleness_ms = static_cast<std::uint64_t>(kStaleness / milliseconds(1));
    return group_->need_of(route, committed);
  }
  [[nodiscard]] bool is_position_due() const {
    return group_->term().open && group_->positions.is_query_due();
  }
  void check(const Row& row) {
    start(row.open);
    const TimePoint now = runtime_->now();
    for (const ShownPosition& shown : row.shown) group_->positions.record(now - shown.age, {1, shown.index});
    SessionCommit committed;
    if (row.committed > 0) committed = {Position{1, row.committed}, now - milliseconds(100)};
    const ReadNeed needed = need(row.reads, committed);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.required == 0, needed.primary_only);
    if (needed.primary_only) return;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.required, needed.required.value_or(Position{}).index);
    CPPUNIT_ASSERT_MESSAGE(row.name, needed.required_since == now - row.since);
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::unique_ptr<GroupAccess> group_;
  std::uint64_t epoch_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadNeedTest);

}  // namespace cairnhollow::registered::proxy
