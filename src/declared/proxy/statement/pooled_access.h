// Implements BackendAccess with the pools of src/backend: one admission per backend, prepared in advance for
// every group of the current view.
#pragma once

#include <map>
#include <memory>

#include "declared/backend/backend_admission.h"
#include "declared/proxy/domain/serving_state.h"
#include "declared/proxy/statement/backend_access.h"

namespace cairnhollow::declared::proxy {

/// All arguments must outlive this object, which must outlive its leases and lives until the process ends.
class PooledBackendAccess : public BackendAccess {
 public:
  PooledBackendAccess(runtime::Runtime& runtime, backend::BackendConnector& connector)
      : runtime_(runtime), connector_(connector) {}

  Awaitable<std::unique_ptr<ConnectionLease>> acquire(BackendTarget target, Priority priority,
                                                      TimePoint deadline,
                                                      backend::WaitCancellation* cancellation,
                                                      Reason& reason) override;
  [[nodiscard]] Duration suggested_retry_after(const BackendName& backend) const override;

  /// Prepares the pools of all backends in the view, and lets the pools of other backends drain.
  void prepare(const routing::RoutingView& view);
  /// Reopens the idle connections of a backend that answers again after an outage.
  void backend_returned(const BackendName& backend);
  /// Periodically prepares for the current view, until stop().
  Awaitable<void> run(const ServingState& serving);
  void stop() { stopping_ = true; }

  /// The admissions of all backends that were used or prepared.
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
