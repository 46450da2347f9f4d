#ifndef LIB_NODE_NODE_HANDLERS_H_
#define LIB_NODE_NODE_HANDLERS_H_

// The handlers of a node's listeners. Included by node.cc only.

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lib/node/node.h"
#include "lib/relay/host_call.h"

namespace applestand {

// Time for which callers may cache the response to a lookup, unless
// NodeBounds::max_lookup_ttl is shorter.
constexpr Duration kLookupTtl = std::chrono::seconds(2);

/// Handles callers' requests.
class Node::CallerHandler : public RequestHandler {
 public:
  explicit CallerHandler(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    m_node.StartRequest(std::make_shared<SteeredRequest>(m_node, exchange));
  }
  std::string RequestId(const std::vector<HttpHeader>& headers) const override {
    HttpRequest request;
    request.headers = headers;
    return m_node.m_adapter.ReadRequestMetadata(request).request_id;
  }

 private:
  Node& m_node;
};

/// Handles lookups: tells callers which hosts to use.
class Node::LookupHandler : public RequestHandler {
 public:
  explicit LookupHandler(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    const auto query = m_node.m_adapter.ReadLookup(exchange->request());
    if (!query) {
      constexpr int kNotFound = 404;
      exchange->Respond(m_node.m_adapter.MakeLocalResponse(
          kNotFound, "no such call", "", std::nullopt));
      return;
    }
    exchange->Respond(m_node.m_adapter.MakeLookupResponse(
        m_node.LookupAddresses(*query),
        std::min(kLookupTtl, m_node.m_settings.bounds.max_lookup_ttl)));
  }

 private:
  Node& m_node;
};

/// Handles checks of whether this host accepts callers.
class Node::ReadinessHandler : public RequestHandler {
 public:
  explicit ReadinessHandler(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    constexpr int kOk = 200;
    constexpr int kNotFound = 404;
    constexpr int kUnavailable = 503;
    if (!m_node.m_adapter.IsReadyCheck(exchange->request())) {
      exchange->Respond(m_node.m_adapter.MakeLocalResponse(
          kNotFound, "no such call", "", std::nullopt));
      return;
    }
    const bool ready = !m_node.m_stop && m_node.HasCurrentConfig();
    exchange->Respond(m_node.m_adapter.MakeLocalResponse(
        ready ? kOk : kUnavailable, ready ? "ready" : "not ready", "",
        std::nullopt));
  }

 private:
  Node& m_node;
};

class Node::MetricsHandler : public RequestHandler {
 public:
  explicit MetricsHandler(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    HttpResponse response;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = m_node.m_metrics.Text(m_node.CollectGauges());
    exchange->Respond(response);
  }

 private:
  Node& m_node;
};

/// Handles requests of other hosts.
class Node::FleetHandler : public RequestHandler {
 public:
  explicit FleetHandler(Node& node) : m_node(node) {}
  void OnRequest(const std::shared_ptr<ServerExchange>& exchange) override {
    exchange->RepeatHeader(kCallIdHeader);
    if (exchange->request().target == RegionService::kRegionPath) {
      m_node.m_region.OnRequest(exchange);
    } else if (exchange->request().target == RequestRelay::kRelayPath) {
      OnRelayRequest(exchange);
    } else {
      m_node.m_fleet.OnRequest(exchange);
    }
  }

  /// Returns the number of requests of other hosts' callers that have no
  /// response yet.
  size_t CountOpenRelayedRequests() {
    ForgetEndedCarriers();
    return m_relay_carriers.size();
  }

 private:
  void ForgetEndedCarriers() {
    const auto ended = [](const std::weak_ptr<ServerExchange>& carrier) {
      const auto exchange = carrier.lock();
      return exchange == nullptr || exchange->responded() ||
             exchange->caller_disconnected();
    };
    m_relay_carriers.erase(
        std::remove_if(m_relay_carriers.begin(), m_relay_carriers.end(), ended),
        m_relay_carriers.end());
  }

  void OnRelayRequest(const std::shared_ptr<ServerExchange>& exchange) {
    constexpr int kBadRequest = 400;
    Reason reason;
    auto request = Decode<RelayRequest>(exchange->request().body, reason);
    if (!request) {
      LogEvent(Event::kBadMessage,
               {{"from", exchange->request().peer}, {"reason", reason.text}});
      exchange->Respond(JsonResponse(kBadRequest, "{}"));
      return;
    }
    const auto relayed =
        std::make_shared<RelayedExchange>(exchange, std::move(*request));
    if (m_node.m_stop) {
      relayed->Decline("host-leaves");
      return;
    }
    const RelayTerms& terms = relayed->terms();
    const ServingState serving =
        m_node.ServingAt(terms.config, terms.config_age);
    if (serving.config == nullptr || serving.incomplete_until) {
      relayed->Decline(serving.config == nullptr
                           ? "configuration-not-known"
                           : "configuration-may-be-incomplete");
      return;
    }
    ForgetEndedCarriers();
    m_relay_carriers.push_back(exchange);
    m_node.StartRequest(std::make_shared<SteeredRequest>(m_node, relayed));
  }

  Node& m_node;
  // The exchanges with other hosts that carry relayed requests.
  std::vector<std::weak_ptr<ServerExchange>> m_relay_carriers;
};

}  // namespace applestand

#endif  // LIB_NODE_NODE_HANDLERS_H_
