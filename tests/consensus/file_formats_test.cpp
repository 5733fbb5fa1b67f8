// Recovery of control node files: damaged files are recovered or refused with file and offset; files of a
// newer build are refused and left unchanged.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "consensus/log_file.h"
#include "consensus/metadata_file.h"
#include "consensus/record.h"
#include "consensus/snapshot_file.h"
#include "simulation/world.h"

namespace cairnhollow::consensus {
namespace {

constexpr wire::Format kLaterFormat = wire::kNewestFormat + 1;
constexpr std::size_t kEntries = 6;

LogEntry make_entry(std::uint64_t index) {
  return LogEntry{index, 1, EntryKind::kCommand, fmt::format("entry-{}", index)};
}

std::string make_log() {
  std::string content = make_record(wire::encode(LogBase{}), 0);
  for (std::uint64_t index = 1; index <= kEntries; ++index) {
    content += make_record(wire::encode(make_entry(index)), content.size());
  }
  return content + make_record("", content.size());
}

std::string any_damage(const std::string& content) {
  std::string damaged = content;
  for (auto steps = *rc::gen::inRange(1, 4); steps > 0; --steps) {
    const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size() + 1);
    const auto from = *rc::gen::inRange<std::size_t>(0, content.size() + 1);
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        damaged.resize(at);
        break;
      case 1:  // move part of the file to a different offset
        damaged = damaged.substr(0, at) + content.substr(from);
        break;
      default:
        if (at < damaged.size())
          damaged[at] = static_cast<char>(damaged[at] ^ (1 << *rc::gen::inRange(0, 8)));
    }
  }
  return damaged;
}

class FileFormatsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FileFormatsTest);
  CPPUNIT_TEST(any_damaged_log_is_recovered_or_refused);
  CPPUNIT_TEST(any_damaged_snapshot_is_refused);
  CPPUNIT_TEST(any_damaged_metadata_is_refused);
  CPPUNIT_TEST(a_log_of_a_newer_build_is_refused_and_kept);
  CPPUNIT_TEST(a_snapshot_of_a_newer_build_is_refused_and_kept);
  CPPUNIT_TEST(metadata_of_a_newer_build_is_refused_and_kept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void any_damaged_log_is_recovered_or_refused() {
    const std::string whole = make_log();
    CPPUNIT_ASSERT(recover_log(whole) && recover_log(whole)->entries.size() == kEntries);
    CPPUNIT_ASSERT(rc::check("any damaged log is recovered or refused", [&] {
      const auto log = recover_log(any_damage(whole));
      if (!log) {
        RC_ASSERT(reason_.code == ReasonCode::kCorrupt);
        RC_ASSERT(reason_.detail.starts_with("raft.log at offset "));
        return;
      }
      RC_ASSERT(log->entries.size() <= kEntries);
      for (std::size_t number = 0; number < log->entries.size(); ++number) {
        RC_ASSERT(log->entries[number].payload == make_entry(number + 1).payload);
      }
    }));
  }

  void any_damaged_snapshot_is_refused() {
    const Snapshot snapshot{{7, 2}, {}, "state"};
    const std::string whole = SnapshotFile::encode(snapshot);
    CPPUNIT_ASSERT(rc::check("any damaged snapshot is refused", [&] {
      const std::string damaged = any_damage(whole);
      RC_PRE(!damaged.starts_with(whole));
      RC_ASSERT(!read_snapshot(damaged));
      RC_ASSERT(reason_.code == ReasonCode::kCorrupt);
      RC_ASSERT(reason_.detail.starts_with("raft.snapshot at offset 0"));
    }));
  }

  void any_damaged_metadata_is_refused() {
    const std::string whole = make_record(wire::encode(Metadata{"identity", 5, NodeName("control-1")}), 0);
    CPPUNIT_ASSERT(rc::check("any damaged metadata is refused", [&] {
      const std::string damaged = any_damage(whole);
      RC_PRE(!damaged.starts_with(whole));
      RC_ASSERT(!recover_metadata(damaged));
      RC_ASSERT(reason_.code == ReasonCode::kCorrupt);
      RC_ASSERT(reason_.detail.starts_with("raft.metadata at offset 0"));
    }));
  }

  void a_log_of_a_newer_build_is_refused_and_kept() {
    const std::string before =
        make_record(wire::encode(LogBase{}), 0) + make_record(wire::encode(make_entry(1)), 0);
    LogEntry command = make_entry(2);
    command.payload = wire::encode(make_entry(2), kLaterFormat);
    // Either the command alone or the whole entry is in the later format.
    for (const auto& payload : {wire::encode(command), wire::encode(make_entry(2), kLaterFormat)}) {
      const std::string content = before + make_record(payload, before.size());
      CPPUNIT_ASSERT(!recover_log(content));
      assert_newer(fmt::format("raft.log at offset {}: written in format {}", before.size(), kLaterFormat));
      CPPUNIT_ASSERT(content_of("raft.log") == content);
    }
    CPPUNIT_ASSERT(!recover_log(make_record(wire::encode(LogBase{}, kLaterFormat), 0)));
    assert_newer(fmt::format("raft.log at offset 0: written in format {}", kLaterFormat));
  }

  void a_snapshot_of_a_newer_build_is_refused_and_kept() {
    const std::string content = make_record(wire::encode(Snapshot{}, kLaterFormat), 0);
    CPPUNIT_ASSERT(!read_snapshot(content));
    assert_newer(fmt::format("raft.snapshot at offset 0: written in format {}", kLaterFormat));
    CPPUNIT_ASSERT(content_of("raft.snapshot") == content);
  }

  void metadata_of_a_newer_build_is_refused_and_kept() {
    const std::string content = make_record(wire::encode(Metadata{}, kLaterFormat), 0);
    CPPUNIT_ASSERT(!recover_metadata(content));
    assert_newer(fmt::format("raft.metadata at offset 0: written in format {}", kLaterFormat));
    CPPUNIT_ASSERT(content_of("raft.metadata") == content);
  }

 private:
  void put(const std::string& name, const std::string& content) {
    file_.reset();
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    world_->start_bare({"server", "10.0.0.1", ZoneName("zone")});
    world_->disk("server").files[name] =
        std::make_shared<simulation::DiskFile>(simulation::DiskFile{content, content});
    reason_ = Reason{};
  }
  runtime::Runtime& runtime() { return world_->runtime("server"); }
  std::string content_of(const std::string& name) { return world_->disk("server").files.at(name)->content; }

  std::optional<RecoveredLog> recover_log(const std::string& content) {
    put("raft.log", content);
    file_ = std::make_unique<LogFile>(runtime().storage());
    return file_->recover(reason_);
  }
  std::optional<Snapshot> read_snapshot(const std::string& content) {
    put("raft.snapshot", content);
    return SnapshotFile(runtime().storage()).read(reason_);
  }
  bool recover_metadata(const std::string& content) {
    put("raft.metadata", content);
    return MetadataFile(runtime()).recover(reason_);
  }
  void assert_newer(const std::string& start) const {
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kUnsupported);
    CPPUNIT_ASSERT_MESSAGE(reason_.detail, reason_.detail.starts_with(start));
    CPPUNIT_ASSERT(reason_.detail.ends_with(
        fmt::format("reads formats up to {}: run the newer build", wire::kNewestFormat)));
  }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<LogFile> file_;
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FileFormatsTest);

}  // namespace
}  // namespace cairnhollow::consensus
