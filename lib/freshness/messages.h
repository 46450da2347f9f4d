#ifndef LIB_FRESHNESS_MESSAGES_H_
#define LIB_FRESHNESS_MESSAGES_H_

#include "lib/codec/codec.h"

namespace applestand {

/// States that the sender, a host of the store's region, has applied `version`,
/// has read the store earlier in its incarnation, and failed in its latest
/// read.
struct Attestation {
  ConfigVersion version;
  MSGPACK_DEFINE(version)
};

}  // namespace applestand

#endif  // LIB_FRESHNESS_MESSAGES_H_
