#ifndef LIB_NODE_REQUEST_RELAY_H_
#define LIB_NODE_REQUEST_RELAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lib/fleet/fleet_membership.h"
#include "lib/node/relay_messages.h"
#include "lib/relay/caller_exchange.h"
#include "lib/relay/http_client_pool.h"
#include "lib/relay/http_listener.h"
#include "lib/steering/relay_peers.h"

namespace applestand {

/// How a relayed request may be processed; the fields are those of
/// RelayRequest.
struct RelayTerms {
  Duration time_left{};
  uint32_t attempts_left = 0;
  std::set<TargetId> tried;
  ServiceId service;
  ConfigVersion config;
  Duration config_age{};
};

/// A request that another host passed on. Its response goes back through that
/// host. Not thread-safe.
class RelayedExchange : public CallerExchange {
 public:
  RelayedExchange(std::shared_ptr<ServerExchange> carrier,
                  RelayRequest request);

  const HttpRequest& request() const override { return m_request; }
  TimePoint arrival_time() const override { return m_carrier->arrival_time(); }
  bool caller_disconnected() const override {
    return m_carrier->caller_disconnected();
  }
  void Respond(const HttpResponse& response) override;
  /// Sets the target that has given the response that Respond() will get.
  void SetResponder(const TargetId& target, Incarnation incarnation) {
    m_target = target;
    m_target_incarnation = incarnation;
  }
  void OnCallerDisconnect(
      std::function<void(const Disconnection&)> on_caller_disconnect) override {
    m_carrier->OnCallerDisconnect(std::move(on_caller_disconnect));
  }
  /// Says that the response that Respond() will get is a refusal for want of a
  /// target; see RelayResponse::no_target.
  void SetNoTarget() { m_no_target = true; }
  /// Responds that the request has been sent to no target, and that another
  /// host may serve it. Takes the place of Respond().
  void Decline(const std::string& reason);

  const RelayTerms& terms() const { return m_terms; }

 private:
  void Send(const RelayResponse& response);

  const std::shared_ptr<ServerExchange> m_carrier;
  HttpRequest m_request;
  RelayTerms m_terms;
  TargetId m_target;
  Incarnation m_target_incarnation;
  bool m_no_target = false;
};

/// Passes requests to other hosts while this host has no links to the targets.
/// Not thread-safe.
class RequestRelay {
 public:
  /// Path of RelayRequest at a host's fleet address.
  static constexpr const char* kRelayPath = "/fleet/relay";

  struct Result {
    /// kNotRun also if the host declined the request.
    Ran ran = Ran::kNotRun;
    /// Set if `ran` is kRan. Its status may say that the request was refused.
    HttpResponse response;
    std::string error;
    /// The target that gave the response; empty if the host did.
    TargetId target;
    Incarnation target_incarnation;
    /// The response is a refusal for want of a target. The request was sent to
    /// none, and another host may serve it.
    bool no_target = false;
  };
  using Callback = std::function<void(Result)>;

  /// All references must outlive this object.
  RequestRelay(Reactor& reactor,
               HttpClientPool& http_client,
               const FleetMembership& membership);

  /// Returns the host for a request, a live one if there is one; see
  /// RelayPeers::Choose().
  std::optional<HostId> ChoosePeer(
      const std::optional<std::vector<RegionId>>& regions,
      const std::set<HostId>& tried);
  /// Passes the request to `peer`. Destroying the result cancels it.
  /// Precondition: ChoosePeer() has just returned `peer`.
  [[nodiscard]] std::unique_ptr<PendingCall> Send(const HostId& peer,
                                                  const HttpRequest& request,
                                                  const RelayTerms& terms,
                                                  Callback callback);

 private:
  Result ReadResult(const HostId& peer, const CallResult& call);

  Reactor& m_reactor;
  HttpClientPool& m_http_client;
  const FleetMembership& m_membership;
  RelayPeers m_peers;
};

}  // namespace applestand

#endif  // LIB_NODE_REQUEST_RELAY_H_
