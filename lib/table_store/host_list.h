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
  /// "IP:port" under which callers reach the host.
  std::string address;
  bool leaving = false;
};

/// The platform's list of live and leaving hosts. It lags: a host may have
/// died or started some time ago. Calls block.
/// Thread safety: implementations may be called from any thread.
class HostList {
 public:
  virtual ~HostList() = default;

  /// The list as the platform shows it now, in order of host ids; nothing,
  /// with the reason, where it was not read.
  [[nodiscard]] virtual std::optional<std::vector<RegisteredHost>> Read(
      Reason& reason) = 0;

  /// Registers or updates a host.
  [[nodiscard]] virtual bool Put(const RegisteredHost& host,
                                 Reason& reason) = 0;

  /// Removes a host.
  [[nodiscard]] virtual bool Remove(const HostId& host, Reason& reason) = 0;
};

/// Measurements that the platform publishes under a name. They lag. Calls
/// block. Thread safety: implementations may be called from any thread.
class Measurements {
 public:
  virtual ~Measurements() = default;

  /// The JSON document last shown under `name`; nothing, with the reason,
  /// where there is none or it was not read.
  [[nodiscard]] virtual std::optional<std::string> Get(const std::string& name,
                                                       Reason& reason) = 0;

  [[nodiscard]] virtual bool Put(const std::string& name,
                                 const std::string& json,
                                 Reason& reason) = 0;
};

}  // namespace applestand

#endif  // LIB_TABLE_STORE_HOST_LIST_H_
