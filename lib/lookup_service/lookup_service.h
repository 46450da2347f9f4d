#ifndef LIB_LOOKUP_SERVICE_LOOKUP_SERVICE_H_
#define LIB_LOOKUP_SERVICE_LOOKUP_SERVICE_H_

#include <memory>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/http/server.h"
#include "lib/local_state/follower.h"
#include "lib/lookup/lookup_map.h"

namespace applestand {

/// Answers callers' "which entry host?":
///
///   GET /v1/hosts[?client=<IPv4>][&key=<key id>]
///
/// with {"hosts": [{"host", "address", "region"}...], "ttl_s": N}, best first.
/// Without `client` the caller's own address counts.
///
/// Handle may be called from any thread; the rest is single-threaded.
class LookupService {
 public:
  LookupService(StateFollower::Options follower,
                LookupMap::Options map,
                EventLoop& loop,
                PeerCaller& caller);

  /// Starts following the control process. Call once.
  void Start() { m_follower.Start(); }

  void Handle(const HttpRequest& request, const HttpReply& reply) const;

 private:
  void OnState();
  HttpResponse Answer(const HttpRequest& request) const;

  const LookupMap::Options m_options;
  StateFollower m_follower;
  ConfigVersion m_version;
  std::vector<EntryHost> m_hosts;
  // Read and written through std::atomic_load and std::atomic_store.
  std::shared_ptr<const LookupMap> m_map;
};

}  // namespace applestand

#endif  // LIB_LOOKUP_SERVICE_LOOKUP_SERVICE_H_
