#ifndef LIB_LOOKUP_SERVICE_LOOKUP_SERVICE_H_
#define LIB_LOOKUP_SERVICE_LOOKUP_SERVICE_H_

#include <memory>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/http/server.h"
#include "lib/local_state/follower.h"
#include "lib/lookup/lookup_map.h"

namespace applestand {

/// Tells callers which entry hosts to use. Serves
///
///   GET /v1/hosts[?client=<IPv4>][&key=<key id>]
///
/// with {"hosts": [{"host", "address", "region"}...], "ttl_s": N}, hosts in
/// order of preference. If `client` is absent, the address of the connection's
/// peer is used.
///
/// Handle may be called from any thread, all other methods only from the thread
/// of the event loop. `loop` and `caller` must outlive this object.
class LookupService {
 public:
  LookupService(StateFollower::Options follower_options,
                LookupMap::Options map_options,
                EventLoop& loop,
                PeerClient& caller);

  /// Starts polling the control process. Must be called at most once.
  void Start() { m_follower.Start(); }

  /// Responds to `request` immediately. Responds with status 503 until the
  /// first state from the control process has arrived or if no host is live,
  /// and with 400 or 404 if the request is invalid.
  void Handle(const HttpRequest& request, const HttpReply& reply) const;

 private:
  /// Replaces the map if the configuration or the live hosts have changed.
  void OnLocalState();
  HttpResponse MakeResponse(const HttpRequest& request) const;

  const LookupMap::Options m_map_options;
  StateFollower m_follower;
  ConfigVersion m_config_version;
  std::vector<EntryHost> m_hosts;
  /// Null until the first state has arrived. Accessed only through
  /// std::atomic_load and std::atomic_store, because Handle runs on other
  /// threads.
  std::shared_ptr<const LookupMap> m_map;
};

}  // namespace applestand

#endif  // LIB_LOOKUP_SERVICE_LOOKUP_SERVICE_H_
