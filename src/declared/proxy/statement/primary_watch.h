// Cancels attempts that wait for a primary's answer once it is known to have been replaced. A failed machine
// does not answer, and only its successor's record of the request is authoritative.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>

#include "base/types.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::proxy {

/// The attempts in flight at the primaries of all groups. `runtime` must outlive this object, which lives as
/// long as the proxy.
class PrimaryAttempts {
 public:
  explicit PrimaryAttempts(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// Reports that the group has a primary of `term`. Attempts of lower terms are cancelled after
  /// kReplacedPrimaryGrace, which lets a replaced primary that is still alive answer that it did not run
  /// them.
  void replaced(const GroupName& group, std::uint64_t term);

 private:
  friend class PrimaryWatch;
  struct Attempt {
    std::uint64_t term = 0;
    std::function<void()> end;  ///< empty once it has been called or the attempt has finished
  };
  using Attempts = std::list<std::shared_ptr<Attempt>>;

  Awaitable<void> end_attempts(GroupName group, std::uint64_t term);

  runtime::Runtime& runtime_;
  std::map<GroupName, Attempts> attempts_;  ///< one entry per group to which this proxy has sent work
};

/// Registers one attempt at the primary of a term for the lifetime of this object.
class PrimaryWatch {
 public:
  /// `end` is called at most once, if a primary of a higher term is reported during the lifetime of this
  /// object. It must end the attempt's wait without resuming the attempt synchronously.
  PrimaryWatch(PrimaryAttempts& attempts, const GroupName& group, std::uint64_t term,
               std::function<void()> end);
  ~PrimaryWatch();
  PrimaryWatch(const PrimaryWatch&) = delete;
  PrimaryWatch& operator=(const PrimaryWatch&) = delete;

 private:
  PrimaryAttempts::Attempts& group_attempts_;
  std::shared_ptr<PrimaryAttempts::Attempt> attempt_;
  PrimaryAttempts::Attempts::iterator place_;
};

}  // namespace cairnhollow::declared::proxy
