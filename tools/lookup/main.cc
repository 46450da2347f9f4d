#include "lib/daemon/daemon.h"
#include "lib/http/server.h"
#include "lib/log/log.h"
#include "lib/lookup_service/lookup_service.h"
#include "lib/rpc/peer_client.h"

namespace applestand {
namespace {

int Run(const HostSettings& settings) {
  SignalWatcher signals;
  BootClock clock;
  EventLoop loop(clock);
  RpcClientPool clients;
  RpcPeerClient caller(clients, loop);
  StateFollower::Options follower_options;
  follower_options.control_address = settings.control_rpc;
  LookupMap::Options map_options;
  map_options.ttl = std::chrono::seconds(settings.lookup_ttl_s);
  LookupService service(follower_options, map_options, loop, caller);

  HttpServerOptions http_options;
  http_options.address = IpOf(settings.lookup_listen);
  http_options.port = PortOf(settings.lookup_listen);
  HttpServer http(http_options, [&service](const HttpRequest& request,
                                           const HttpReply& reply) {
    service.Handle(request, reply);
  });
  http.Start();
  service.Start();
  LogEvent(Event::kStarted,
           {{"host", settings.host}, {"listen", settings.lookup_listen}});
  signals.RunLoop(loop, [&] {
    LogEvent(Event::kStopping, {{"host", settings.host}});
    // Continues to serve lookups for one TTL, so that callers can switch to
    // other hosts.
    http.BeginDrain();
    loop.PostDelayed(std::chrono::seconds(settings.lookup_ttl_s),
                     [&loop] { loop.Stop(); });
  });
  http.Stop();
  LogEvent(Event::kStopped, {{"host", settings.host}});
  return kExitOk;
}

}  // namespace
}  // namespace applestand

int main(int argc, char** argv) {
  return applestand::DaemonMain(argc, argv, "applestand-lookup",
                                "Tells callers which entry hosts to use",
                                applestand::Run);
}
