#include "lib/control/operator_api.h"

#include <optional>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "lib/claims/claim.h"
#include "lib/config/change.h"
#include "lib/keys/presented_key.h"
#include "lib/usage/usage_report.h"

namespace applestand {

namespace {

using nlohmann::json;

HttpResponse MakeErrorResponse(int status, const std::string& detail) {
  return JsonResponse(status, json{{"error", detail}}.dump());
}

int HttpStatusOf(const ChangeResult& result) {
  switch (result.outcome.kind) {
    case AppendOutcome::Kind::kCommitted:
      return result.accepted ? 200 : 202;
    case AppendOutcome::Kind::kConflict:
      return 409;
    case AppendOutcome::Kind::kInvalid:
      return 422;
    case AppendOutcome::Kind::kNotAccepted:
      return 503;
    case AppendOutcome::Kind::kUnknown:
      return 504;
  }
  return 500;
}

HttpResponse MakeChangeResponse(const ChangeResult& result) {
  json body = {{"outcome", ToString(result.outcome.kind)},
               {"version", result.outcome.version.value()},
               {"accepted", result.accepted},
               {"reason", result.outcome.reason.text},
               {"confirmed_by", json::array()}};
  for (const HostId& host : result.confirmed_by) {
    body["confirmed_by"].push_back(host.value());
  }
  return JsonResponse(HttpStatusOf(result), body.dump());
}

json HostToJson(const HostRecord& host, const char* condition) {
  return {{"host", host.host.value()},
          {"region", host.region.value()},
          {"zone", host.zone.value()},
          {"condition", condition},
          {"incarnation", host.incarnation.value()},
          {"config_version", host.config_version.value()},
          {"http", host.http_address}};
}

/// Accepts only digits, and at most 18 of them, so that the value cannot
/// overflow.
std::optional<ConfigVersion> ParseVersion(const std::string& text) {
  const bool digits = !text.empty() && text.size() <= 18 &&
                      text.find_first_not_of("0123456789") == std::string::npos;
  if (!digits) {
    return std::nullopt;
  }
  return ConfigVersion(std::stoull(text));
}

}  // namespace

OperatorApi::OperatorApi(std::string token_sha256,
                         const Clock& clock,
                         EventLoop& loop,
                         ControlNode& node,
                         TableService& table)
    : m_token_sha256(std::move(token_sha256)),
      m_loop(loop),
      m_node(node),
      m_table(table),
      m_worker(clock) {}

void OperatorApi::Handle(HttpRequest request, HttpReply reply) {
  m_loop.Post([this, request = std::move(request), reply = std::move(reply)] {
    HandleOnLoop(request, reply);
  });
}

bool OperatorApi::IsAuthorized(const HttpRequest& request) const {
  const std::string scheme = "Bearer ";
  const auto header = FindHeader(request.headers, "Authorization");
  if (!header || header->compare(0, scheme.size(), scheme) != 0) {
    return false;
  }
  return SecretMatches(header->substr(scheme.size()), m_token_sha256);
}

void OperatorApi::HandleOnLoop(const HttpRequest& request,
                               const HttpReply& reply) {
  if (!IsAuthorized(request)) {
    reply(MakeErrorResponse(401, "the operator token is missing or wrong"));
    return;
  }
  const std::string_view path = PathOf(request);
  if (request.method == "POST" && path == "/v1/changes") {
    AppendChange(request, reply);
  } else if (request.method == "GET" && path == "/v1/config") {
    reply(JsonResponse(200, ToJson(m_node.config().state())));
  } else if (request.method == "GET" && path == "/v1/snapshot") {
    reply(MakeSnapshotResponse());
  } else if (request.method == "GET" && path == "/v1/status") {
    reply(MakeStatusResponse());
  } else if (request.method == "GET" && path == "/v1/usage") {
    ReportUsage(request, reply);
  } else if (request.method == "GET" && path == "/v1/claims") {
    ReportClaim(request, reply);
  } else {
    reply(MakeErrorResponse(404, "no such resource"));
  }
}

void OperatorApi::AppendChange(const HttpRequest& request,
                               const HttpReply& reply) {
  Reason reason;
  const auto change = ParseChange(request.body, reason);
  if (!change) {
    reply(MakeErrorResponse(400, reason.text));
    return;
  }
  std::optional<ConfigVersion> expected;
  if (const auto text = QueryParameter(request, "expected")) {
    expected = ParseVersion(*text);
    if (!expected) {
      reply(MakeErrorResponse(400, "expected: allowed: a version number"));
      return;
    }
  }
  m_node.config().Append(*change, expected,
                         [reply](const ChangeResult& result) {
                           reply(MakeChangeResponse(result));
                         });
}

void OperatorApi::ReportUsage(const HttpRequest& request,
                              const HttpReply& reply) {
  const auto account = QueryParameter(request, "account");
  if (!account) {
    reply(MakeErrorResponse(400, "account is needed"));
    return;
  }
  m_worker.Post([this, id = ClientAccountId(*account), reply] {
    Reason reason;
    const auto usage = ReadUsage(m_table, id, reason);
    if (!usage) {
      reply(MakeErrorResponse(503, reason.text));
      return;
    }
    reply(JsonResponse(200, json{{"account", id.value()},
                                 {"ran", usage->ran},
                                 {"disputed", usage->disputed}}
                                .dump()));
  });
}

void OperatorApi::ReportClaim(const HttpRequest& request,
                              const HttpReply& reply) {
  const auto account = QueryParameter(request, "account");
  const auto key = QueryParameter(request, "key");
  if (!account || !key) {
    reply(MakeErrorResponse(400, "account and key are needed"));
    return;
  }
  const std::string row_key =
      ClaimRowKey(ClientAccountId(*account), IdempotencyKey(*key));
  m_worker.Post([this, row_key, reply] {
    const ReadResult result = m_table.Read({row_key});
    if (result.status != TableStatus::kOk) {
      reply(MakeErrorResponse(503,
                              "the platform's table service does not answer"));
      return;
    }
    if (result.rows.empty()) {
      reply(MakeErrorResponse(404, "no request with this key was accepted"));
      return;
    }
    Reason reason;
    const auto claim = ParseClaimRow(result.rows.front().value, reason);
    reply(claim ? JsonResponse(200, DescribeClaim(*claim))
                : MakeErrorResponse(
                      500, "the claim's row cannot be read: " + reason.text));
  });
}

HttpResponse OperatorApi::MakeSnapshotResponse() {
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/octet-stream"});
  response.body = EncodeSnapshot(m_node.config().state());
  return response;
}

HttpResponse OperatorApi::MakeStatusResponse() {
  const TimePoint now = m_loop.Now();
  json hosts = json::array();
  for (const HostRecord& host : m_node.membership().LiveHosts(now)) {
    hosts.push_back(HostToJson(host, "live"));
  }
  for (const HostRecord& host : m_node.membership().LeavingHosts(now)) {
    hosts.push_back(HostToJson(host, "leaving"));
  }
  const ConfigSync& config = m_node.config();
  const auto evidence = config.Evidence();
  json body = {
      {"host", m_node.membership().self().host.value()},
      {"config_version", config.state().version.value()},
      {"fresh", config.IsFresh()},
      {"config_age_ms", evidence ? json(ToMillis(evidence->age)) : json()},
      {"seats_owned", m_node.shares().OwnedCount()},
      {"seats_total", config.state().contract_share_count},
      {"hosts", std::move(hosts)}};
  return JsonResponse(200, body.dump());
}

}  // namespace applestand
