// The on-disk log: a torn tail is truncated; damage to synced bytes is refused with file and offset.
#include "consensus/log_file.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <set>

#include "simulation/world.h"

namespace cairnhollow::consensus {
namespace {

using std::chrono::milliseconds;

constexpr const char* kFile = "raft.log";

LogEntry make_entry(std::uint64_t index) {
  return LogEntry{index, 1, EntryKind::kCommand, fmt::format("entry-{}", index)};
}

std::vector<LogEntry> make_entries(std::uint64_t first, std::uint64_t last) {
  std::vector<LogEntry> entries;
  for (std::uint64_t index = first; index <= last; ++index) entries.push_back(make_entry(index));
  return entries;
}

/// Creates the log and writes batches of three entries. `synced` counts the entries of completed writes.
Awaitable<void> write_batches(LogFile* file, std::uint64_t batches, std::uint64_t* synced) {
  Reason reason;
  const LogBase base;
  std::vector<LogEntry> none;
  bool written = co_await file->rewrite(base, std::move(none), reason);
  for (std::uint64_t batch = 0; batch < batches && written; ++batch) {
    const std::uint64_t first = batch * 3 + 1;
    std::vector<LogEntry> entries = make_entries(first, first + 2);
    written = co_await file->write_from(first, std::move(entries), reason);
    if (written) *synced = first + 2;
  }
}

Awaitable<void> write_cut(LogFile* file, std::uint64_t first, std::vector<LogEntry> entries, bool* done) {
  Reason reason;
  *done = co_await file->write_from(first, std::move(entries), reason);
}

class LogFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogFileTest);
  CPPUNIT_TEST(synced_entries_survive_crashes);
  CPPUNIT_TEST(recovers_from_every_truncation_of_an_unsynced_batch);
  CPPUNIT_TEST(every_damaged_byte_of_synced_entries_is_refused);
  CPPUNIT_TEST(holes_in_an_unsynced_batch_are_a_torn_tail);
  CPPUNIT_TEST(a_damaged_header_is_refused);
  CPPUNIT_TEST(replaced_entries_do_not_reappear);
  CPPUNIT_TEST_SUITE_END();

