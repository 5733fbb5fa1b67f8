// Ends attempts that wait for an answer of a primary once it is known to be replaced: a dead machine does not
// answer, and what its successor knows of the request is what counts.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>

#include "base/types.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::proxy {

/// The attempts under way at the groups' primaries. `runtime` outlives it, and it lives as long as the proxy.
class PrimaryAttempts {
 public:
  explicit PrimaryAttempts(runtime::Runtime& runtime) : runtime_(runtime) {}

  /// The group has a primary of `term`. Attempts of lower terms are ended after kReplacedPrimaryGrace: until
  /// then a living primary says itself that it did not run them.
  void replaced(const GroupName& group, std::uint64_t term);

 private:
  friend class PrimaryWatch;
  struct Attempt {
    std::uint64_t term = 0;
    std::function<void()> end;  ///< empty once it has ended
  };
  using Attempts = std::list<std::shared_ptr<Attempt>>;

  Awaitable<void> end_attempts(GroupName group, std::uint64_t term);

  runtime::Runtime& runtime_;
  std::map<GroupName, Attempts> attempts_;  ///< as many groups as this proxy has written to
};

/// One attempt at the primary of a term, for as long as it lives.
class PrimaryWatch {
 public:
  /// `end` is called, once at most, when a primary of a higher term becomes known from now on. It does not
  /// resume the attempt at once, but has its wait end.
  PrimaryWatch(PrimaryAttempts& attempts, const GroupName& group, std::uint64_t term,
               std::function<void()> end);
  ~PrimaryWatch();
  PrimaryWatch(const PrimaryWatch&) = delete;
  PrimaryWatch& operator=(const PrimaryWatch&) = delete;

 private:
  PrimaryAttempts::Attempts& of_group_;
  std::shared_ptr<PrimaryAttempts::Attempt> attempt_;
  PrimaryAttempts::Attempts::iterator place_;
};

}  // namespace cairnhollow::declared::proxy
