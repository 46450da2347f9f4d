#include "lib/node/region_service.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "lib/log/log.h"
#include "lib/node/region_messages.h"

namespace applestand {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

// A pledge is renewed well before it ends.
constexpr Duration kRefreshPeriod = std::chrono::milliseconds(250);
// How often the region's load is asked for. Grants are asked for in between.
constexpr Duration kLoadPeriod = std::chrono::milliseconds(200);
// How often the hosts that live are looked at.
constexpr Duration kChoosePeriod = std::chrono::milliseconds(100);
// A request waits no longer for the bank: ten ways within a region.
constexpr Duration kLongestWait = std::chrono::milliseconds(100);
constexpr Duration kConnectLimit = std::chrono::milliseconds(100);
constexpr Duration kAnswerLimit = std::chrono::milliseconds(150);
// Time for which requests are asked for ahead; grants lapse a bit later.
constexpr double kAheadSeconds = 0.2;
constexpr Duration kGrantLife = std::chrono::milliseconds(400);
constexpr double kRateGain = 0.3;
constexpr uint32_t kMaxWant = 1000;
// After a refusal the bank is not asked for the account before it has more.
constexpr Duration kLongestPause = std::chrono::milliseconds(200);

}  // namespace

RegionService::RegionService(Reactor& reactor,
                             HttpClientPool& caller,
                             const FleetMembership& membership,
                             TargetSelector& board,
                             const ShareBounds& bounds)
    : m_reactor(reactor),
      m_caller(caller),
      m_membership(membership),
      m_board(board),
      m_own(bounds),
      m_bank(bounds, membership.self().id, membership.self().incarnation),
      m_refresh(reactor),
      m_soon(reactor) {}

RegionService::~RegionService() = default;

void RegionService::Start() {
  m_refresh.StartRepeating(kRefreshPeriod, [this] { AskBank(); });
}

void RegionService::SetAccounts(std::shared_ptr<const ServingConfig> config) {
  m_config = std::move(config);
  const TimePoint now = m_reactor.Now();
  m_own.Prepare(m_config->accounts, now);
  m_bank.Prepare(m_config->accounts, now);
}

void RegionService::SetHosts(uint32_t hosts) {
  m_hosts = hosts;
  m_bank.SetHosts(hosts);
  UpdateOwnPart(m_reactor.Now());
}

void RegionService::Close() {
  m_closed = true;
  m_bank.Close(m_reactor.Now());
}

void RegionService::UpdateOwnPart(TimePoint now) {
  if (m_hosts == 0) {
    m_own.SetShare(0, now);
    return;
  }
  const bool pooled =
      m_pledge.IsDelegated(now) || Bank(now) == m_membership.self().id;
  m_own.SetShare((pooled ? 1 - DelegationRules::kPooledFraction : 1) / m_hosts,
                 now);
}

const HostId& RegionService::Bank(TimePoint now) {
  if (m_closed) {
    m_bank_host = HostId();
  } else if (m_bank_host.empty() || now - m_bank_chosen > kChoosePeriod) {
    m_bank_chosen = now;
    m_bank_host = m_membership.FirstInRegion(now);
  }
  return m_bank_host;
}

const ServingAccount* RegionService::Find(const ClientAccountId& id) const {
  if (m_config == nullptr) {
    return nullptr;
  }
  const auto it = m_config->accounts.find(id);
  return it == m_config->accounts.end() ? nullptr : &it->second;
}

