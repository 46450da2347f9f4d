#ifndef LIB_CONTROL_OPERATOR_API_H_
#define LIB_CONTROL_OPERATOR_API_H_

#include <functional>
#include <string>

#include "lib/base/event_loop.h"
#include "lib/base/worker.h"
#include "lib/control/control_node.h"
#include "lib/http/server.h"

namespace applestand {

/// The operators' HTTP interface of a control process:
///
///   GET  /v1/config                  configuration in force here, as JSON
///   GET  /v1/snapshot                the same, as bytes of EncodeSnapshot
///   POST /v1/changes[?expected=N]    appends a change (lib/config/change.h);
///                                    with `expected`, only at log version N
///   GET  /v1/status                  hosts, contract shares, freshness
///   GET  /v1/claims?account=A&key=K  claim of one idempotency key
///   GET  /v1/usage?account=A         requests that are charged or in dispute
///
/// Every request must carry "Authorization: Bearer <operator token>".
class OperatorApi {
 public:
  /// `token_sha256` is the hash of the operator token. The references must
  /// outlive this object.
  OperatorApi(std::string token_sha256,
              const Clock& clock,
              EventLoop& loop,
              ControlNode& node,
              TableService& table);

  /// Handles one request. `reply` runs on the event loop or on a worker thread.
  /// Thread-safe.
  void Handle(HttpRequest request, HttpReply reply);

 private:
  void HandleOnLoop(const HttpRequest& request, const HttpReply& reply);
  [[nodiscard]] bool IsAuthorized(const HttpRequest& request) const;
  void AppendChange(const HttpRequest& request, const HttpReply& reply);
  void ReportUsage(const HttpRequest& request, const HttpReply& reply);
  void ReportClaim(const HttpRequest& request, const HttpReply& reply);
  HttpResponse MakeSnapshotResponse();
  HttpResponse MakeStatusResponse();

  const std::string m_token_sha256;
  EventLoop& m_loop;
  ControlNode& m_node;
  TableService& m_table;
  Worker m_worker;
};

}  // namespace applestand

#endif  // LIB_CONTROL_OPERATOR_API_H_
