#include "lib/standin/platform_standin.h"

#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "lib/standin/attempt_reply.h"
#include "lib/table_store/wire.h"

namespace applestand {

namespace {

HttpResponse Status(int status) {
  HttpResponse response;
  response.status = status;
  return response;
}

HttpResponse BadRequest(const Reason& reason) {
  return JsonResponse(400, nlohmann::json{{"error", reason.text}}.dump());
}

/// "table" of "/table/read".
std::string FirstSegment(const HttpRequest& request) {
  std::string_view path = PathOf(request);
  if (path.empty()) {
    return "";
  }
  path.remove_prefix(1);
  return std::string(path.substr(0, path.find('/')));
}

/// "a/b" of "/objects/a/b", decoded.
std::string Rest(const HttpRequest& request) {
  std::string_view path = PathOf(request);
  const size_t slash = path.find('/', 1);
  return slash == std::string_view::npos
             ? std::string()
             : PercentDecode(path.substr(slash + 1));
}

bool IsRead(const HttpRequest& request) {
  const std::string_view path = PathOf(request);
  return request.method == "GET" || path == "/table/read" ||
         path == "/table/scan";
}

bool IsService(const std::string& name) {
  return name == "table" || name == "objects" || name == "hosts" ||
         name == "measurements";
}

}  // namespace

PlatformStandin::PlatformStandin(EventLoop& loop,
                                 const PlatformStandinOptions& options)
    : m_loop(loop), m_options(options), m_hosts(options.host_list_lag, {}) {}

void PlatformStandin::Handle(HttpRequest request, HttpReply reply) {
  reply = WithAttemptId(request, std::move(reply));
  m_loop.Post([this, request = std::move(request), reply = std::move(reply)] {
    Serve(request, reply);
  });
}

void PlatformStandin::Serve(const HttpRequest& request,
                            const HttpReply& reply) {
  const std::string service = FirstSegment(request);
  if (service == "faults" && request.method == "POST") {
    reply(SetFaults(request));
    return;
  }
  if (service == "stats" && request.method == "GET") {
    reply(Stats());
    return;
  }
  if (!IsService(service)) {
    reply(Status(404));
    return;
  }
  Count(service, request);
  ServeWithFault(service, request, reply);
}

void PlatformStandin::ServeWithFault(const std::string& service,
                                     const HttpRequest& request,
                                     const HttpReply& reply) {
  const Duration delay = m_faults.Delay(service);
  switch (m_faults.Active(service, m_loop.Now())) {
    case ServiceFault::kDown:
      reply(Status(503));
      return;
    case ServiceFault::kRequestLost:
      return;
    case ServiceFault::kAnswerLost:
      Execute(service, request);
      return;
    case ServiceFault::kSlow:
      m_loop.PostDelayed(delay, [this, service, request, reply] {
        reply(Execute(service, request));
      });
      return;
    case ServiceFault::kSlowAnswer:
      m_loop.PostDelayed(delay, [reply, response = Execute(service, request)] {
        reply(response);
      });
      return;
    case ServiceFault::kNone:
    case ServiceFault::kFrozen:
      reply(Execute(service, request));
      return;
  }
}

HttpResponse PlatformStandin::Execute(const std::string& service,
                                      const HttpRequest& request) {
  if (service == "table") {
    return ExecuteTable(request);
  }
  if (service == "objects") {
    return ExecuteObjects(request);
  }
  if (service == "hosts") {
    return ExecuteHosts(request);
  }
  return ExecuteMeasurements(request);
}

HttpResponse PlatformStandin::ExecuteTable(const HttpRequest& request) {
  const std::string_view path = PathOf(request);
  if (request.method != "POST") {
    return Status(405);
  }
  if (path == "/table/transact") {
    return ExecuteTransact(request);
  }
  if (path == "/table/read") {
    return ExecuteRead(request);
  }
  if (path == "/table/scan") {
    return ExecuteScan(request);
  }
  return Status(404);
}

HttpResponse PlatformStandin::ExecuteTransact(const HttpRequest& request) {
  Reason reason;
  const auto writes = DecodeWrites(request.body, reason);
  if (!writes) {
    return BadRequest(reason);
  }
  return JsonResponse(200, EncodeStatus(m_table.Transact(*writes)));
}

HttpResponse PlatformStandin::ExecuteRead(const HttpRequest& request) {
  Reason reason;
  const auto keys = DecodeKeys(request.body, reason);
  if (!keys) {
    return BadRequest(reason);
  }
  return JsonResponse(200, EncodeRows(m_table.Read(*keys).rows));
}

HttpResponse PlatformStandin::ExecuteScan(const HttpRequest& request) {
  Reason reason;
  const auto scan = DecodeScan(request.body, reason);
  if (!scan) {
    return BadRequest(reason);
  }
  const ReadResult result =
      m_table.Scan(scan->prefix, scan->after, scan->limit);
  return JsonResponse(200, EncodeRows(result.rows));
}

HttpResponse PlatformStandin::ExecuteObjects(const HttpRequest& request) {
  const std::string key = Rest(request);
  if (request.method == "GET") {
    const auto it = m_objects.find(key);
    if (it == m_objects.end()) {
      return Status(404);
    }
    HttpResponse response = Status(200);
    response.body = it->second;
    return response;
  }
  if (request.method != "PUT") {
    return Status(405);
  }
  if (FindHeader(request.headers, "If-None-Match") != "*") {
    return BadRequest({"only If-None-Match: * is supported"});
  }
  const bool created = m_objects.emplace(key, request.body).second;
  return Status(created ? 200 : 412);
}

HttpResponse PlatformStandin::ExecuteHosts(const HttpRequest& request) {
  const HostId id(Rest(request));
  if (request.method == "GET" && id.empty()) {
    return ExecuteHostList();
  }
  HostMap hosts = m_hosts.Latest();
  if (request.method == "DELETE") {
    hosts.erase(id);
    m_hosts.Set(m_loop.Now(), std::move(hosts));
    return Status(200);
  }
  if (request.method != "PUT") {
    return Status(405);
  }
  Reason reason;
  const auto host = DecodeHost(request.body, reason);
  if (!host) {
    return BadRequest(reason);
  }
  if (host->host != id) {
    return BadRequest({"the body names another host than the path"});
  }
  hosts[id] = *host;
  m_hosts.Set(m_loop.Now(), std::move(hosts));
  return Status(200);
}

HttpResponse PlatformStandin::ExecuteHostList() {
  const bool frozen =
      m_faults.Active("hosts", m_loop.Now()) == ServiceFault::kFrozen;
  m_hosts.SetFrozen(frozen);
  std::vector<RegisteredHost> list;
  for (const auto& [id, host] : m_hosts.Get(m_loop.Now())) {
    list.push_back(host);
  }
  return JsonResponse(200, EncodeHosts(list));
}

HttpResponse PlatformStandin::ExecuteMeasurements(const HttpRequest& request) {
  const std::string name = Rest(request);
  Lagged<std::string>& value =
      m_measurements.try_emplace(name, m_options.measurement_lag, "")
          .first->second;
  if (request.method == "PUT") {
    value.Set(m_loop.Now(), request.body);
    return Status(200);
  }
  if (request.method != "GET") {
    return Status(405);
  }
  const bool frozen =
      m_faults.Active("measurements", m_loop.Now()) == ServiceFault::kFrozen;
  value.SetFrozen(frozen);
  const std::string& visible = value.Get(m_loop.Now());
  return visible.empty() ? Status(404) : JsonResponse(200, visible);
}

HttpResponse PlatformStandin::SetFaults(const HttpRequest& request) {
  Reason reason;
  if (!m_faults.Apply(request.body, m_loop.Now(), reason)) {
    return BadRequest(reason);
  }
  return Status(200);
}

void PlatformStandin::Count(const std::string& service,
                            const HttpRequest& request) {
  ++m_counts[service + (IsRead(request) ? "_reads" : "_writes")];
}

HttpResponse PlatformStandin::Stats() const {
  nlohmann::json stats(m_counts);
  stats["table_commits"] = m_table.commits();
  stats["objects"] = m_objects.size();
  return JsonResponse(200, stats.dump());
}

}  // namespace applestand
