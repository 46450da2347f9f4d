#include "lib/fleet/messages.h"

namespace applestand {

namespace {

// A table of the store takes some megabytes at most.
constexpr size_t kMaxNewsBytes = size_t{64} << 20;

}  // namespace

Deflated Pack(const FleetNews& news) {
  return Deflate(Encode(news));
}

std::optional<FleetNews> Unpack(const Deflated& packed, Reason& reason) {
  if (packed.plain_size == 0) {
    return FleetNews();
  }
  const auto plain = Inflate(packed, kMaxNewsBytes, reason);
  return plain ? Decode<FleetNews>(*plain, reason) : std::nullopt;
}

}  // namespace applestand
