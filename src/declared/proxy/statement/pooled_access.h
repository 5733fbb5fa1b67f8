// BackendAccess by the pools of src/backend: one admission a backend, kept ready for every group in force.
#pragma once

#include <map>
#include <memory>

#include "declared/backend/backend_admission.h"
#include "declared/proxy/domain/serving_state.h"
#include "declared/proxy/statement/backend_access.h"

namespace cairnhollow::declared::proxy {

/// All arguments outlive it, it outlives its leases, and it lives until the process ends.
class PooledBackendAccess : public BackendAccess {
 public:
  PooledBackendAccess(runtime::Runtime& runtime, backend::BackendConnector& connector)
      : runtime_(runtime), connector_(connector) {}

  Awaitable<std::unique_ptr<ConnectionLease>> acquire(BackendTarget target, Priority priority,
                                                      TimePoint deadline,
                                                      backend::WaitCancellation* cancellation,
                                                      Reason& reason) override;
  [[nodiscard]] Duration suggested_retry_after(const BackendName& backend) const override;

  /// Makes the pools of all backends in the view ready, and lets those of others run empty.
  void prepare(const routing::RoutingView& view);
  /// The backend answers again after it did not: its idle connections are opened anew.
  void backend_returned(const BackendName& backend);
  /// Prepares for the view in force every now and then, until stop().
  Awaitable<void> run(const ServingState& serving);
  void stop() { stopping_ = true; }

  /// Of every backend that was used or made ready.
  [[nodiscard]] const std::map<BackendName, std::unique_ptr<backend::BackendAdmission>>& admissions() const {
    return admissions_;
  }

 private:
  backend::BackendAdmission& admission(const BackendName& backend);

  runtime::Runtime& runtime_;
  backend::BackendConnector& connector_;
  std::map<BackendName, std::unique_ptr<backend::BackendAdmission>> admissions_;
  bool stopping_ = false;
};

}  // namespace cairnhollow::declared::proxy
