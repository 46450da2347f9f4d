#ifndef LIB_LOOKUP_MESSAGES_H_
#define LIB_LOOKUP_MESSAGES_H_

#include <string>
#include <vector>

#include "lib/codec/codec.h"

namespace applestand {

/// An entry host that callers may be sent to. Leaving and dead hosts are left
/// out by the sender.
struct EntryHost {
  HostId host;
  RegionId region;
  /// "IP:port" where callers reach it.
  std::string http_address;
  MSGPACK_DEFINE(host, region, http_address)
};

/// The look-up process asks its control process for the live hosts.
struct EntryHostsFetch {
  MSGPACK_DEFINE()
};

struct EntryHostsReply {
  std::vector<EntryHost> hosts;
  MSGPACK_DEFINE(hosts)
};

}  // namespace applestand

#endif  // LIB_LOOKUP_MESSAGES_H_
