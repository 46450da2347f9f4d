#include "lib/control/control_node.h"
#include "lib/control/operator_api.h"
#include "lib/daemon/daemon.h"
#include "lib/http/attempt_id.h"
#include "lib/http/client.h"
#include "lib/log/log.h"
#include "lib/metrics/metrics.h"
#include "lib/table_store/http_table_store.h"

namespace applestand {
namespace {

constexpr Duration kMetricsPeriod = std::chrono::seconds(1);

ControlMetrics::Values ReadMetrics(ControlNode& node, TimePoint now) {
  ControlMetrics::Values values;
  values.config_version = node.config().state().version.value();
  if (const auto evidence = node.config().Evidence()) {
    values.config_age_seconds = ToSeconds(evidence->age);
  }
  values.shares_owned = node.shares().OwnedCount();
  values.live_hosts = node.membership().LiveHosts(now).size();
  return values;
}

int Run(const HostSettings& settings) {
  SignalWatcher signals;
  BootClock clock;
  EventLoop loop(clock);
  HttpClient client;
  const PlatformEndpoint endpoint{settings.platform_address,
                                  settings.platform_timeout};
  const Incarnation incarnation = NewIncarnation();
  AttemptIdGenerator attempt_ids(incarnation);
  HttpTableService table(client, attempt_ids, endpoint);
  HttpObjectStore objects(client, attempt_ids, endpoint);
  HttpHostList hosts(client, attempt_ids, endpoint);
  RpcClientPool clients;
  RpcPeerClient caller(clients, loop);
  ControlNode node(settings, incarnation, clock, loop, caller,
                   {table, objects, hosts});
  OperatorApi api(settings.operator_token_sha256, clock, loop, node, table);

  RpcServer rpc(
      {settings.control_rpc},
      [&node](MessageKind kind, std::string payload, const RpcReply& reply) {
        node.OnCall(kind, std::move(payload), reply);
      });
  HttpServerOptions http_options;
  http_options.address = IpOf(settings.control_api);
  http_options.port = PortOf(settings.control_api);
  HttpServer http(http_options, [&api](HttpRequest request, HttpReply reply) {
    api.Handle(std::move(request), std::move(reply));
  });
  http.Start();
  node.Start();
  MetricsServer metrics_server(settings.control_metrics);
  ControlMetrics metrics(metrics_server);
  loop.RunEvery(kMetricsPeriod, [&metrics, &node, &loop] {
    metrics.Set(ReadMetrics(node, loop.Now()));
  });
  LogEvent(Event::kStarted,
           {{"host", settings.host}, {"api", settings.control_api}});
  signals.RunLoop(loop, [&] {
    LogEvent(Event::kStopping, {{"host", settings.host}});
    node.BeginStop([&loop] { loop.Stop(); });
  });
  http.Stop();
  LogEvent(Event::kStopped, {{"host", settings.host}});
  return kExitOk;
}

}  // namespace
}  // namespace applestand

int main(int argc, char** argv) {
  return applestand::DaemonMain(
      argc, argv, "applestand-control",
      "Keeps a host's configuration, membership and contract shares",
      applestand::Run);
}
