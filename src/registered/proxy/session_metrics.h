// Metrics of a proxy's sessions: counters, gauges and latency histograms.
#pragma once

#include <array>
#include <map>
#include <string>

#include "registered/placement/rejection_reason.h"
#include "registered/protocol/statement.h"
#include "registered/proxy/links/statement_gate.h"
#include "registered/registry/registration_fault.h"
#include "runtime/metrics.h"

namespace cairnhollow::registered::proxy {

/// Where a statement was served.
enum class ServedBy : std::uint8_t { kProxy, kPrimary, kReplica };

/// The result of a request to begin a tenant's operation or to send a statement to a cold backend.
enum class AdmissionOutcome : std::uint8_t {
  kAdmitted,
  kOverLimit,
  kNotAuthorized,  ///< quota owners answered, but none may grant tokens at present
  kNoOwnerReached  ///< no quota owner answered in time
};
inline constexpr std::size_t kAdmissionOutcomes =
    static_cast<std::size_t>(AdmissionOutcome::kNoOwnerReached) + 1;
/// Stable lower-case name for logs and metrics, e.g. "over_limit".
const char* admission_outcome_name(AdmissionOutcome outcome);

/// Metric label of all tenants without a label of their own.
inline constexpr const char* kOtherTenantsLabel = "others";

class SessionMetrics {
 public:
  SessionMetrics();

  void count_served(ServedBy by, Duration took);
  void count_refused(Refusal refusal);
  void count_retry(Refusal refusal) { retries_[static_cast<std::size_t>(refusal)]->Increment(); }
  void count_forwarded(placement::ForwardCause cause) {
    forwarded_[static_cast<std::size_t>(cause)]->Increment();
  }
  /// Counts a refused statement or an ended transaction.
  void count_unplaced(placement::RejectionReason rejection) {
    unplaced_[static_cast<std::size_t>(rejection)]->Increment();
  }
  void count_token_request() { token_requests_.Increment(); }
  /// Counts a tenant's request to begin an operation. `label`: the tenant's name, or kOtherTenantsLabel.
  void count_admission(const std::string& label, AdmissionOutcome outcome);
  void count_registration_refused(registry::RegistrationFault fault) {
    registrations_refused_[static_cast<std::size_t>(fault)]->Increment();
  }
  /// Counts a transaction aborted because its backend's zone is evacuated.
  void count_evacuated_transaction() { evacuated_transactions_.Increment(); }
  void set_evacuated_zones(std::size_t zones) { evacuated_zones_.Set(static_cast<double>(zones)); }
  /// Counts a request to send a statement to a cold backend.
  void count_cold_statement(AdmissionOutcome outcome) {
    cold_statements_[static_cast<std::size_t>(outcome)]->Increment();
  }
  /// Records what a backend's gate decided for a statement.
  void record_gate(const scheduling::SlotRequest& request, const GateOutcome& outcome);
  /// Sets the statements that run and wait at the gates of all backends.
  void set_gates(std::size_t running, std::size_t waiting) {
    gate_running_.Set(static_cast<double>(running));
    gate_waiting_.Set(static_cast<double>(waiting));
  }
  /// `link_load`: used part of the machine's link. `refused_classes`: counted from the lowest.
  void set_overload(double link_load, double refused_classes) {
    link_load_.Set(link_load);
    refused_classes_.Set(refused_classes);
  }
  void count_lost_answer() { lost_answers_.Increment(); }
  /// What this proxy has at the backends that it owns, over all of them.
  struct OwnedBackends {
    std::size_t count = 0;
    std::size_t capacity = 0;  ///< statements that may run at once
    std::size_t running = 0;
    std::size_t waiting = 0;
  };
  void set_owned_backends(const OwnedBackends& owned);
  void set_sessions(std::size_t sessions) { sessions_.Set(static_cast<double>(sessions)); }
  void set_member_leases(std::size_t groups) { member_leases_.Set(static_cast<double>(groups)); }
  void set_lease(bool valid) { lease_valid_.Set(valid ? 1 : 0); }
  [[nodiscard]] std::string render() const { return metrics_.render(); }

 private:
  void register_gate_metrics();

  runtime::Metrics metrics_;
  std::array<prometheus::Counter*, 3> served_{};
  std::array<prometheus::Histogram*, 3> latency_{};
  std::array<prometheus::Counter*, kRefusalCount> refused_{};
  std::array<prometheus::Counter*, kRefusalCount> retries_{};
  std::array<prometheus::Counter*, placement::kForwardCauseCount> forwarded_{};
  std::array<prometheus::Counter*, placement::kRejectionReasonCount> unplaced_{};
  std::array<prometheus::Counter*, registry::kRegistrationFaults> registrations_refused_{};
  std::map<std::pair<std::string, AdmissionOutcome>, prometheus::Counter*>
      admissions_;  ///< by tenant label and outcome
  std::array<prometheus::Counter*, kAdmissionOutcomes> cold_statements_{};
  std::array<prometheus::Histogram*, scheduling::kDemandClasses> gate_wait_{};
  std::array<std::array<prometheus::Counter*, kGateVerdicts>, scheduling::kDemandClasses> gate_refused_{};
  prometheus::Gauge& gate_running_;
  prometheus::Gauge& gate_waiting_;
  prometheus::Gauge& link_load_;
  prometheus::Gauge& refused_classes_;
  prometheus::Counter& lost_answers_;
  prometheus::Counter& token_requests_;
  prometheus::Counter& evacuated_transactions_;
  prometheus::Gauge& evacuated_zones_;
  prometheus::Gauge& sessions_;
  prometheus::Gauge& lease_valid_;
  prometheus::Gauge& member_leases_;
  prometheus::Gauge& owned_backends_;
  prometheus::Gauge& owned_capacity_;
  prometheus::Gauge& owned_running_;
  prometheus::Gauge& owned_waiting_;
};

}  // namespace cairnhollow::registered::proxy
