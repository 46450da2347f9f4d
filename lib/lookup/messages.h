#ifndef LIB_LOOKUP_MESSAGES_H_
#define LIB_LOOKUP_MESSAGES_H_

#include <string>
#include <vector>

#include "lib/codec/codec.h"

namespace applestand {

/// An entry host that callers may be directed to. The sender omits hosts that
/// are leaving or dead.
struct EntryHost {
  HostId host;
  RegionId region;
  /// "IP:port" where callers reach it.
  std::string http_address;
  MSGPACK_DEFINE(host, region, http_address)
};

/// Sent by the lookup process to its control process to request the live hosts.
struct EntryHostsFetch {
  MSGPACK_DEFINE()
};

/// The reply to EntryHostsFetch.
struct EntryHostsReply {
  std::vector<EntryHost> hosts;
  MSGPACK_DEFINE(hosts)
};

}  // namespace applestand

#endif  // LIB_LOOKUP_MESSAGES_H_
