#ifndef LIB_ENTRY_LIMIT_SERVICE_H_
#define LIB_ENTRY_LIMIT_SERVICE_H_

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/limits/account_limiter.h"
#include "lib/membership/messages.h"
#include "lib/rpc/peer_client.h"

namespace applestand {

/// Admits requests within the contracts of their client accounts. Holds the
/// requests that wait for a loan of tokens by another host, and exchanges the
/// loan messages with the other hosts. Not thread-safe; all calls must come
/// from the event loop, on which `peer_client` must run its callbacks.
class LimitService {
 public:
  struct Admission {
    bool admitted = false;
    Duration retry_after{};
  };
  using Done = std::function<void(Admission)>;

  /// Precondition: `incarnation` was never used by this host before. `loop` and
  /// `peer_client` must outlive this object.
  LimitService(HostId self,
               Incarnation incarnation,
               EventLoop& loop,
               PeerClient& peer_client);

  /// Decides on one request. Calls `done` exactly once, possibly before this
  /// method returns.
  void Admit(const ClientAccountId& account, Done done);

  /// Applies the contracts of a configuration.
  void SetConfig(const ConfigState& config);
  /// Sets the live hosts, which may be asked for loans. May include this host.
  void SetHosts(const std::vector<HostRecord>& hosts);
  /// Applies a grant of contract shares (equal parts of every contract, each
  /// held under a lease) by the control process.
  void ApplyGrant(const ShareGrant& grant);
  /// Returns the grant in force.
  const ShareGrant& grant() const { return m_limiter.grant(); }

  /// Handles an encoded LoanRequest of another host. Returns the encoded reply,
  /// or an empty string if no reply is needed or the payload is malformed.
  std::string OnLoanRequest(const std::string& payload);

  /// Borrows tokens for expected demand, and retries or rejects the requests
  /// whose wait has ended. Must be called about every 25 ms.
  void Tick();

 private:
  struct WaitingRequest {
    ClientAccountId account;
    TimePoint waiting_since;
    TimePoint retry_at;
    Done done;
  };

  void RetryWaitingRequests(const ClientAccountId& account);
  /// Returns whether the request was decided and must be removed.
  bool Retry(WaitingRequest& waiting);
  void SendLoanRequests();
  void OnLoanReply(const RpcResult& result);

  const HostId m_self;
  EventLoop& m_loop;
  PeerClient& m_peer_client;
  AccountLimiter m_limiter;
  std::map<HostId, std::string> m_addresses;
  std::list<WaitingRequest> m_waiting;
};

}  // namespace applestand

#endif  // LIB_ENTRY_LIMIT_SERVICE_H_
