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
#include "lib/rpc/peer_caller.h"

namespace applestand {

/// Admits requests inside their accounts' contracts, keeping those that wait
/// for a loan, and carries loan messages.
/// Single-threaded: lives on the loop of `caller`.
class LimitService {
 public:
  struct Admission {
    bool admitted = false;
    Duration retry_after{};
  };
  using Done = std::function<void(Admission)>;

  LimitService(HostId self,
               Incarnation incarnation,
               EventLoop& loop,
               PeerCaller& caller);

  /// Decides on one request. `done` runs once, maybe before this returns.
  void Admit(const ClientAccountId& account, Done done);

  void SetConfig(const ConfigState& config);
  void SetHosts(const std::vector<HostRecord>& hosts);
  void ApplyGrant(const ShareGrant& grant);
  const ShareGrant& grant() const { return m_limiter.grant(); }

  /// Answers a loan request of another host; empty where it needs none.
  std::string OnLoanRequest(const std::string& payload);

  /// Borrows ahead and ends waits that are over. Call about every 25 ms.
  void Tick();

 private:
  struct Waiting {
    ClientAccountId account;
    TimePoint since;
    TimePoint until;
    Done done;
  };

  void RetryWaiting(const ClientAccountId& account);
  bool Retry(Waiting& waiting);
  void SendLoanRequests();
  void OnLoanReply(const RpcResult& result);

  const HostId m_self;
  EventLoop& m_loop;
  PeerCaller& m_caller;
  AccountLimiter m_limiter;
  std::map<HostId, std::string> m_addresses;
  std::list<Waiting> m_waiting;
};

}  // namespace applestand

#endif  // LIB_ENTRY_LIMIT_SERVICE_H_
