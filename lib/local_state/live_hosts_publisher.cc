#include "lib/local_state/live_hosts_publisher.h"

#include <xxhash.h>

#include <string>
#include <utility>

#include "lib/codec/codec.h"

namespace applestand {

namespace {

/// Time in which a new control process learns of the other hosts.
constexpr Duration kDiscoveryTime = std::chrono::seconds(3);

uint64_t ComputeDigest(const std::vector<HostRecord>& hosts) {
  const std::string bytes = Encode(hosts);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

void LiveHostsPublisher::Fill(uint64_t known_digest,
                              std::vector<HostRecord> live,
                              TimePoint now,
                              LocalStateReply& reply) {
  const bool discovering = now - m_started_at < kDiscoveryTime;
  if (discovering && known_digest != 0 && m_given.count(known_digest) == 0) {
    reply.hosts_digest = known_digest;
    return;
  }
  reply.hosts_digest = ComputeDigest(live);
  if (discovering) {
    m_given.insert(reply.hosts_digest);
  }
  if (reply.hosts_digest != known_digest) {
    reply.live_hosts = std::move(live);
  }
}

}  // namespace applestand
