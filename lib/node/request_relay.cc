#include "lib/node/request_relay.h"

#include <algorithm>
#include <utility>

#include "lib/relay/host_call.h"

namespace applestand {

namespace {

constexpr int kOk = 200;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// The host that serves the request stops this long before its deadline, so that
// the response still arrives in time.
constexpr Duration kResponseMargin = std::chrono::milliseconds(10);

RelayedHeaders ToRelayedHeaders(const std::vector<HttpHeader>& headers) {
  RelayedHeaders out;
  for (const HttpHeader& header : headers) {
    out.emplace_back(header.name, header.value);
  }
  return out;
}

std::vector<HttpHeader> FromRelayedHeaders(const RelayedHeaders& headers) {
  std::vector<HttpHeader> out;
  for (const auto& [name, value] : headers) {
    out.push_back({name, value});
  }
  return out;
}

}  // namespace

RelayedExchange::RelayedExchange(std::shared_ptr<ServerExchange> carrier,
                                 RelayRequest request)
    : m_carrier(std::move(carrier)) {
  m_request.method = std::move(request.method);
  m_request.target = std::move(request.target);
  m_request.headers = FromRelayedHeaders(request.headers);
  m_request.body = std::move(request.body);
  m_request.peer = m_carrier->request().peer;
  m_terms.time_left = request.time_left;
  m_terms.attempts_left = request.attempts_left;
  m_terms.tried.insert(request.tried.begin(), request.tried.end());
  m_terms.service = request.service;
  m_terms.config = request.config;
  m_terms.config_age = request.config_age;
}

void RelayedExchange::Respond(const HttpResponse& response) {
  RelayResponse out;
  out.status = response.status;
  out.headers = ToRelayedHeaders(response.headers);
  out.body = response.body;
  out.target = m_target;
  out.target_incarnation = m_target_incarnation;
  out.no_target = m_no_target;
  Send(out);
}

void RelayedExchange::Decline(const std::string& reason) {
  RelayResponse out;
  out.declined = true;
  out.reason = reason;
  Send(out);
}

void RelayedExchange::Send(const RelayResponse& response) {
  HttpResponse carrier;
  carrier.headers.push_back({"Content-Type", "application/msgpack"});
  carrier.body = Encode(response);
  m_carrier->Respond(carrier);
}

RequestRelay::RequestRelay(Reactor& reactor,
                           HttpClientPool& http_client,
                           const FleetMembership& membership)
    : m_reactor(reactor),
      m_http_client(http_client),
      m_membership(membership),
      m_peers(membership.self().region) {}

std::optional<HostId> RequestRelay::ChoosePeer(
    const std::optional<std::vector<RegionId>>& regions,
    const std::set<HostId>& tried) {
  const TimePoint now = m_reactor.Now();
  const auto choose = [&](const std::vector<HostInfo>& hosts) {
    std::vector<RelayPeer> peers;
    for (const HostInfo& host : hosts) {
      if (m_membership.Find(host.id) != nullptr) {
        peers.push_back({host.id, host.region});
      }
    }
    return m_peers.Choose(peers, regions, tried, now);
  };
  // A hub that was avoided until a moment ago, and hosts that poll it, do not
  // know yet that the others are live.
  const auto live = choose(m_membership.LiveHosts(now));
  return live ? live : choose(m_membership.HostsWithRows());
}

std::unique_ptr<PendingCall> RequestRelay::Send(const HostId& peer,
                                                const HttpRequest& request,
                                                const RelayTerms& terms,
                                                Callback callback) {
  RelayRequest message;
  message.method = request.method;
  message.target = request.target;
  message.headers = ToRelayedHeaders(request.headers);
  message.body = request.body;
  message.time_left =
      std::max(terms.time_left - kResponseMargin, Duration::zero());
  message.attempts_left = terms.attempts_left;
  message.tried.assign(terms.tried.begin(), terms.tried.end());
  message.service = terms.service;
  message.config = terms.config;
  message.config_age = terms.config_age;
  const std::string& address = m_membership.Find(peer)->control_address;
  CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.call_timeout = terms.time_left;
  options.log_id = "relay";
  return CallHost(
      m_http_client, address, kRelayPath, Encode(message), options,
      [this, peer, callback = std::move(callback)](const CallResult& call) {
        callback(ReadResult(peer, call));
      });
}

RequestRelay::Result RequestRelay::ReadResult(const HostId& peer,
                                              const CallResult& call) {
  Result result;
  result.ran = call.ran;
  result.error = call.error;
  if (call.ran == Ran::kRan) {
    Reason reason;
    auto response = call.response.status == kOk
                        ? Decode<RelayResponse>(call.response.body, reason)
                        : std::nullopt;
    if (response && !response->declined) {
      result.response.status = response->status;
      result.response.headers = FromRelayedHeaders(response->headers);
      result.response.body = std::move(response->body);
      result.target = response->target;
      result.target_incarnation = response->target_incarnation;
      result.no_target = response->no_target;
      return result;
    }
    if (response) {
      result.ran = Ran::kNotRun;
      result.error = response->reason;
    } else {
      // A host of an earlier version does not know the call. Whether another
      // malformed response means that the request has run is not known.
      result.ran =
          call.response.status == kOk ? Ran::kMayHaveRun : Ran::kNotRun;
      result.error =
          "status " + std::to_string(call.response.status) + " " + reason.text;
    }
  }
  m_peers.OnFailed(peer, m_reactor.Now());
  return result;
}

}  // namespace applestand
