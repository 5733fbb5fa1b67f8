// Verifies that a control node acknowledges requests of operators and backends only while it can guarantee
// the result.
#include "registered/control/registration_service.h"

#include <cppunit/extensions/HelperMacros.h>

#include "registered/control/voter_keeper.h"
#include "tests/registered/control/control_stand.h"

namespace cairnhollow::registered::control {

using std::chrono::seconds;

class RegistrationGuardsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistrationGuardsTest);
  CPPUNIT_TEST(reads_document_only_with_quorum);
  CPPUNIT_TEST(acknowledges_old_document_only_with_quorum);
  CPPUNIT_TEST(acknowledges_nothing_before_all_voters_joined);
  CPPUNIT_TEST(refuses_backend_when_another_answers_at_its_address);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    stand_ = std::make_unique<ControlStand>();
    voters_ = std::make_unique<VoterKeeper>(stand_->runtime(), stand_->consensus(), stand_->directory(), 1);
    service_ = std::make_unique<RegistrationService>(stand_->runtime(), stand_->consensus(), stand_->fleet(),
                                                     stand_->calls(), *voters_, stand_->prober());
  }
  void tearDown() override { stand_.reset(); }

  void reads_document_only_with_quorum() {
    CPPUNIT_ASSERT(read() == "first");
    stand_->consensus().has_quorum = false;
    CPPUNIT_ASSERT(!read());
  }

  void acknowledges_old_document_only_with_quorum() {
    stand_->run_for(seconds(10));
    CPPUNIT_ASSERT(replace(1));
    stand_->consensus().has_quorum = false;
    CPPUNIT_ASSERT(!replace(1));
  }

  void acknowledges_nothing_before_all_voters_joined() {
    CPPUNIT_ASSERT(!replace(1));
    CPPUNIT_ASSERT(!replace(2));
    stand_->run_for(seconds(10));
    CPPUNIT_ASSERT(replace(2));
  }

  void refuses_backend_when_another_answers_at_its_address() {
    const registry::BackendEntry former = ControlStand::entry("former", 9001);
    stand_->answering_at[former.endpoint] = "primary";
    CPPUNIT_ASSERT(!register_backend(former));
    CPPUNIT_ASSERT(stand_->fleet().find_backend(BackendName("primary")) != nullptr);
    stand_->answering_at[former.endpoint] = "former";
    CPPUNIT_ASSERT(register_backend(former));
    CPPUNIT_ASSERT(stand_->fleet().find_backend(BackendName("primary")) == nullptr);
  }

 private:
  std::optional<std::string> read() {
    const auto task = [](RegistrationService& service, std::optional<std::string>& text) -> Awaitable<void> {
      Reason reason;
      text = co_await service.read_document(reason);
    };
    std::optional<std::string> text;
    CPPUNIT_ASSERT(stand_->finish(task(*service_, text)));
    return text;
  }

  bool replace(std::uint64_t version) {
    const auto task = [](RegistrationService& service, std::uint64_t number, bool& done) -> Awaitable<void> {
      Reason reason;
      registry::ConfigurationDocument document;
      document.version = number;
      document.text = "another";
      done = co_await service.replace_document(std::move(document), reason);
    };
    bool done = false;
    CPPUNIT_ASSERT(stand_->finish(task(*service_, version, done)));
    return done;
  }

  bool register_backend(const registry::BackendEntry& entry) {
    const auto task = [](RegistrationService& service, registry::BackendEntry wanted,
                         bool& done) -> Awaitable<void> {
      Reason reason;
      const auto registration = co_await service.register_backend(std::move(wanted), reason);
      done = registration.has_value();
    };
    bool done = false;
    CPPUNIT_ASSERT(stand_->finish(task(*service_, entry, done)));
    return done;
  }

  std::unique_ptr<ControlStand> stand_;
  std::unique_ptr<VoterKeeper> voters_;
  std::unique_ptr<RegistrationService> service_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistrationGuardsTest);

}  // namespace cairnhollow::registered::control
