// Format compatibility: the committed fixture bytes stay readable and equal what this build writes.
#include "wire/format.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "declared/config/state_machine.h"
#include "declared/control/follow/change_command.h"
#include "declared/follow/messages.h"
#include "registered/registry/state_machine.h"
#include "simulation/world.h"
#include "tests/wire/format_samples.h"
#include "wire/codec.h"
#include "wire/hello.h"

namespace cairnhollow::wire {
namespace {

const std::string kFixtures = CAIRNHOLLOW_SOURCE_FOLDER "/tests/fixtures/formats/";

std::string from_hex_file(const std::string& path) {
  std::ifstream file(path);
  CPPUNIT_ASSERT_MESSAGE(path, file.is_open());
  std::string digits;
  for (std::string line; std::getline(file, line);) digits += line;
  std::string bytes;
  for (std::size_t at = 0; at + 1 < digits.size(); at += 2) {
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(at, 2), nullptr, 16)));
  }
  return bytes;
}

std::set<std::string> names_in(const std::string& folder) {
  std::set<std::string> names;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".hex") names.insert(entry.path().stem().string());
  }
  return names;
}

/// A message type in two builds; the later one adds a field.
struct ExtendedMessage {
  std::uint32_t old_field = 0;
  std::uint32_t new_field = 5;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(old_field);
    since(archive, kMarkedFormat, new_field, std::uint32_t{5});
  }
};

declared::config::RouteSpec route_of(const declared::config::ChangeRequest& request) {
  for (const auto& change : request.changes) {
    if (const auto* route = std::get_if<declared::config::RouteSpec>(&change.object.spec)) return *route;
  }
  return {};
}

class FormatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FormatTest);
  CPPUNIT_TEST(samples_are_encoded_as_committed);
  CPPUNIT_TEST(committed_bytes_round_trip);
  CPPUNIT_TEST(records_without_replica_wait_are_read_with_its_default);
  CPPUNIT_TEST(snapshots_without_departed_members_are_read_as_unknown);
  CPPUNIT_TEST(snapshots_without_promotions_are_read_as_none);
  CPPUNIT_TEST(updates_are_written_as_an_earlier_build_reads_them);
  CPPUNIT_TEST(resend_is_recognized_from_an_earlier_builds_snapshot);
  CPPUNIT_TEST(an_added_field_is_written_from_its_format_on);
  CPPUNIT_TEST(a_newer_format_is_refused_by_its_number);
  CPPUNIT_TEST_SUITE_END();

 public:
  void samples_are_encoded_as_committed() {
    std::set<std::string> names;
    for (const auto& sample : tests::format_samples()) {
      names.insert(sample.name);
      const bool same = from_hex_file(kFixtures + sample.name + ".hex") == sample.bytes;
      CPPUNIT_ASSERT_MESSAGE(sample.name + ": the format has changed; see docs/design/formats.md", same);
    }
    CPPUNIT_ASSERT(names == names_in(kFixtures));
  }

  void committed_bytes_round_trip() {
    for (const auto& sample : tests::format_samples()) {
      Reason reason;
      const auto again = sample.round_trip(from_hex_file(kFixtures + sample.name + ".hex"), reason);
      CPPUNIT_ASSERT_MESSAGE(sample.name + ": " + reason.to_string(), again == sample.bytes);
    }
  }

  void records_without_replica_wait_are_read_with_its_default() {
    const std::string folder = kFixtures + "before_replica_wait/";
    const auto names = names_in(folder);
    for (const auto& sample : tests::format_samples()) {
      if (!names.contains(sample.name)) continue;
      Reason reason;
      const auto again = sample.round_trip(from_hex_file(folder + sample.name + ".hex"), reason);
      CPPUNIT_ASSERT_MESSAGE(sample.name + ": " + reason.to_string(), again);
    }
    Reason reason;
    auto request =
        decode<declared::config::ChangeRequest>(from_hex_file(folder + "change_request.hex"), reason);
    CPPUNIT_ASSERT_MESSAGE(reason.to_string(), request);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, request->changes.size());
    const auto route = route_of(*request);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4000}, route.max_staleness_milliseconds);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, route.replica_wait_milliseconds);
    // At feature level 1 this build writes what an earlier build can read, and refuses changes that would
    // lose fields.
    const auto command = declared::control::encode_change(*request, kEarliestFormat, reason);
    CPPUNIT_ASSERT(command == from_hex_file(folder + "change_request.hex"));
    std::get<declared::config::RouteSpec>(request->changes[3].object.spec).replica_wait_milliseconds = 7;
    CPPUNIT_ASSERT(!declared::control::encode_change(*request, kEarliestFormat, reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kUnsupported);
    CPPUNIT_ASSERT(declared::control::encode_change(*request, kReplicaWaitFormat, reason));
  }

  /// An earlier build did not record departures, so one is assumed in each group that had a primary.
  void snapshots_without_departed_members_are_read_as_unknown() {
    const std::string folder = kFixtures + "before_departed_members/";
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, names_in(folder).size());
    for (const std::string& name : names_in(folder)) {
      simulation::World world({});
      registered::registry::FleetStateMachine machine(world.start_bare({"node", "10.0.0.1", ZoneName("a")}));
      Reason reason;
      CPPUNIT_ASSERT_MESSAGE(name + ": " + reason.to_string(),
                             machine.restore_snapshot(from_hex_file(folder + name + ".hex"), reason));
      const auto& departed = machine.departed().of(GroupName("group-1"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1}, departed.size());
      CPPUNIT_ASSERT(departed[0].has_ended && departed[0].led_term == 0);
      registered::registry::FleetStateMachine restored(
          world.start_bare({"other", "10.0.0.2", ZoneName("a")}));
      CPPUNIT_ASSERT(restored.restore_snapshot(machine.take_snapshot(), reason));
      CPPUNIT_ASSERT_MESSAGE(name, restored.departed() == machine.departed());
    }
  }

  /// An earlier build's state replaces the attempts that were recorded before.
  void snapshots_without_promotions_are_read_as_none() {
    simulation::World world({});
    registered::registry::FleetStateMachine machine(world.start_bare({"node", "10.0.0.1", ZoneName("a")}));
    const auto restore = [&](const std::string& name) {
      Reason reason;
      CPPUNIT_ASSERT_MESSAGE(name,
                             machine.restore_snapshot(from_hex_file(kFixtures + name + ".hex"), reason));
    };
    for (const char* name : {"registry_snapshot", "before_departed_members/registry_snapshot"}) {
      restore("registry_snapshot_with_promotions");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, machine.unsettled_promotions().size());
      restore(name);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0}, machine.unsettled_promotions().size());
    }
  }

  /// Updates to proxies of an earlier build, at feature level 1.
  void updates_are_written_as_an_earlier_build_reads_them() {
    for (const char* name : {"follow_update_changes", "follow_update_snapshot"}) {
      const auto earlier = from_hex_file(kFixtures + "before_replica_wait/" + name + ".hex");
      Reason reason;
      auto update = decode<declared::follow::FollowUpdate>(earlier, reason);
      CPPUNIT_ASSERT_MESSAGE(reason.to_string(), update);
      CPPUNIT_ASSERT(encode_from(*update, kEarliestFormat) == earlier);
    }
  }

  void resend_is_recognized_from_an_earlier_builds_snapshot() {
    declared::config::StateMachine machine;
    Reason reason;
    const std::string snapshot = from_hex_file(kFixtures + "before_replica_wait/state_machine_snapshot.hex");
    CPPUNIT_ASSERT_MESSAGE(reason.to_string(), machine.restore_snapshot(snapshot, reason));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, machine.revision());
    CPPUNIT_ASSERT(machine.take_snapshot(kEarliestFormat) == snapshot);
    declared::config::ChangeRequest request{"change-1", 0, "alice", {}};
    for (const char* name : {"backend-1", "route-1"}) {
      const auto kind =
          name[0] == 'b' ? declared::config::ObjectKind::kBackend : declared::config::ObjectKind::kRoute;
      request.changes.push_back({machine.find({kind, name})->object, false, 0});
    }
    CPPUNIT_ASSERT(machine.apply(request).accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, machine.revision());
    // A non-default wait makes it a different change, which an earlier build cannot have received.
    std::get<declared::config::RouteSpec>(request.changes.back().object.spec).replica_wait_milliseconds = 7;
    CPPUNIT_ASSERT(machine.apply(request).reason.code == ReasonCode::kAlreadyExists);
  }

  void an_added_field_is_written_from_its_format_on() {
    const ExtendedMessage extended{1, 9};
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, encode(extended).size());
    CPPUNIT_ASSERT(!fits_format(extended, kWrittenFormat));
    CPPUNIT_ASSERT(fits_format(ExtendedMessage{1, 5}, kWrittenFormat));
    Reason reason;
    CPPUNIT_ASSERT_EQUAL(5U, decode<ExtendedMessage>(encode(extended), reason)->new_field);
    CPPUNIT_ASSERT_EQUAL(9U, decode<ExtendedMessage>(encode(extended, kMarkedFormat), reason)->new_field);
  }

  void a_newer_format_is_refused_by_its_number() {
    const std::string bytes = encode(ExtendedMessage{}, kNewestFormat + 4);
    Reason reason;
    CPPUNIT_ASSERT(!decode<ExtendedMessage>(bytes, reason));
    CPPUNIT_ASSERT(reason.code == ReasonCode::kUnsupported);
    CPPUNIT_ASSERT_EQUAL(
        fmt::format("written in format {}, and this build reads formats up to {}: run the newer "
                    "build",
                    kNewestFormat + 4, kNewestFormat),
        reason.detail);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormatTest);

}  // namespace
}  // namespace cairnhollow::wire
