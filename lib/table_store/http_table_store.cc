#include "lib/table_store/http_table_store.h"

#include <utility>

#include "lib/table_store/wire.h"

namespace applestand {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;

HttpRequest Post(const std::string& path, std::string body) {
  return {"POST",
          path,
          {{"Content-Type", "application/json"}},
          std::move(body),
          ""};
}

/// Returns the status of a write that did not succeed. The service rejects
/// requests (4xx, 503) before they take any effect, but may report another
/// server error after the write took effect.
TableStatus ClassifyFailedWrite(const HttpCallResult& result) {
  if (result.ran == Ran::kNotRun) {
    return TableStatus::kUnavailable;
  }
  if (result.ran == Ran::kMayHaveRun) {
    return TableStatus::kUnknown;
  }
  const int status = result.response.status;
  const bool refused = status >= 400 && (status < kFirstServerError ||
                                         status == kServiceUnavailable);
  return refused ? TableStatus::kUnavailable : TableStatus::kUnknown;
}

bool Succeeded(const HttpCallResult& result) {
  return result.ran == Ran::kRan && result.response.status == kOk;
}

/// Returns whether a call succeeded; if it did not, sets `reason`.
bool CheckSucceeded(const HttpCallResult& result, Reason& reason) {
  if (Succeeded(result)) {
    return true;
  }
  reason = result.reason;
  if (result.ran == Ran::kRan) {
    reason.text = "platform responded with status " +
                  std::to_string(result.response.status);
  }
  return false;
}

}  // namespace

PlatformClient::PlatformClient(HttpClient& client,
                               AttemptIdGenerator& attempt_ids,
                               PlatformEndpoint endpoint)
    : m_client(client),
      m_attempt_ids(attempt_ids),
      m_endpoint(std::move(endpoint)) {}

HttpCallResult PlatformClient::Call(HttpRequest request, bool may_repeat) {
  HttpCall call;
  call.address = m_endpoint.address;
  call.request = std::move(request);
  call.timeout = m_endpoint.timeout;
  call.may_repeat = may_repeat;
  call.attempt_id = m_attempt_ids.Next();
  return m_client.SendAndWait(std::move(call));
}

HttpTableService::HttpTableService(HttpClient& client,
                                   AttemptIdGenerator& attempt_ids,
                                   PlatformEndpoint endpoint)
    : m_client(client, attempt_ids, std::move(endpoint)) {}

TableStatus HttpTableService::Transact(const std::vector<RowWrite>& writes) {
  // Must not be retried automatically: if the first attempt took effect, the
  // second one finds the rows changed and reports a conflict.
  const HttpCallResult result =
      m_client.Call(Post("/table/transact", EncodeWrites(writes)),
                    /*may_repeat=*/false);
  if (!Succeeded(result)) {
    return ClassifyFailedWrite(result);
  }
  Reason reason;
  return DecodeStatus(result.response.body, reason)
      .value_or(TableStatus::kUnknown);
}

ReadResult HttpTableService::ReadRows(const std::string& path,
                                      std::string body) {
  const HttpCallResult result = m_client.Call(Post(path, std::move(body)),
                                              /*may_repeat=*/true);
  if (!Succeeded(result)) {
    return {TableStatus::kUnavailable, {}};
  }
  Reason reason;
  if (auto rows = DecodeRows(result.response.body, reason)) {
    return {TableStatus::kOk, *std::move(rows)};
  }
  return {TableStatus::kUnavailable, {}};
}

ReadResult HttpTableService::Read(const std::vector<std::string>& keys) {
  return ReadRows("/table/read", EncodeKeys(keys));
}

ReadResult HttpTableService::Scan(const std::string& prefix,
                                  const std::string& after,
                                  size_t limit) {
  return ReadRows("/table/scan", EncodeScan({prefix, after, limit}));
}

HttpObjectStore::HttpObjectStore(HttpClient& client,
                                 AttemptIdGenerator& attempt_ids,
                                 PlatformEndpoint endpoint)
    : m_client(client, attempt_ids, std::move(endpoint)) {}

TableStatus HttpObjectStore::Create(const std::string& key,
                                    const std::string& bytes) {
  const HttpRequest request{"PUT",
                            "/objects/" + PercentEncode(key),
                            {{"If-None-Match", "*"}},
                            bytes,
                            ""};
  const HttpCallResult result = m_client.Call(request, /*may_repeat=*/false);
  if (Succeeded(result)) {
    return TableStatus::kOk;
  }
  if (result.ran == Ran::kRan &&
      result.response.status == kPreconditionFailed) {
    return TableStatus::kConflict;
  }
  return ClassifyFailedWrite(result);
}

ObjectStore::GetResult HttpObjectStore::Get(const std::string& key) {
  const HttpRequest request{
      "GET", "/objects/" + PercentEncode(key), {}, "", ""};
  HttpCallResult result = m_client.Call(request, /*may_repeat=*/true);
  if (Succeeded(result)) {
    return {TableStatus::kOk, std::move(result.response.body)};
  }
  if (result.ran == Ran::kRan && result.response.status == kNotFound) {
    return {TableStatus::kOk, std::nullopt};
  }
  return {TableStatus::kUnavailable, std::nullopt};
}

HttpHostList::HttpHostList(HttpClient& client,
                           AttemptIdGenerator& attempt_ids,
                           PlatformEndpoint endpoint)
    : m_client(client, attempt_ids, std::move(endpoint)) {}

std::optional<std::vector<RegisteredHost>> HttpHostList::Read(Reason& reason) {
  const HttpCallResult result =
      m_client.Call({"GET", "/hosts", {}, "", ""}, /*may_repeat=*/true);
  if (!CheckSucceeded(result, reason)) {
    return std::nullopt;
  }
  return DecodeHosts(result.response.body, reason);
}

bool HttpHostList::Put(const RegisteredHost& host, Reason& reason) {
  const HttpRequest request{"PUT",
                            "/hosts/" + PercentEncode(host.host.value()),
                            {{"Content-Type", "application/json"}},
                            EncodeHost(host),
                            ""};
  return CheckSucceeded(m_client.Call(request, /*may_repeat=*/true), reason);
}

bool HttpHostList::Remove(const HostId& host, Reason& reason) {
  const HttpRequest request{
      "DELETE", "/hosts/" + PercentEncode(host.value()), {}, "", ""};
  return CheckSucceeded(m_client.Call(request, /*may_repeat=*/true), reason);
}

HttpMeasurements::HttpMeasurements(HttpClient& client,
                                   AttemptIdGenerator& attempt_ids,
                                   PlatformEndpoint endpoint)
    : m_client(client, attempt_ids, std::move(endpoint)) {}

std::optional<std::string> HttpMeasurements::Get(const std::string& name,
                                                 Reason& reason) {
  const HttpRequest request{
      "GET", "/measurements/" + PercentEncode(name), {}, "", ""};
  HttpCallResult result = m_client.Call(request, /*may_repeat=*/true);
  if (!CheckSucceeded(result, reason)) {
    return std::nullopt;
  }
  return std::move(result.response.body);
}

bool HttpMeasurements::Put(const std::string& name,
                           const std::string& json,
                           Reason& reason) {
  const HttpRequest request{"PUT",
                            "/measurements/" + PercentEncode(name),
                            {{"Content-Type", "application/json"}},
                            json,
                            ""};
  return CheckSucceeded(m_client.Call(request, /*may_repeat=*/true), reason);
}

}  // namespace applestand