void RegionService::Acquire(const ServingAccount& account, Callback callback) {
  const TimePoint now = m_reactor.Now();
  Account& state = m_accounts[account.id];
  ++state.came;
  if (state.granted > 0 && now < state.granted_until) {
    --state.granted;
    callback(std::nullopt);
    return;
  }
  state.granted = 0;
  UpdateOwnPart(now);
  if (Bank(now) == m_membership.self().id &&
      m_bank.Take(account, 1, now) == 1) {
    callback(std::nullopt);
    return;
  }
  if (m_own.Take(account, 1, now) == 1) {
    callback(std::nullopt);
    return;
  }
  if (Bank(now) == m_membership.self().id) {
    callback(
        std::min(m_own.WaitFor(account, now), m_bank.WaitFor(account, now)));
    return;
  }
  if (now < state.retry_at || Bank(now).empty()) {
    callback(std::max(state.retry_at - now, kRefreshPeriod / 4));
    return;
  }
  state.waiters.push_back({std::move(callback), now});
  if (m_call == nullptr) {
    AskBank();
  } else {
    m_ask_again = true;
  }
}

void RegionService::GiveBack(const ClientAccountId& account) {
  Account& state = m_accounts[account];
  const TimePoint now = m_reactor.Now();
  if (now >= state.granted_until) {
    state.granted = 0;
  }
  ++state.granted;
  state.granted_until = std::max(state.granted_until, now + kGrantLife / 2);
}

uint32_t RegionService::Wanted(const ClientAccountId& id,
                               Account& account,
                               TimePoint now) {
  const double elapsed_s = std::max(ToSeconds(now - m_asked_at), 0.02);
  account.rate += std::min(1.0, kRateGain * elapsed_s / kAheadSeconds) *
                  (account.came / elapsed_s - account.rate);
  account.came = 0;
  if (now >= account.granted_until) {
    account.granted = 0;
  }
  const auto waiting = static_cast<uint32_t>(account.waiters.size());
  const auto ahead = static_cast<uint32_t>(account.rate * kAheadSeconds);
  const uint32_t missing =
      ahead > account.granted ? ahead - account.granted : 0;
  const ServingAccount* known = Find(id);
  if (known == nullptr || known->rate <= 0 || now < account.retry_at) {
    return waiting;
  }
  return std::min(kMaxWant, waiting + missing);
}

void RegionService::AskBank() {
  const TimePoint now = m_reactor.Now();
  UpdateOwnPart(now);
  Settle(now);
  const HostId bank = Bank(now);
  if (bank == m_membership.self().id) {
    const TargetCounts own = m_board.InFlight();
    m_load.OnReport(bank, own, now);
    m_board.SetRegionLoad(m_load.Totals(now), own, now);
    return;
  }
  if (m_call != nullptr || bank.empty()) {
    return;
  }
  const HostInfo* host = m_membership.Find(bank);
  if (host == nullptr) {
    return;
  }
  RegionRequest request;
  request.from = m_membership.self().id;
  for (auto& [id, account] : m_accounts) {
    if (const uint32_t wanted = Wanted(id, account, now); wanted > 0) {
      request.want[id] = wanted;
    }
  }
  m_asked_at = now;
  m_ask_again = false;
  if (now - m_load_asked_at >= kLoadPeriod) {
    m_load_asked_at = now;
    request.in_flight = m_board.InFlight();
  }
  if (m_membership.ShareValid(now)) {
    const bool was_pledged = m_pledge.IsDelegated(now);
    request.pledge = m_pledge.Delegate(bank, now);
    if (request.pledge && !was_pledged) {
      UpdateOwnPart(now);
    }
  }
  CallOptions options;
  options.connect_timeout = kConnectLimit;
  options.call_timeout = kAnswerLimit;
  const std::vector<HttpHeader> headers = {
      {"Host", host->control_address}, {"Content-Type", "application/msgpack"}};
  m_call = m_caller.Call(
      host->control_address,
      SerializeRequest("POST", kRegionPath, headers, Encode(request)), options,
      [this, bank, own = request.in_flight.value_or(TargetCounts())](
          const CallResult& result) { OnAnswer(bank, own, result); });
}

