// Storage in a real folder, including writes that the system cuts short.
#include "runtime/asio/posix_storage.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "tests/support/loopback.h"

namespace cairnhollow::runtime {

using tests::Loopback;

namespace {

/// Limits the size of this process's files to `bytes` while it exists, so that writes end short as on a full
/// disk.
class FileSizeLimit {
 public:
  explicit FileSizeLimit(rlim_t bytes) : earlier_handler_(std::signal(SIGXFSZ, SIG_IGN)) {
    ::getrlimit(RLIMIT_FSIZE, &earlier_);
    rlimit limit = earlier_;
    limit.rlim_cur = bytes;
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FileSizeLimit() {
    ::setrlimit(RLIMIT_FSIZE, &earlier_);
    std::signal(SIGXFSZ, earlier_handler_);
  }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;

 private:
  rlimit earlier_{};
  void (*earlier_handler_)(int);
};

}  // namespace

class PosixStorageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PosixStorageTest);
  CPPUNIT_TEST(appended_bytes_are_read_back_after_reopening);
  CPPUNIT_TEST(truncate_removes_the_end);
  CPPUNIT_TEST(partial_write_is_rolled_back);
  CPPUNIT_TEST(an_atomic_write_replaces_the_whole_file);
  CPPUNIT_TEST(failed_atomic_write_keeps_the_old_file);
  CPPUNIT_TEST(left_over_temporary_files_are_removed);
  CPPUNIT_TEST(a_removed_file_is_not_found);
  CPPUNIT_TEST(folder_is_locked_by_one_process);
  CPPUNIT_TEST(names_outside_the_folder_are_refused);
  CPPUNIT_TEST(without_a_folder_everything_is_refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::string pattern = (std::filesystem::temp_directory_path() / "cairnhollow-test-XXXXXX").string();
    CPPUNIT_ASSERT(::mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
    open_folder();
  }
  void tearDown() override {
    loopback_.reset();
    std::filesystem::remove_all(folder_);
  }

  void appended_bytes_are_read_back_after_reopening() {
    loopback_->run(append_and_sync("log", "kia "));
    open_folder();
    loopback_->run(append_and_sync("log", "ora"));
    CPPUNIT_ASSERT_EQUAL(std::string("kia ora"), content_of("log"));
  }

  void truncate_removes_the_end() {
    const auto file = storage().open("log", reason_);
    CPPUNIT_ASSERT(file->append("kia ora", reason_));
    CPPUNIT_ASSERT(file->truncate(3, reason_));
    CPPUNIT_ASSERT(file->append("!", reason_));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, file->size());
    CPPUNIT_ASSERT_EQUAL(std::string("kia!"), content_of("log"));
  }

  void partial_write_is_rolled_back() {
    const auto file = storage().open("log", reason_);
    CPPUNIT_ASSERT(file->append("whole;", reason_));
    {
      const FileSizeLimit limit(10);
      CPPUNIT_ASSERT(!file->append("longer than the limit", reason_));
    }
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kStorage);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, file->size());
    CPPUNIT_ASSERT_EQUAL(std::string("whole;"), content_of("log"));
    CPPUNIT_ASSERT(file->append("next;", reason_));
    CPPUNIT_ASSERT_EQUAL(std::string("whole;next;"), content_of("log"));
  }

  void an_atomic_write_replaces_the_whole_file() {
    loopback_->run(write("meta", "a longer first version"));
    loopback_->run(write("meta", "second"));
    CPPUNIT_ASSERT(written_);
    CPPUNIT_ASSERT_EQUAL(std::string("second"), content_of("meta"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, storage().list().size());
  }

  void failed_atomic_write_keeps_the_old_file() {
    loopback_->run(write("meta", "first"));
    {
      const FileSizeLimit limit(10);
      loopback_->run(write("meta", "longer than the limit"));
    }
    CPPUNIT_ASSERT(!written_);
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kStorage);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), content_of("meta"));
    CPPUNIT_ASSERT(!std::filesystem::exists(folder_ + "/meta.tmp"));
  }

  void left_over_temporary_files_are_removed() {
    std::ofstream(folder_ + "/meta.tmp") << "half of";
    open_folder();
    CPPUNIT_ASSERT(storage().list().empty());
    CPPUNIT_ASSERT(!std::filesystem::exists(folder_ + "/meta.tmp"));
  }

  void a_removed_file_is_not_found() {
    loopback_->run(write("meta", "first"));
    loopback_->run(remove("meta"));
    CPPUNIT_ASSERT(removed_);
    CPPUNIT_ASSERT(!storage().read("meta", reason_));
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kNotFound);
  }

  void folder_is_locked_by_one_process() {
    PosixStorage second(loopback_->context().get_executor(), folder_);
    CPPUNIT_ASSERT(!second.open("log", reason_));
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kStorage);
    CPPUNIT_ASSERT(reason_.detail.find("in use by another process") != std::string::npos);
  }

  void names_outside_the_folder_are_refused() {
    for (const char* name : {"", ".", "..", "../log", "a/b", "log.tmp"}) {
      CPPUNIT_ASSERT_MESSAGE(name, !storage().open(name, reason_));
      CPPUNIT_ASSERT(reason_.code == ReasonCode::kInvalidArgument);
    }
  }

  void without_a_folder_everything_is_refused() {
    Loopback loopback;
    CPPUNIT_ASSERT(!loopback.runtime().storage().open("log", reason_));
    CPPUNIT_ASSERT(reason_.code == ReasonCode::kStorage);
  }

 private:
  Storage& storage() { return loopback_->runtime().storage(); }

  /// Reopens the folder as a restarted process would.
  void open_folder() {
    loopback_.reset();
    host::AsioRuntimeSettings settings;
    settings.data_folder = folder_;
    loopback_ = std::make_unique<Loopback>(settings);
  }

  std::string content_of(const std::string& name) {
    const auto content = storage().read(name, reason_);
    CPPUNIT_ASSERT_MESSAGE(reason_.to_string(), content.has_value());
    return *content;
  }

  Awaitable<void> append_and_sync(std::string name, std::string bytes) {
    const auto file = storage().open(name, reason_);
    CPPUNIT_ASSERT_MESSAGE(reason_.to_string(), file != nullptr);
    CPPUNIT_ASSERT(file->append(bytes, reason_));
    const bool synced = co_await file->sync(reason_);
    CPPUNIT_ASSERT_MESSAGE(reason_.to_string(), synced);
  }

  Awaitable<void> write(std::string name, std::string content) {
    written_ = co_await storage().write_atomically(name, std::move(content), reason_);
  }

  Awaitable<void> remove(std::string name) { removed_ = co_await storage().remove(name, reason_); }

  std::string folder_;
  std::unique_ptr<Loopback> loopback_;
  bool written_ = false;
  bool removed_ = false;
  Reason reason_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PosixStorageTest);

}  // namespace cairnhollow::runtime
