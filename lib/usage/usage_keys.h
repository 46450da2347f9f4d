#ifndef LIB_USAGE_USAGE_KEYS_H_
#define LIB_USAGE_USAGE_KEYS_H_

#include <string>

#include "lib/base/ids.h"

namespace applestand {

/// Returns the common prefix of the keys of all usage rows of `account`. Ids
/// are escaped, so that the prefix never matches rows of another account.
/// Thread-safe.
std::string UsagePrefix(const ClientAccountId& account);

/// Returns the key of the usage row of `account` for one incarnation of a host.
/// Thread-safe.
std::string UsageKey(const ClientAccountId& account,
                     const HostId& host,
                     Incarnation incarnation);

}  // namespace applestand

#endif  // LIB_USAGE_USAGE_KEYS_H_
