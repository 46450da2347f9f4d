#ifndef LIB_TABLE_STORE_HTTP_TABLE_STORE_H_
#define LIB_TABLE_STORE_HTTP_TABLE_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/http/client.h"
#include "lib/table_store/host_list.h"
#include "lib/table_store/table_service.h"

// HTTP clients of the platform's services. The message bodies are described in
// lib/table_store/wire.h.
//
//   POST   /table/transact      200 with "ok" or "conflict"
//   POST   /table/read          200 with rows
//   POST   /table/scan          200 with rows
//   PUT    /objects/<key>       If-None-Match: *; 200 or 412
//   GET    /objects/<key>       200 or 404
//   GET    /hosts               200 with the host list
//   PUT    /hosts/<id>          200
//   DELETE /hosts/<id>          200
//   GET    /measurements/<name> 200 or 404
//   PUT    /measurements/<name> 200
//
// The platform sends 503 only before a request takes any effect.

namespace applestand {

/// Address of the platform and time limit of a call to it.
struct PlatformEndpoint {
  /// "IP:port".
  std::string address;
  Duration timeout = std::chrono::seconds(2);
};

/// Client of the table service. Every call blocks for at most the endpoint's
/// timeout. Preconditions: `client` outlives this object, and no method is
/// called from a callback of `client`. Thread-safe.
class HttpTableService : public TableService {
 public:
  HttpTableService(HttpClient& client, PlatformEndpoint endpoint);

  [[nodiscard]] TableStatus Transact(
      const std::vector<RowWrite>& writes) override;
  [[nodiscard]] ReadResult Read(const std::vector<std::string>& keys) override;
  [[nodiscard]] ReadResult Scan(const std::string& prefix,
                                const std::string& after,
                                size_t limit) override;

 private:
  ReadResult ReadRows(const std::string& path, std::string body);

  HttpClient& m_client;
  const PlatformEndpoint m_endpoint;
};

/// Client of the object store. Timeout, preconditions and thread safety are
/// those of HttpTableService.
class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(HttpClient& client, PlatformEndpoint endpoint);

  [[nodiscard]] TableStatus Create(const std::string& key,
                                   const std::string& bytes) override;
  [[nodiscard]] GetResult Get(const std::string& key) override;

 private:
  HttpClient& m_client;
  const PlatformEndpoint m_endpoint;
};

/// Client of the host list. Timeout, preconditions and thread safety are those
/// of HttpTableService.
class HttpHostList : public HostList {
 public:
  HttpHostList(HttpClient& client, PlatformEndpoint endpoint);

  [[nodiscard]] std::optional<std::vector<RegisteredHost>> Read(
      Reason& reason) override;
  [[nodiscard]] bool Put(const RegisteredHost& host, Reason& reason) override;
  [[nodiscard]] bool Remove(const HostId& host, Reason& reason) override;

 private:
  HttpClient& m_client;
  const PlatformEndpoint m_endpoint;
};

/// Client of the published measurements. Timeout, preconditions and thread
/// safety are those of HttpTableService.
class HttpMeasurements : public Measurements {
 public:
  HttpMeasurements(HttpClient& client, PlatformEndpoint endpoint);

  [[nodiscard]] std::optional<std::string> Get(const std::string& name,
                                               Reason& reason) override;
  [[nodiscard]] bool Put(const std::string& name,
                         const std::string& json,
                         Reason& reason) override;

 private:
  HttpClient& m_client;
  const PlatformEndpoint m_endpoint;
};

}  // namespace applestand

#endif  // LIB_TABLE_STORE_HTTP_TABLE_STORE_H_
