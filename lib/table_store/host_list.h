#ifndef LIB_TABLE_STORE_HOST_LIST_H_
#define LIB_TABLE_STORE_HOST_LIST_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/base/ids.h"
#include "lib/base/verdict.h"

namespace applestand {

/// One entry of the platform's host list.
struct RegisteredHost {
  HostId host;
  RegionId region;
  ZoneId zone;
  /// "IP:port" at which other hosts reach this host's control process.
  std::string address;
  bool leaving = false;
};

/// The platform's list of live and leaving hosts. The list may be out of date:
/// a listed host may already have crashed, and a running host may not be listed
/// yet. All calls block.
/// Thread safety: implementations may be called from any thread.
class HostList {
 public:
  virtual ~HostList() = default;

  /// Returns the platform's current list, ordered by host id. Returns
  /// std::nullopt and sets `reason` if the list cannot be read.
  [[nodiscard]] virtual std::optional<std::vector<RegisteredHost>> Read(
      Reason& reason) = 0;

  /// Registers a host or updates its entry. Returns false and sets `reason` on
  /// failure; the update may have taken effect nevertheless.
  [[nodiscard]] virtual bool Put(const RegisteredHost& host,
                                 Reason& reason) = 0;

  /// Removes a host. Returns false and sets `reason` on failure; the removal
  /// may have taken effect nevertheless.
  [[nodiscard]] virtual bool Remove(const HostId& host, Reason& reason) = 0;
};

/// Measurements that the platform publishes, each under a name. They may be out
/// of date. All calls block.
/// Thread safety: implementations may be called from any thread.
class Measurements {
 public:
  virtual ~Measurements() = default;

  /// Returns the latest JSON document published under `name`. Returns
  /// std::nullopt and sets `reason` if there is none or it cannot be read.
  [[nodiscard]] virtual std::optional<std::string> Get(const std::string& name,
                                                       Reason& reason) = 0;

  /// Publishes `json` under `name`. Returns false and sets `reason` on failure;
  /// the update may have taken effect nevertheless.
  [[nodiscard]] virtual bool Put(const std::string& name,
                                 const std::string& json,
                                 Reason& reason) = 0;
};

}  // namespace applestand

#endif  // LIB_TABLE_STORE_HOST_LIST_H_
