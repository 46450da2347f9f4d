#ifndef LIB_FRESHNESS_MESSAGES_H_
#define LIB_FRESHNESS_MESSAGES_H_

#include "lib/codec/codec.h"

namespace applestand {

/// Says that the sender, a host of the store's region, holds this version and
/// reached the store earlier in its run, but not at its last try.
struct Vouch {
  ConfigVersion version;
  MSGPACK_DEFINE(version)
};

}  // namespace applestand

#endif  // LIB_FRESHNESS_MESSAGES_H_
