#ifndef LIB_USAGE_USAGE_KEYS_H_
#define LIB_USAGE_USAGE_KEYS_H_

#include <string>

#include "lib/base/ids.h"

namespace applestand {

/// Prefix of all usage rows of `account`. Ids are escaped, so that no two
/// accounts share a prefix. Thread-safe.
std::string UsagePrefix(const ClientAccountId& account);

/// Key of the row of one run of a host. Thread-safe.
std::string UsageKey(const ClientAccountId& account,
                     const HostId& host,
                     Incarnation incarnation);

}  // namespace applestand

#endif  // LIB_USAGE_USAGE_KEYS_H_
