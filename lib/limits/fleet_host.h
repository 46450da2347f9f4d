#ifndef LIB_LIMITS_FLEET_HOST_H_
#define LIB_LIMITS_FLEET_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "lib/limits/account_limiter.h"
#include "lib/seats/seat_manager.h"

namespace applestand {

/// One host of a FleetFixture. Not thread-safe.
struct FleetHost {
  /// One request that came to the host.
  struct Request {
    ClientAccountId account;
    /// Called once with whether the request was admitted.
    std::function<void(bool admitted)> done;
  };
  struct Waiting {
    Request request;
    TimePoint since;
  };

  /// Runs a task; later if the host is frozen, never if it is dead.
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
  /// Difference of the host's clock to true time.
  Duration skew{};
  bool frozen = false;
  bool dead = false;
  std::vector<std::function<void()>> deferred;
  std::unique_ptr<SeatManager> seats;
  std::unique_ptr<AccountLimiter> limiter;
  ConfigVersion config_version;
  uint64_t control_run = 0;
  uint64_t entry_run = 0;
  std::map<uint64_t, Waiting> waiting;
};

}  // namespace applestand

#endif  // LIB_LIMITS_FLEET_HOST_H_
