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
///   GET  /v1/config              the configuration in force here
///   GET  /v1/snapshot            the same, for programs
///   POST /v1/changes[?expected=N] appends a change (see lib/config/change.h)
///   GET  /v1/status              hosts, seats, freshness
///   GET  /v1/claims?account=A&key=K  what is known of one idempotency key
///
///   GET  /v1/usage?account=A     requests that are charged or in dispute
///
/// Every call shows "Authorization: Bearer <operator token>".
///
/// Handle may be called from any thread.
class OperatorApi {
 public:
  OperatorApi(std::string token_sha256,
              const Clock& clock,
              EventLoop& loop,
              ControlNode& node,
              TableService& table);

  void Handle(HttpRequest request, HttpReply reply);

 private:
  void HandleOnLoop(const HttpRequest& request, const HttpReply& reply);
  [[nodiscard]] bool IsAuthorized(const HttpRequest& request) const;
  void AppendChange(const HttpRequest& request, const HttpReply& reply);
  void ShowUsage(const HttpRequest& request, const HttpReply& reply);
  void ShowClaim(const HttpRequest& request, const HttpReply& reply);
  HttpResponse Snapshot();
  HttpResponse Status();

  const std::string m_token_sha256;
  EventLoop& m_loop;
  ControlNode& m_node;
  TableService& m_table;
  Worker m_worker;
};

}  // namespace applestand

#endif  // LIB_CONTROL_OPERATOR_API_H_
