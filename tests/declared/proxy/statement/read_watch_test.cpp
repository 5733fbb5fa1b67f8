// Tests which reads are ended because their backend has stopped answering.
#include "declared/proxy/statement/read_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include "declared/proxy/knobs.h"
#include "simulation/world.h"
#include "tests/declared/backend/scripted_backend.h"

namespace cairnhollow::declared::proxy {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kBackend = 3;

class ReadWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadWatchTest);
  CPPUNIT_TEST(test_waits_for_a_slow_read_at_an_unprobed_backend);
  CPPUNIT_TEST(test_ends_reads_when_a_probe_stays_unanswered);
  CPPUNIT_TEST(test_answers_to_other_statements_keep_a_read_open);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    world_->start_bare({"proxy", "10.0.0.1", ZoneName("north")});
    connection_ = std::make_unique<backend::ScriptedConnection>(runtime(), script_);
    watch_ = std::make_unique<ReadWatch>(runtime(), load_);
  }
  void tearDown() override {
    CPPUNIT_ASSERT(world_->faults().empty());
    // Runs the watch's coroutine to completion before the watch is destroyed.
    world_->run_for(milliseconds(100));
    watch_.reset();
    connection_.reset();
    world_.reset();
  }

  /// With many groups a backend may not be probed before a slow read is answered.
  void test_waits_for_a_slow_read_at_an_unprobed_backend() {
    const ReadWatch::WatchedRead watched(*watch_, kBackend, *connection_);
    world_->run_for(milliseconds(900));
    CPPUNIT_ASSERT(connection_->is_open());
  }

  void test_ends_reads_when_a_probe_stays_unanswered() {
    const ReadWatch::WatchedRead watched(*watch_, kBackend, *connection_);
    world_->run_for(milliseconds(400));
    load_.probe_began(kBackend, runtime().now());
    world_->run_for(kReadSilenceLimit - kReadWatchInterval);
    CPPUNIT_ASSERT(connection_->is_open());
    world_->run_for(3 * kReadWatchInterval);
    CPPUNIT_ASSERT(!connection_->is_open());
  }

  void test_answers_to_other_statements_keep_a_read_open() {
    const ReadWatch::WatchedRead watched(*watch_, kBackend, *connection_);
    load_.probe_began(kBackend, runtime().now());
    for (int answer = 0; answer < 10; ++answer) {
      world_->run_for(kReadSilenceLimit / 2);
      load_.reached(kBackend);
    }
    CPPUNIT_ASSERT(connection_->is_open());
  }

 private:
  runtime::Runtime& runtime() { return world_->runtime("proxy"); }

  std::unique_ptr<simulation::World> world_;
  backend::BackendScript script_;
  routing::BackendLoadTable load_;
  std::unique_ptr<backend::ScriptedConnection> connection_;
  std::unique_ptr<ReadWatch> watch_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadWatchTest);

}  // namespace
}  // namespace cairnhollow::declared::proxy