void RegionService::OnAnswer(const HostId& bank,
                             const TargetCounts& own,
                             const CallResult& result) {
  m_call = nullptr;
  const TimePoint now = m_reactor.Now();
  Reason reason{result.error};
  std::optional<RegionReply> reply;
  if (result.ran == Ran::kRan && result.response.status == kOk) {
    reply = Decode<RegionReply>(result.response.body, reason);
  } else if (result.ran == Ran::kRan) {
    reason.text = "status " + std::to_string(result.response.status);
  }
  if (reply) {
    Take(*reply, own, now);
  } else {
    LogEvent(Event::kBankUnreachable,
             {{"bank", bank}, {"reason", reason.text}});
  }
  // Whoever could not be served is told, rather than left to ask in a circle.
  for (auto& [id, account] : m_accounts) {
    const ServingAccount* known = Find(id);
    while (!account.waiters.empty()) {
      const bool newer = account.waiters.front().since > m_asked_at;
      if (account.granted == 0 && newer && reply) {
        break;
      }
      const Waiter waiter = std::move(account.waiters.front());
      account.waiters.pop_front();
      if (account.granted > 0) {
        --account.granted;
        waiter.callback(std::nullopt);
      } else if (known != nullptr && m_own.Take(*known, 1, now) == 1) {
        waiter.callback(std::nullopt);
      } else {
        waiter.callback(std::max(account.retry_at - now, kRefreshPeriod / 4));
      }
    }
  }
  if (m_ask_again) {
    m_soon.Start(Duration::zero(), [this] { AskBank(); });
  }
}

void RegionService::Take(const RegionReply& reply,
                         const TargetCounts& own,
                         TimePoint now) {
  if (reply.released) {
    m_pledge.OnReleased(reply.stamp.coordinator);
  } else {
    m_pledge.OnStamp(reply.stamp, now);
  }
  if (reply.in_flight) {
    m_board.SetRegionLoad(*reply.in_flight, own, now);
  }
  for (const auto& [id, grant] : reply.grants) {
    Account& account = m_accounts[id];
    account.granted += grant.granted;
    account.granted_until = now + kGrantLife;
    if (grant.wait > Duration::zero()) {
      account.retry_at = now + std::min(grant.wait, kLongestPause);
    }
  }
}

void RegionService::Settle(TimePoint now) {
  for (auto& [id, account] : m_accounts) {
    while (!account.waiters.empty() &&
           now - account.waiters.front().since > kLongestWait) {
      const Waiter waiter = std::move(account.waiters.front());
      account.waiters.pop_front();
      waiter.callback(kRefreshPeriod);
    }
  }
}

void RegionService::OnRequest(const std::shared_ptr<ServerExchange>& exchange) {
  const TimePoint now = m_reactor.Now();
  Reason reason;
  const auto request = Decode<RegionRequest>(exchange->request().body, reason);
  if (!request) {
    LogEvent(Event::kBadMessage,
             {{"from", exchange->request().peer}, {"reason", reason.text}});
    exchange->Respond(JsonResponse(kBadRequest, "{}"));
    return;
  }
  if (request->pledge) {
    m_bank.OnDelegation(request->from, *request->pledge, now);
  }
  RegionReply reply;
  reply.stamp = m_bank.IssueStamp(now);
  reply.released = m_closed;
  if (request->in_flight) {
    m_load.OnReport(request->from, *request->in_flight, now);
    reply.in_flight = m_load.Totals(now);
  }
  if (!m_closed && m_membership.ShareValid(now)) {
    for (const auto& [id, wanted] : request->want) {
      const ServingAccount* account = Find(id);
      if (account == nullptr) {
        continue;
      }
      RegionReply::Grant& grant = reply.grants[id];
      grant.granted = m_bank.Take(*account, wanted, now);
      if (grant.granted < wanted) {
        grant.wait = m_bank.WaitFor(*account, now);
      }
    }
  }
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/msgpack"});
  response.body = Encode(reply);
  exchange->Respond(response);
}

}  // namespace applestand
