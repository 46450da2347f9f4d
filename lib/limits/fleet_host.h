#ifndef LIB_LIMITS_FLEET_HOST_H_
#define LIB_LIMITS_FLEET_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "lib/contract_shares/share_manager.h"
#include "lib/limits/account_limiter.h"

namespace applestand {

/// One simulated host of a FleetFixture. Not thread-safe.
struct FleetHost {
  /// A request that arrived at the host.
  struct Request {
    ClientAccountId account;
    /// Called once with the decision. Not called if the host dies or
    /// its entry process restarts before that.
    std::function<void(bool admitted)> done;
  };
  /// A request that waits for a loan.
  struct Waiting {
    Request request;
    TimePoint since;
  };

  /// Runs a task. A frozen host runs it when it is unfrozen, a dead host never.
  void Run(const std::function<void()>& task) {
    if (dead) {
      return;
    }
    if (frozen) {
      deferred.push_back(task);
      return;
    }
    task();
  }

  void Unfreeze() {
    frozen = false;
    for (const auto& task : std::exchange(deferred, {})) {
      Run(task);
    }
  }

  size_t index = 0;
  HostId id;
  /// Added to virtual time to give the time on the host's clock.
  Duration clock_offset{};
  bool frozen = false;
  bool dead = false;
  std::vector<std::function<void()>> deferred;
  std::unique_ptr<ShareManager> share_manager;
  std::unique_ptr<AccountLimiter> limiter;
  ConfigVersion config_version;
  uint64_t control_incarnation = 0;
  uint64_t entry_incarnation = 0;
  std::map<uint64_t, Waiting> waiting;
};

}  // namespace applestand

#endif  // LIB_LIMITS_FLEET_HOST_H_
