#ifndef LIB_STANDIN_PLATFORM_STANDIN_H_
#define LIB_STANDIN_PLATFORM_STANDIN_H_

#include <cstdint>
#include <map>
#include <string>

#include "lib/base/event_loop.h"
#include "lib/http/message.h"
#include "lib/http/server.h"
#include "lib/standin/faults.h"
#include "lib/standin/lagged.h"
#include "lib/table_store/fake_table_service.h"
#include "lib/table_store/host_list.h"

namespace applestand {

struct PlatformStandinOptions {
  Duration host_list_lag = Duration::zero();
  Duration measurement_lag = Duration::zero();
};

/// Takes the place of the platform in tests: table, object store, host list
/// and measurements in memory, with faults by command. It serves the calls of
/// lib/table_store/http_table_store.h and these:
///
///   POST /faults  a command of FaultPlan; 200 or 400
///   GET  /stats   {"table_reads":n,"table_writes":n,"objects_reads":n,..}
///
/// Requests are counted when they arrive, whatever their fault.
///
/// Thread safety: Handle may be called from any thread; everything else runs
/// on `loop`, which must outlive this object.
class PlatformStandin {
 public:
  PlatformStandin(EventLoop& loop, const PlatformStandinOptions& options);

  /// Serves one request; fits HttpHandler.
  void Handle(HttpRequest request, HttpReply reply);

 private:
  using HostMap = std::map<HostId, RegisteredHost>;

  void Serve(const HttpRequest& request, const HttpReply& reply);
  void ServeWithFault(const std::string& service,
                      const HttpRequest& request,
                      const HttpReply& reply);
  HttpResponse Execute(const std::string& service, const HttpRequest& request);
  HttpResponse ExecuteTable(const HttpRequest& request);
  HttpResponse ExecuteTransact(const HttpRequest& request);
  HttpResponse ExecuteRead(const HttpRequest& request);
  HttpResponse ExecuteScan(const HttpRequest& request);
  HttpResponse ExecuteObjects(const HttpRequest& request);
  HttpResponse ExecuteHosts(const HttpRequest& request);
  HttpResponse ExecuteHostList();
  HttpResponse ExecuteMeasurements(const HttpRequest& request);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse Stats() const;
  void Count(const std::string& service, const HttpRequest& request);

  EventLoop& m_loop;
  const PlatformStandinOptions m_options;
  FaultPlan m_faults;
  FakeTableService m_table;
  std::map<std::string, std::string> m_objects;
  Lagged<HostMap> m_hosts;
  std::map<std::string, Lagged<std::string>> m_measurements;
  std::map<std::string, uint64_t> m_counts;
};

}  // namespace applestand

#endif  // LIB_STANDIN_PLATFORM_STANDIN_H_
