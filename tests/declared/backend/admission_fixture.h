// Fixture for admission to one scripted backend, in a simulated world with only the proxy's runtime.
#pragma once

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "declared/backend/backend_admission.h"
#include "simulation/world.h"
#include "tests/declared/backend/scripted_backend.h"

namespace cairnhollow::declared::backend {

/// `CallResult` is the test's record of one call's outcome.
template <class CallResult>
class AdmissionFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    world_ = std::make_unique<simulation::World>(simulation::WorldSettings{});
    world_->start_bare({"proxy", "10.0.0.1", ZoneName("north")});
    script_ = std::make_unique<BackendScript>();
    connector_ = std::make_unique<ScriptedConnector>(runtime(), *script_);
    admission_ = std::make_unique<BackendAdmission>(runtime(), *connector_, BackendName("b"));
    results_.clear();
  }
  void tearDown() override {
    CPPUNIT_ASSERT(world_->faults().empty());
    // Lets coroutines that refer to the admission end before it is destroyed.
    world_->run_for(std::chrono::seconds(20));
    world_.reset();
    admission_.reset();
  }

 protected:
  runtime::Runtime& runtime() { return world_->runtime("proxy"); }
  void set_capacity(const BackendCapacity& capacity) {
    admission_->set_backend(Endpoint{"10.0.0.2", 1}, capacity);
  }

  std::unique_ptr<BackendScript> script_;
  std::unique_ptr<simulation::World> world_;
  std::unique_ptr<ScriptedConnector> connector_;
  std::unique_ptr<BackendAdmission> admission_;
  std::vector<CallResult> results_;
};

}  // namespace cairnhollow::declared::backend