 public:
  void synced_entries_survive_crashes() {
    std::set<std::uint64_t> lost_tails;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      build(seed);
      std::uint64_t synced = 0;
      runtime().spawn("write", write_batches(file_.get(), 5, &synced));
      world_->run_for(world_->random().between(milliseconds(2), milliseconds(16)));
      world_->kill("server");
      world_->restart("server");
      file_ = std::make_unique<LogFile>(runtime().storage());
      Reason reason;
      const auto log = file_->recover(reason);
      CPPUNIT_ASSERT_MESSAGE(reason.to_string(), log);
      CPPUNIT_ASSERT(log->entries.size() >= synced && log->entries.size() <= synced + 3);
      check(*log);
      lost_tails.insert(log->entries.size() - synced);
    }
    CPPUNIT_ASSERT(lost_tails.size() > 2);  // none, part and all of an unsynced batch survived
  }

  void recovers_from_every_truncation_of_an_unsynced_batch() {
    const std::string synced = content_of(3);
    const std::string whole = content_of(6);
    // Without the last mark, the file may be truncated anywhere after the first batch.
    for (std::size_t size = synced.size(); size < whole.size(); ++size) {
      const auto log = recover(whole.substr(0, size));
      CPPUNIT_ASSERT(log && log->entries.size() >= 3);
      check(*log);
    }
  }

  void every_damaged_byte_of_synced_entries_is_refused() {
    const std::string whole = content_of(6);
    const std::size_t header = header_size();
    std::size_t mark = content_of(3).size();
    mark = mark - entry_end(content_of(3), 3);  // the size of a mark
    for (std::size_t at = header; at < whole.size() - mark; ++at) {
      std::string damaged = whole;
      damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
      const auto log = recover(damaged);
      CPPUNIT_ASSERT_MESSAGE(fmt::format("byte {} of {}", at, whole.size()), !log);
      CPPUNIT_ASSERT(reason_.code == ReasonCode::kCorrupt);
      CPPUNIT_ASSERT_MESSAGE(reason_.detail, reason_.detail.starts_with("raft.log at offset "));
      const std::size_t offset = std::stoul(reason_.detail.substr(std::string("raft.log at offset ").size()));
      CPPUNIT_ASSERT(offset <= at && at < offset + 200);
    }
  }

  void holes_in_an_unsynced_batch_are_a_torn_tail() {
    // Pages may reach the disk out of order: the end of an unsynced batch without its beginning.
    const std::string synced = content_of(3);
    std::string whole = content_of(6);
    whole.resize(entry_end(whole, 6));  // the mark was not written because the sync had not completed
    for (std::size_t at = synced.size(); at < whole.size(); ++at) {
      std::string torn = whole;
      torn[at] = static_cast<char>(torn[at] ^ 0x20);
      const auto log = recover(torn);
      CPPUNIT_ASSERT_MESSAGE(reason_.to_string(), log && log->entries.size() >= 3);
      check(*log);
    }
  }

  void a_damaged_header_is_refused() {
    std::string content = content_of(3);
    content[3] = static_cast<char>(content[3] ^ 1);
    CPPUNIT_ASSERT(!recover(content));
    CPPUNIT_ASSERT(reason_.detail.starts_with("raft.log at offset 0"));
    CPPUNIT_ASSERT(!recover(""));
  }

  void replaced_entries_do_not_reappear() {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      build(seed);
      std::uint64_t synced = 0;
      runtime().spawn("write", write_batches(file_.get(), 3, &synced));
      world_->run_for(milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, synced);
      // Another leader's entries replace 5 to 9; the crash occurs at a random point in between.
      bool done = false;
      std::vector<LogEntry> replacing = {make_entry(5), make_entry(6)};
      for (LogEntry& entry : replacing) entry.term = 2;
      runtime().spawn("cut", write_cut(file_.get(), 5, std::move(replacing), &done));
      world_->run_for(world_->random().between(Duration{0}, milliseconds(6)));
      world_->kill("server");
      world_->restart("server");
      file_ = std::make_unique<LogFile>(runtime().storage());
      const auto log = file_->recover(reason_);
      CPPUNIT_ASSERT_MESSAGE(reason_.to_string(), log);
      check(*log);
      if (done) CPPUNIT_ASSERT_EQUAL(std::size_t{6}, log->entries.size());
      const bool replaced = log->entries.size() > 4 && log->entries[4].term == 2;
      CPPUNIT_ASSERT(replaced || log->entries.size() == 4 || log->entries.size() == 9);
      if (replaced) CPPUNIT_ASSERT(log->entries.size() <= 6);
    }
  }

 private:
  void build(std::uint64_t seed) {
    file_.reset();
    simulation::WorldSettings settings;
    settings.seed = seed;
    world_ = std::make_unique<simulation::World>(settings);
    world_->start_bare({"server", "10.0.0.1", ZoneName("zone")});
    file_ = std::make_unique<LogFile>(runtime().storage());
  }
  simulation::VirtualRuntime& runtime() { return world_->runtime("server"); }

  /// Returns the file after batches of three entries were written and synced.
  std::string content_of(std::uint64_t entries) {
    build(1);
    std::uint64_t synced = 0;
    runtime().spawn("write", write_batches(file_.get(), entries / 3, &synced));
    world_->run_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(entries, synced);
    return world_->disk("server").files.at(kFile)->content;
  }
  std::size_t header_size() { return entry_end(content_of(3), 0); }
  /// Returns the end offset of entry `index`, from the shortest content that contains it.
  std::size_t entry_end(const std::string& content, std::size_t index) {
    for (std::size_t size = 1; size < content.size(); ++size) {
      const auto log = recover(content.substr(0, size));
      if (log && log->entries.size() == index) return size;
    }
    return content.size();
  }

  std::optional<RecoveredLog> recover(std::string content) {
    build(1);
    auto& file = world_->disk("server").files[kFile];
    file = std::make_shared<simulation::DiskFile>(simulation::DiskFile{content, content});
    reason_ = Reason{};
    return file_->recover(reason_);
  }
  static void check(const RecoveredLog& log) {
    for (std::size_t number = 0; number < log.entries.size(); ++number) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{number + 1}, log.entries[number].index);
      CPPUNIT_ASSERT_EQUAL(make_entry(number + 1).payload, log.entries[number].payload);
    }
  }

  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<LogFile> file_;
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogFileTest);

}  // namespace
}  // namespace cairnhollow::consensus
