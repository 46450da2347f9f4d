#include "lib/fleet/messages.h"

namespace applestand {

namespace {

// A table of the store has a size of a few megabytes at most.
constexpr size_t kMaxUpdateBytes = size_t{64} << 20;

}  // namespace

Deflated Pack(const FleetUpdate& update) {
  return Deflate(Encode(update));
}

std::optional<FleetUpdate> Unpack(const Deflated& packed, Reason& reason) {
  if (packed.uncompressed_size == 0) {
    return FleetUpdate();
  }
  const auto plain = Inflate(packed, kMaxUpdateBytes, reason);
  return plain ? Decode<FleetUpdate>(*plain, reason) : std::nullopt;
}

}  // namespace applestand
