#include <memory>

#include "lib/daemon/daemon.h"
#include "lib/entry/entry_node.h"
#include "lib/http/attempt_id.h"
#include "lib/http/client.h"
#include "lib/log/log.h"
#include "lib/metrics/metrics.h"
#include "lib/table_store/http_table_store.h"
#include "lib/trace/span_exporter.h"

namespace applestand {
namespace {

constexpr size_t kMaxSpans = 8192;
constexpr size_t kSpansPerExport = 512;
constexpr Duration kExportPeriod = std::chrono::seconds(1);
constexpr Duration kStopPollPeriod = std::chrono::milliseconds(50);

HttpServerOptions ServerOptions(const HostSettings& settings) {
  HttpServerOptions options;
  options.address = IpOf(settings.entry_listen);
  options.port = PortOf(settings.entry_listen);
  options.max_request_bytes = settings.max_body_bytes;
  options.max_body_bytes_in_flight = settings.max_bytes_in_flight;
  return options;
}

/// Stops the entry process gracefully: continues to serve requests for the
/// lifetime of a look-up response, within which callers look up another host,
/// then rejects new requests and waits until no request is in flight and the
/// node is idle, at most for the stop timeout.
class GracefulShutdown {
 public:
  GracefulShutdown(const HostSettings& settings,
                   EventLoop& loop,
                   HttpServer& http,
                   EntryNode& node)
      : m_settings(settings), m_loop(loop), m_http(http), m_node(node) {}

  void Begin() {
    LogEvent(Event::kStopping, {{"host", m_settings.host}});
    m_node.BeginStop();
    m_http.BeginDrain();
    m_serve_until =
        m_loop.Now() + std::chrono::seconds(m_settings.lookup_ttl_s);
    m_stop_deadline = m_serve_until + m_settings.stop_timeout;
    m_loop.RunEvery(kStopPollPeriod, [this] { Poll(); });
  }

 private:
  void Poll() {
    const TimePoint now = m_loop.Now();
    if (now < m_serve_until) {
      return;
    }
    m_http.RefuseNewRequests();
    const bool idle = m_http.requests_in_flight() == 0 && m_node.Idle();
    if (idle) {
      m_loop.Stop();
    } else if (now >= m_stop_deadline) {
      LogEvent(Event::kStopTimedOut,
               {{"requests", m_http.requests_in_flight()}});
      m_loop.Stop();
    }
  }

  const HostSettings& m_settings;
  EventLoop& m_loop;
  HttpServer& m_http;
  EntryNode& m_node;
  TimePoint m_serve_until;
  TimePoint m_stop_deadline;
};

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
  RpcClientPool rpc_clients;
  RpcPeerClient peer_client(rpc_clients, loop);
  TraceIdGenerator trace_ids(incarnation.value(), settings.trace_sample_ratio);
  SpanRecorder spans(kMaxSpans);
  std::unique_ptr<SpanExporter> exporter;
  if (!settings.trace_collector.empty()) {
    HttpSpanExporter::Options options;
    options.address = settings.trace_collector;
    exporter = std::make_unique<HttpSpanExporter>(options, client);
    loop.RunEvery(kExportPeriod, [&spans, &exporter] {
      exporter->Export(spans.Drain(kSpansPerExport));
    });
  }
  MetricsServer metrics_server(settings.entry_metrics);
  EntryMetrics metrics(metrics_server);
  EntryNode node(settings, incarnation, clock, loop, peer_client, client,
                 attempt_ids, table, objects, trace_ids, spans, metrics);
  RpcServer rpc(
      {settings.entry_rpc},
      [&node](MessageKind kind, std::string payload, const RpcReply& reply) {
        node.OnCall(kind, std::move(payload), reply);
      });
  HttpServer http(ServerOptions(settings),
                  [&node](HttpRequest request, HttpReply reply) {
                    node.OnHttp(std::move(request), std::move(reply));
                  });
  http.Start();
  node.Start();
  LogEvent(Event::kStarted,
           {{"host", settings.host}, {"listen", settings.entry_listen}});
  GracefulShutdown shutdown(settings, loop, http, node);
  signals.RunLoop(loop, [&shutdown] { shutdown.Begin(); });
  http.Stop();
  LogEvent(Event::kStopped, {{"host", settings.host}});
  return kExitOk;
}

}  // namespace
}  // namespace applestand

int main(int argc, char** argv) {
  return applestand::DaemonMain(
      argc, argv, "applestand-entry",
      "Accepts callers' requests and forwards them to targets",
      applestand::Run);
}
