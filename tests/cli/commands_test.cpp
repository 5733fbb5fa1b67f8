// The operator's commands against control nodes, over the operator API.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include "tests/cli/operator_fleet.h"

namespace cairnhollow::cli {

namespace {

const char* const kBackend = R"(kind: Backend
metadata:
  name: orders-a
  labels: {service: orders, zone: kelburn}
spec:
  zone: kelburn
  endpoint: 10.0.2.1:5000
)";

const char* const kMovedBackend = R"(kind: Backend
metadata:
  name: orders-a
  labels: {service: orders, zone: petone}
spec:
  zone: petone
  endpoint: 10.0.2.1:5000
)";

const char* const kTwoBackends = R"(kind: Backend
metadata: {name: orders-a, labels: {service: orders, zone: kelburn}}
spec: {zone: kelburn, endpoint: "10.0.2.1:5000"}
---
kind: Backend
metadata: {name: orders-b, labels: {service: orders, zone: petone}}
spec: {zone: petone, endpoint: "10.0.2.2:5000"}
)";

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

class CommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandsTest);
  CPPUNIT_TEST(apply_creates_configures_and_leaves_unchanged);
  CPPUNIT_TEST(label_and_get_by_selector);
  CPPUNIT_TEST(drain_and_undo);
  CPPUNIT_TEST(evacuate_a_zone_and_end_it);
  CPPUNIT_TEST(delete_by_name);
  CPPUNIT_TEST(delete_by_manifest);
  CPPUNIT_TEST(of_two_operators_on_one_version_exactly_one_wins);
  CPPUNIT_TEST(conflict_shows_the_winner_and_the_difference);
  CPPUNIT_TEST(faults_of_manifests_are_shown_and_nothing_is_sent);
  CPPUNIT_TEST(faults_found_by_the_configuration_are_shown);
  CPPUNIT_TEST(diff_shows_what_apply_would_change);
  CPPUNIT_TEST(documents_stand_alone_on_the_output);
  CPPUNIT_TEST(what_get_writes_applies_unchanged);
  CPPUNIT_TEST(examples_apply);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { fleet_ = std::make_unique<OperatorFleet>(); }
  void tearDown() override { fleet_.reset(); }

  void apply_creates_configures_and_leaves_unchanged() {
    const auto created = fleet_->run_with_manifest("apply", kBackend);
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/orders-a created\nrevision 1\n"), created.output);
    CPPUNIT_ASSERT(created.code == ExitCode::kDone);
    const auto configured = fleet_->run_with_manifest("apply", kMovedBackend);
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/orders-a configured\nrevision 2\n"), configured.output);
    const auto unchanged = fleet_->run_with_manifest("apply", kMovedBackend);
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/orders-a unchanged\n"), unchanged.output);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_->log.commands.size());
  }

  void label_and_get_by_selector() {
    fleet_->run_with_manifest("apply", kTwoBackends);
    const auto labelled = fleet_->run({"label", "backend", "orders-b", "tier=spare", "service-"});
    CPPUNIT_ASSERT_EQUAL(std::string(), labelled.errors);
    CPPUNIT_ASSERT(labelled.code == ExitCode::kDone);
    const auto selected = fleet_->run({"get", "backends", "-l", "tier=spare,!service"});
    CPPUNIT_ASSERT(contains(selected.output, "orders-b"));
    CPPUNIT_ASSERT(!contains(selected.output, "orders-a"));
    CPPUNIT_ASSERT(contains(selected.output, "tier=spare,zone=petone"));
  }

  void drain_and_undo() {
    fleet_->run_with_manifest("apply", kTwoBackends);
    CPPUNIT_ASSERT(fleet_->run({"drain", "backend", "-l", "zone=petone"}).code == ExitCode::kDone);
    CPPUNIT_ASSERT(contains(fleet_->run({"get", "backend", "orders-b", "-o", "yaml"}).output, "drain: true"));
    CPPUNIT_ASSERT(
        !contains(fleet_->run({"get", "backend", "orders-a", "-o", "yaml"}).output, "drain: true"));
    CPPUNIT_ASSERT(fleet_->run({"drain", "backend", "orders-b", "--undo"}).code == ExitCode::kDone);
    CPPUNIT_ASSERT(
        !contains(fleet_->run({"get", "backend", "orders-b", "-o", "yaml"}).output, "drain: true"));
  }

  void evacuate_a_zone_and_end_it() {
    fleet_->run_with_manifest("apply", kTwoBackends);
    CPPUNIT_ASSERT(fleet_->run({"evacuate", "petone"}).code == ExitCode::kDone);
    CPPUNIT_ASSERT(contains(fleet_->run({"get", "backend", "orders-b", "-o", "yaml"}).output, "drain: true"));
    CPPUNIT_ASSERT(
        !contains(fleet_->run({"get", "backend", "orders-a", "-o", "yaml"}).output, "drain: true"));
    CPPUNIT_ASSERT(fleet_->run({"evacuate", "petone", "--end"}).code == ExitCode::kDone);
    CPPUNIT_ASSERT(
        !contains(fleet_->run({"get", "backend", "orders-b", "-o", "yaml"}).output, "drain: true"));
  }

  void delete_by_name() {
    fleet_->run_with_manifest("apply", kTwoBackends);
    const auto deleted = fleet_->run({"delete", "backend", "orders-a"});
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/orders-a deleted\nrevision 2\n"), deleted.output);
    const auto missing = fleet_->run({"get", "backend", "orders-a"});
    CPPUNIT_ASSERT(missing.code == ExitCode::kRefused);
    CPPUNIT_ASSERT(contains(missing.errors, "there is no orders-a"));
  }

  void delete_by_manifest() {
    fleet_->run_with_manifest("apply", kTwoBackends);
    CPPUNIT_ASSERT(fleet_->run_with_manifest("delete", kBackend).code == ExitCode::kDone);
    const auto again = fleet_->run_with_manifest("delete", kTwoBackends);
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/orders-b deleted\nBackend/orders-a unchanged\nrevision 3\n"),
                         again.output);
  }

  void of_two_operators_on_one_version_exactly_one_wins() {
    fleet_->run_with_manifest("apply", kBackend);
    const auto results = fleet_->run_together({{{"label", "backend", "orders-a", "tier=x"}, "aroha"},
                                               {{"label", "backend", "orders-a", "tier=y"}, "tama"}});
    const bool first_won = results[0].code == ExitCode::kDone;
    const auto& winner = results[first_won ? 0 : 1];
    const auto& loser = results[first_won ? 1 : 0];
    CPPUNIT_ASSERT(winner.code == ExitCode::kDone);
    CPPUNIT_ASSERT(loser.code == ExitCode::kConflict);
    CPPUNIT_ASSERT_MESSAGE(loser.errors, contains(loser.errors, first_won ? "aroha" : "tama"));
    CPPUNIT_ASSERT(contains(loser.errors, first_won ? "-     tier: x" : "-     tier: \"y\""));
    const auto now = fleet_->run({"get", "backend", "orders-a"});
    CPPUNIT_ASSERT(contains(now.output, first_won ? "tier=x" : "tier=y"));
  }

  void conflict_shows_the_winner_and_the_difference() {
    fleet_->run_with_manifest("apply", kBackend);
    const std::string read = fleet_->run({"get", "backend", "orders-a", "-o", "yaml"}).output;
    fleet_->run_with_manifest("apply", kMovedBackend, {}, "tama");
    const auto conflict = fleet_->run_with_manifest("apply", read);
    CPPUNIT_ASSERT(conflict.code == ExitCode::kConflict);
    CPPUNIT_ASSERT_MESSAGE(conflict.errors,
                           contains(conflict.errors, "Backend/orders-a is at version 2, written by tama"));
    CPPUNIT_ASSERT(contains(conflict.errors, "-   zone: petone\n+   zone: kelburn\n"));
    CPPUNIT_ASSERT(contains(conflict.errors, "nothing was changed"));
    CPPUNIT_ASSERT(contains(fleet_->run({"get", "backend", "orders-a"}).output, "petone"));
  }

  void faults_of_manifests_are_shown_and_nothing_is_sent() {
    const auto refused = fleet_->run_with_manifest("apply", std::string(kBackend) + "  colour: red\n");
    CPPUNIT_ASSERT(refused.code == ExitCode::kRefused);
    CPPUNIT_ASSERT_MESSAGE(refused.errors, contains(refused.errors, ":8: spec.colour: unknown key"));
    CPPUNIT_ASSERT(fleet_->run({"apply", "-f", "/nowhere/at/all.yaml"}).code == ExitCode::kRefused);
    CPPUNIT_ASSERT(fleet_->run_with_manifest("apply", "# nothing\n").code == ExitCode::kRefused);
    CPPUNIT_ASSERT(fleet_->log.commands.empty());
  }

  void faults_found_by_the_configuration_are_shown() {
    const auto refused =
        fleet_->run_with_manifest("apply", std::string(kTwoBackends) +
                                               "---\nkind: Proxy\nmetadata: {name: p}\n"
                                               "spec: {zone: kelburn, endpoint: '10.0.2.2:5000'}\n");
    CPPUNIT_ASSERT(refused.code == ExitCode::kRefused);
    CPPUNIT_ASSERT_MESSAGE(
        refused.errors, contains(refused.errors, "10.0.2.2:5000 is also the endpoint of Backend/orders-b"));
    CPPUNIT_ASSERT(contains(fleet_->run({"get", "all", "-o", "json"}).output, "[]"));
  }

  void diff_shows_what_apply_would_change() {
    const auto all_new = fleet_->run_with_manifest("diff", kBackend);
    CPPUNIT_ASSERT(all_new.code == ExitCode::kDifferent);
    CPPUNIT_ASSERT(contains(all_new.output, "+ kind: Backend"));
    fleet_->run_with_manifest("apply", kBackend);
    CPPUNIT_ASSERT(fleet_->run_with_manifest("diff", kBackend).code == ExitCode::kDone);
    const auto moved = fleet_->run_with_manifest("diff", kMovedBackend);
    CPPUNIT_ASSERT(contains(moved.output, "-   zone: kelburn\n+   zone: petone\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_->log.commands.size());
  }

  void documents_stand_alone_on_the_output() {
    const auto applied = fleet_->run_with_manifest("apply", kBackend, {"-o", "json", "--wait"});
    CPPUNIT_ASSERT_EQUAL(std::string("{\"accepted\":true,\"revision\":1}\n"), applied.output);
    CPPUNIT_ASSERT(contains(applied.errors, "revision 1 is in force on every proxy that may serve"));
    const auto same = fleet_->run_with_manifest("diff", kBackend, {"-o", "json"});
    CPPUNIT_ASSERT_EQUAL(std::string("[]\n"), same.output);
    const auto moved = fleet_->run_with_manifest("diff", kMovedBackend, {"-o", "json"});
    CPPUNIT_ASSERT(moved.code == ExitCode::kDifferent);
    CPPUNIT_ASSERT(contains(moved.output, R"("change":"configured","before":{"kind":"Backend")"));
    CPPUNIT_ASSERT(contains(moved.output, R"("zone":"petone")"));
  }

  void what_get_writes_applies_unchanged() {
    fleet_->run_with_manifest("apply", kTwoBackends);
    const auto all = fleet_->run({"get", "all", "-o", "yaml"});
    const auto again = fleet_->run_with_manifest("apply", all.output);
    CPPUNIT_ASSERT_EQUAL(std::string("Backend/orders-a unchanged\nBackend/orders-b unchanged\n"),
                         again.output);
  }

  void examples_apply() {
    for (const char* example : {"study-card", "scooter-fleet"}) {
      fleet_ = std::make_unique<OperatorFleet>();
      const std::string folder = fmt::format("{}/examples/{}/manifests", CAIRNHOLLOW_SOURCE_FOLDER, example);
      const auto applied = fleet_->run({"apply", "-f", folder});
      CPPUNIT_ASSERT_MESSAGE(applied.errors, applied.code == ExitCode::kDone);
      CPPUNIT_ASSERT(contains(applied.output, "DatabaseGroup/"));
      CPPUNIT_ASSERT(fleet_->run({"diff", "-f", folder}).code == ExitCode::kDone);
    }
  }

 private:
  std::unique_ptr<OperatorFleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

}  // namespace cairnhollow::cli
