#include "lib/entry/limit_service.h"

#include <utility>

#include "lib/log/log.h"

namespace applestand {

namespace {

constexpr Duration kLoanTimeout = std::chrono::milliseconds(500);

}  // namespace

LimitService::LimitService(HostId self,
                           Incarnation incarnation,
                           EventLoop& loop,
                           PeerClient& peer_client)
    : m_self(self),
      m_loop(loop),
      m_peer_client(peer_client),
      m_limiter(std::move(self),
                incarnation,
                loop.Now(),
                AccountLimiter::Options()) {}

void LimitService::Admit(const ClientAccountId& account, Done done) {
  const TimePoint now = m_loop.Now();
  const LimitDecision decision = m_limiter.TryTake(account, now);
  switch (decision.kind) {
    case LimitDecision::Kind::kAdmitted:
      done({true, Duration::zero()});
      return;
    case LimitDecision::Kind::kRefused:
      done({false, decision.retry_after});
      return;
    case LimitDecision::Kind::kWaitForLoan:
      m_waiting.push_back({account, now, decision.wait_until, std::move(done)});
      SendLoanRequests();
      return;
  }
}

bool LimitService::Retry(WaitingRequest& waiting) {
  const LimitDecision decision =
      m_limiter.TryTake(waiting.account, m_loop.Now(), waiting.waiting_since);
  if (decision.kind == LimitDecision::Kind::kWaitForLoan) {
    waiting.retry_at = decision.wait_until;
    return false;
  }
  const bool admitted = decision.kind == LimitDecision::Kind::kAdmitted;
  m_loop.Post([done = std::move(waiting.done), admitted,
               retry_after = decision.retry_after] {
    done({admitted, retry_after});
  });
  return true;
}

void LimitService::RetryWaitingRequests(const ClientAccountId& account) {
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const bool finished = it->account == account && Retry(*it);
    it = finished ? m_waiting.erase(it) : std::next(it);
  }
}

void LimitService::Tick() {
  m_limiter.Tick(m_loop.Now());
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const bool finished = it->retry_at <= m_loop.Now() && Retry(*it);
    it = finished ? m_waiting.erase(it) : std::next(it);
  }
  SendLoanRequests();
}

void LimitService::SendLoanRequests() {
  for (const LoanMessage& message : m_limiter.TakeOutbox()) {
    const auto address = m_addresses.find(message.to);
    if (address == m_addresses.end()) {
      continue;
    }
    m_peer_client.Call(
        address->second, MessageKind::kLoan, Encode(message.request),
        kLoanTimeout, [this](const RpcResult& result) { OnLoanReply(result); });
  }
}

void LimitService::OnLoanReply(const RpcResult& result) {
  if (result.ran != Ran::kRan || result.payload.empty()) {
    return;
  }
  Reason reason;
  const auto reply = Decode<LoanReply>(result.payload, reason);
  if (!reply) {
    LogEvent(Event::kBadMessage, {{"reason", reason.text}});
    return;
  }
  if (const auto account = m_limiter.OnLoanReply(m_loop.Now(), *reply)) {
    RetryWaitingRequests(*account);
  }
}

std::string LimitService::OnLoanRequest(const std::string& payload) {
  Reason reason;
  const auto request = Decode<LoanRequest>(payload, reason);
  if (!request) {
    LogEvent(Event::kBadMessage, {{"reason", reason.text}});
    return "";
  }
  const auto reply = m_limiter.OnLoanRequest(m_loop.Now(), *request);
  return reply ? Encode(*reply) : std::string();
}

void LimitService::SetConfig(const ConfigState& config) {
  m_limiter.ApplyContracts(m_loop.Now(), config);
}

void LimitService::SetHosts(const std::vector<HostRecord>& hosts) {
  m_addresses.clear();
  std::vector<HostId> peers;
  for (const HostRecord& host : hosts) {
    if (host.host != m_self) {
      peers.push_back(host.host);
      m_addresses[host.host] = host.entry_address;
    }
  }
  m_limiter.SetPeers(peers);
}

void LimitService::ApplyGrant(const ShareGrant& grant) {
  m_limiter.ApplyGrant(m_loop.Now(), grant);
}

}  // namespace applestand
