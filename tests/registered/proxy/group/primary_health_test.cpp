// When a primary counts as silent or unusable, and when its commits count as stalled.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "registered/proxy/group/group_access.h"
#include "simulation/world.h"

namespace cairnhollow::registered::proxy {

using std::chrono::milliseconds;

namespace {

class NoDialer : public BackendDialer {
 public:
  Awaitable<std::shared_ptr<BackendLink>> open(BackendAddress /*address*/, TimePoint /*deadline*/,
                                               std::optional<Refusal>& /*refusal*/,
                                               Reason& /*reason*/) override {
    co_return nullptr;
  }
};

class ClosableLink : public BackendLink {
 public:
  Awaitable<std::optional<Answer>> run(BackendRequest /*request*/, TimePoint /*deadline*/,
                                       runtime::SendState& /*sent*/, Reason& /*reason*/) override {
    co_return std::nullopt;
  }
  std::optional<BackendStatus> read_status(const Answer& /*answer*/, Reason& /*reason*/) override {
    return std::nullopt;
  }
  void close() override { open_ = false; }
  [[nodiscard]] bool is_open() const override { return open_; }
  [[nodiscard]] std::string peer() const override { return "peer"; }

 private:
  bool open_ = true;
};

/// A statement that was sent `age` ago and has no answer.
struct Sent {
  Duration age;
  bool commits;
};

}  // namespace

class PrimaryHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrimaryHealthTest);
  CPPUNIT_TEST(detects_silence);
  CPPUNIT_TEST(detects_stalled_commits);
  CPPUNIT_TEST(stall_ends_with_answer_or_epoch);
  CPPUNIT_TEST(dropping_all_statements_is_unusable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    runtime_ = &world_->start_bare({"proxy", "10.0.0.1", ZoneName("a")});
    world_->run_for(milliseconds(1000));
    start();
  }
  void tearDown() override {
    group_.reset();
    world_.reset();
  }

  void detects_silence() {
    struct Row {
      std::string name;
      std::vector<Sent> sent;
      bool silent;
      bool commits_only;
    };
    const std::vector<Row> rows{
        {"no pending work", {}, false, true},
        {"a read below the threshold", {{milliseconds(299), false}}, false, true},
        {"a read at the threshold", {{milliseconds(300), false}}, true, false},
        {"a commit at the threshold", {{milliseconds(300), true}}, true, true},
        {"a silent commit and a recent read",
         {{milliseconds(300), true}, {milliseconds(1), false}},
         true,
         true},
        {"a silent commit and a silent read",
         {{milliseconds(300), true}, {milliseconds(301), false}},
         true,
         false},
    };
    for (const Row& row : rows) {
      start();
      for (const Sent& sent : row.sent) send(sent);
      bool commits_only = false;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.silent,
                                   group_->primary_health.is_silent(runtime_->now(), commits_only));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.commits_only, commits_only);
    }
  }

  void detects_stalled_commits() {
    struct Row {
      std::string name;
      std::vector<Sent> sent;
      Duration answered_age;  ///< time since the answered commit was sent; 0: none
      bool refuses;
    };
    const std::vector<Row> rows{
        {"no pending work", {}, {}, false},
        {"a read does not count", {{milliseconds(500), false}}, {}, false},
        {"a commit at the threshold", {{milliseconds(200), true}}, {}, false},
        {"a commit above the threshold", {{milliseconds(201), true}}, {}, true},
        {"a later commit was answered", {{milliseconds(500), true}}, milliseconds(400), false},
        {"only an earlier commit was answered", {{milliseconds(500), true}}, milliseconds(600), true},
    };
    for (const Row& row : rows) {
      start();
      if (row.answered_age > Duration(0))
        group_->primary_health.record_commit_answered(runtime_->now() - row.answered_age);
      for (const Sent& sent : row.sent) send(sent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.refuses, group_->primary_health.refuses_commits());
    }
  }

  void stall_ends_with_answer_or_epoch() {
    const auto first = send({milliseconds(300), true});
    CPPUNIT_ASSERT(group_->primary_health.refuses_commits());
    group_->primary_health.remove_pending(first);
    CPPUNIT_ASSERT_MESSAGE("one commit is sent to detect the end of the stall",
                           !group_->primary_health.refuses_commits());
    send({milliseconds(0), true});
    CPPUNIT_ASSERT_MESSAGE("only one commit at a time", group_->primary_health.refuses_commits());
    group_->primary_health.record_commit_answered(runtime_->now());
    CPPUNIT_ASSERT(!group_->primary_health.refuses_commits());
    const auto link = std::make_shared<ClosableLink>();
    group_->primary_health.add_pending({link, runtime_->now() - milliseconds(300), true});
    group_->set_term({GroupName("group"), 1, BackendName("primary"), false, 2, 1});
    CPPUNIT_ASSERT_MESSAGE("pending work fails at once", !link->is_open());
  }

  void dropping_all_statements_is_unusable() {
    CPPUNIT_ASSERT(!group_->primary_health.record_dropped_statement());
    world_->run_for(milliseconds(200));
    CPPUNIT_ASSERT_MESSAGE("two dropped statements are too few",
                           !group_->primary_health.record_dropped_statement());
    CPPUNIT_ASSERT_MESSAGE("three statements dropped over 200 ms",
                           group_->primary_health.record_dropped_statement());
    group_->primary_health.record_answered();
    for (int statement = 0; statement < 5; ++statement)
      CPPUNIT_ASSERT(!group_->primary_health.record_dropped_statement());
    world_->run_for(milliseconds(200));
    group_->set_term({GroupName("group"), 1, BackendName("primary"), true, 1, 1});
    CPPUNIT_ASSERT_MESSAGE("a new term resets the count", !group_->primary_health.record_dropped_statement());
  }

 private:
  void start() {
    group_ = std::make_unique<GroupAccess>(*runtime_, dialer_, GroupName("group"), ZoneName("a"),
                                           std::make_shared<EvacuatedZones>(std::chrono::seconds(5)));
    group_->set_term({GroupName("group"), 1, BackendName("primary"), true, 1, 1});
  }
  std::uint64_t send(const Sent& sent) {
    return group_->primary_health.add_pending(
        {std::make_shared<ClosableLink>(), runtime_->now() - sent.age, sent.commits});
  }

  std::unique_ptr<simulation::World> world_;
  runtime::Runtime* runtime_ = nullptr;
  NoDialer dialer_;
  std::unique_ptr<GroupAccess> group_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryHealthTest);

}  // namespace cairnhollow::registered::proxy
