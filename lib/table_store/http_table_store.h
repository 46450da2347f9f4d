#ifndef LIB_TABLE_STORE_HTTP_TABLE_STORE_H_
#define LIB_TABLE_STORE_HTTP_TABLE_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/http/attempt_id.h"
#include "lib/http/client.h"
#include "lib/http/message.h"
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
// The platform sends 503 only before a request takes any effect. It repeats the
// header kAttemptIdHeader of a request in the response; otherwise each call
// costs a connection.

namespace applestand {

/// Address of the platform and time limit of a call to it.
struct PlatformEndpoint {
  /// "IP:port".
  std::string address;
  Duration timeout = std::chrono::seconds(2);
};

/// Sends requests to the platform. Every call blocks for at most the endpoint's
/// timeout. Preconditions: `client` and `attempt_ids` outlive this object, and
/// no method is called from a callback of `client`. Thread-safe.
class PlatformClient {
 public:
  PlatformClient(HttpClient& client,
                 AttemptIdGenerator& attempt_ids,
                 PlatformEndpoint endpoint);

  /// See HttpCall::may_repeat.
  HttpCallResult Call(HttpRequest request, bool may_repeat);

 private:
  HttpClient& m_client;
  AttemptIdGenerator& m_attempt_ids;
  const PlatformEndpoint m_endpoint;
};

/// Client of the table service. Timeout, preconditions and thread safety are
/// those of PlatformClient.
class HttpTableService : public TableService {
 public:
  HttpTableService(HttpClient& client,
                   AttemptIdGenerator& attempt_ids,
                   PlatformEndpoint endpoint);

  [[nodiscard]] TableStatus Transact(
      const std::vector<RowWrite>& writes) override;
  [[nodiscard]] ReadResult Read(const std::vector<std::string>& keys) override;
  [[nodiscard]] ReadResult Scan(const std::string& prefix,
                                const std::string& after,
                                size_t limit) override;

 private:
  ReadResult ReadRows(const std::string& path, std::string body);

  PlatformClient m_client;
};

/// Client of the object store. Timeout, preconditions and thread safety are
/// those of PlatformClient.
class HttpObjectStore : public ObjectStore {
 public:
  HttpObjectStore(HttpClient& client,
                  AttemptIdGenerator& attempt_ids,
                  PlatformEndpoint endpoint);

  [[nodiscard]] TableStatus Create(const std::string& key,
                                   const std::string& bytes) override;
  [[nodiscard]] GetResult Get(const std::string& key) override;

 private:
  PlatformClient m_client;
};

/// Client of the host list. Timeout, preconditions and thread safety are those
/// of PlatformClient.
class HttpHostList : public HostList {
 public:
  HttpHostList(HttpClient& client,
               AttemptIdGenerator& attempt_ids,
               PlatformEndpoint endpoint);

  [[nodiscard]] std::optional<std::vector<RegisteredHost>> Read(
      Reason& reason) override;
  [[nodiscard]] bool Put(const RegisteredHost& host, Reason& reason) override;
  [[nodiscard]] bool Remove(const HostId& host, Reason& reason) override;

 private:
  PlatformClient m_client;
};

/// Client of the published measurements. Timeout, preconditions and thread
/// safety are those of PlatformClient.
class HttpMeasurements : public Measurements {
 public:
  HttpMeasurements(HttpClient& client,
                   AttemptIdGenerator& attempt_ids,
                   PlatformEndpoint endpoint);

  [[nodiscard]] std::optional<std::string> Get(const std::string& name,
                                               Reason& reason) override;
  [[nodiscard]] bool Put(const std::string& name,
                         const std::string& json,
                         Reason& reason) override;

 private:
  PlatformClient m_client;
};

}  // namespace applestand

#endif  // LIB_TABLE_STORE_HTTP_TABLE_STORE_H_
