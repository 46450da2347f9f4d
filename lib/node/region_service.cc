#include "lib/node/region_service.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "lib/log/log.h"
#include "lib/node/region_messages.h"
#include "lib/relay/host_call.h"

namespace applestand {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

// Renews a delegation well before it expires, see
// DelegationRules::kDelegationLease.
constexpr Duration kPollPeriod = std::chrono::milliseconds(250);
// Minimum time between requests for the region's load. Tokens are also
// requested in between.
constexpr Duration kLoadPeriod = std::chrono::milliseconds(200);
// Minimum time between choices of the coordinator among the live hosts.
constexpr Duration kCoordinatorChoicePeriod = std::chrono::milliseconds(100);
// Maximum time for which a request waits for the coordinator: ten one-way
// delays within a region.
constexpr Duration kMaxWait = std::chrono::milliseconds(100);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(100);
constexpr Duration kCallTimeout = std::chrono::milliseconds(150);
// Tokens are requested ahead for the requests expected in this time. Granted
// tokens expire a little later.
constexpr double kPrefetchSeconds = 0.2;
constexpr Duration kGrantLifetime = std::chrono::milliseconds(400);
// Weight of the newest measurement in the moving average of an account's
// request rate, if kPrefetchSeconds have passed since the previous one.
constexpr double kRateSmoothing = 0.3;
constexpr uint32_t kMaxWantedTokens = 1000;
// Time in which a host that has started may give its start tokens to a
// coordinator.
constexpr Duration kStartTokensLifetime = std::chrono::seconds(2);
// If the coordinator grants fewer tokens than wanted, it is not asked for the
// account until it has more, but for no longer than this.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(200);

}  // namespace

RegionService::RegionService(Reactor& reactor,
                             HttpClientPool& http_client,
                             const FleetMembership& membership,
                             TargetSelector& selector,
                             const ShareBounds& bounds)
    : m_reactor(reactor),
      m_http_client(http_client),
      m_membership(membership),
      m_selector(selector),
      m_own_limiter(bounds),
      m_coordinator(bounds,
                    membership.self().id,
                    membership.self().incarnation),
      m_poll_timer(reactor),
      m_immediate_poll_timer(reactor) {}

RegionService::~RegionService() = default;

void RegionService::Start() {
  m_poll_timer.StartRepeating(kPollPeriod, [this] { PollCoordinator(); });
}

void RegionService::SetAccounts(std::shared_ptr<const ServingConfig> config) {
  m_config = std::move(config);
  const TimePoint now = m_reactor.Now();
  m_own_limiter.Prepare(m_config->accounts, now);
  m_coordinator.Prepare(m_config->accounts, now);
}

void RegionService::SetHosts(uint32_t hosts) {
  m_hosts = hosts;
  m_coordinator.SetHosts(hosts);
  UpdateOwnShare(m_reactor.Now());
}

void RegionService::Close() {
  m_closed = true;
  m_coordinator.Close(m_reactor.Now());
}

void RegionService::UpdateOwnShare(TimePoint now) {
  if (m_hosts == 0) {
    m_own_limiter.SetShare(0, now);
    return;
  }
  const bool pooled = m_delegation.IsDelegated(now) ||
                      ChooseCoordinator(now) == m_membership.self().id;
  m_own_limiter.SetShare(
      (pooled ? 1 - DelegationRules::kPooledFraction : 1) / m_hosts, now);
  if (!m_start_tokens_added && m_config != nullptr &&
      m_membership.ShareValid(now)) {
    m_start_tokens_added = true;
    AddStartTokens(now);
  }
}

void RegionService::AddStartTokens(TimePoint now) {
  m_own_limiter.AddStartTokens((1 - DelegationRules::kPooledFraction) /
                               m_hosts);
  if (ChooseCoordinator(now) == m_membership.self().id) {
    m_coordinator.AddStartTokens(now);
    return;
  }
  m_start_tokens_expire_at = now + kStartTokensLifetime;
  m_poll_after_stamp = true;
  PollSoon();
}

void RegionService::PollSoon() {
  m_immediate_poll_timer.Start(Duration::zero(), [this] { PollCoordinator(); });
}

const HostId& RegionService::ChooseCoordinator(TimePoint now) {
  if (m_closed) {
    m_coordinator_host = HostId();
  } else if (m_coordinator_host.empty() ||
             now - m_coordinator_chosen_at > kCoordinatorChoicePeriod) {
    m_coordinator_chosen_at = now;
    m_coordinator_host = m_membership.FirstInRegion(now);
  }
  return m_coordinator_host;
}

const ServingAccount* RegionService::FindAccount(
    const ClientAccountId& id) const {
  if (m_config == nullptr) {
    return nullptr;
  }
  const auto it = m_config->accounts.find(id);
  return it == m_config->accounts.end() ? nullptr : &it->second;
}

void RegionService::Acquire(const ServingAccount& account, Callback callback) {
  const TimePoint now = m_reactor.Now();
  AccountState& state = m_accounts[account.id];
  ++state.requests_since_poll;
  if (state.granted_tokens > 0 && now < state.granted_tokens_expire_at) {
    --state.granted_tokens;
    callback(std::nullopt);
    return;
  }
  state.granted_tokens = 0;
  UpdateOwnShare(now);
  if (ChooseCoordinator(now) == m_membership.self().id &&
      m_coordinator.Take(account, 1, now) == 1) {
    callback(std::nullopt);
    return;
  }
  if (m_own_limiter.Take(account, 1, now) == 1) {
    callback(std::nullopt);
    return;
  }
  if (ChooseCoordinator(now) == m_membership.self().id) {
    callback(std::min(m_own_limiter.WaitFor(account, now),
                      m_coordinator.WaitFor(account, now)));
    return;
  }
  if (now < state.retry_at || ChooseCoordinator(now).empty()) {
    callback(std::max(state.retry_at - now, kPollPeriod / 4));
    return;
  }
  state.waiters.push_back({std::move(callback), now});
  if (m_pending_poll == nullptr) {
    PollCoordinator();
  } else {
    m_poll_again = true;
  }
}

void RegionService::ReturnToken(const ClientAccountId& account) {
  AccountState& state = m_accounts[account];
  const TimePoint now = m_reactor.Now();
  if (now >= state.granted_tokens_expire_at) {
    state.granted_tokens = 0;
  }
  ++state.granted_tokens;
  state.granted_tokens_expire_at =
      std::max(state.granted_tokens_expire_at, now + kGrantLifetime / 2);
}

uint32_t RegionService::TokensToRequest(const ClientAccountId& id,
                                        AccountState& account,
                                        TimePoint now) {
  const double elapsed_s = std::max(ToSeconds(now - m_polled_at), 0.02);
  account.rate += std::min(1.0, kRateSmoothing * elapsed_s / kPrefetchSeconds) *
                  (account.requests_since_poll / elapsed_s - account.rate);
  account.requests_since_poll = 0;
  if (now >= account.granted_tokens_expire_at) {
    account.granted_tokens = 0;
  }
  const auto waiting = static_cast<uint32_t>(account.waiters.size());
  const auto prefetch = static_cast<uint32_t>(account.rate * kPrefetchSeconds);
  const uint32_t missing =
      prefetch > account.granted_tokens ? prefetch - account.granted_tokens : 0;
  const ServingAccount* configured = FindAccount(id);
  if (configured == nullptr || configured->rate <= 0 ||
      now < account.retry_at) {
    return waiting;
  }
  return std::min(kMaxWantedTokens, waiting + missing);
}

void RegionService::PollCoordinator() {
  const TimePoint now = m_reactor.Now();
  UpdateOwnShare(now);
  ExpireWaiters(now);
  const HostId coordinator = ChooseCoordinator(now);
  if (coordinator == m_membership.self().id) {
    const TargetCounts own = m_selector.InFlight();
    m_load_aggregator.OnReport(coordinator, own, now);
    m_selector.SetRegionLoad(m_load_aggregator.Totals(now), own, now);
    return;
  }
  if (m_pending_poll != nullptr || coordinator.empty()) {
    return;
  }
  const HostInfo* host = m_membership.Find(coordinator);
  if (host == nullptr) {
    return;
  }
  RegionRequest request;
  request.from = m_membership.self().id;
  for (auto& [id, account] : m_accounts) {
    if (const uint32_t wanted = TokensToRequest(id, account, now); wanted > 0) {
      request.wanted_tokens[id] = wanted;
    }
  }
  m_polled_at = now;
  m_poll_again = false;
  if (now - m_load_polled_at >= kLoadPeriod) {
    m_load_polled_at = now;
    request.in_flight = m_selector.InFlight();
  }
  if (m_membership.ShareValid(now)) {
    const bool was_delegated = m_delegation.IsDelegated(now);
    request.delegation = m_delegation.Delegate(coordinator, now);
    if (request.delegation && !was_delegated) {
      UpdateOwnShare(now);
    }
    if (request.delegation && now < m_start_tokens_expire_at) {
      m_start_tokens_expire_at = TimePoint::min();
      request.start_tokens = true;
    }
  }
  CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.call_timeout = kCallTimeout;
  options.log_id = "region-poll";
  m_pending_poll = CallHost(
      m_http_client, host->control_address, kRegionPath, Encode(request),
      options,
      [this, coordinator, own = request.in_flight.value_or(TargetCounts())](
          const CallResult& result) {
        OnCoordinatorResponse(coordinator, own, result);
      });
}

void RegionService::OnCoordinatorResponse(const HostId& coordinator,
                                          const TargetCounts& own,
                                          const CallResult& result) {
  m_pending_poll = nullptr;
  const TimePoint now = m_reactor.Now();
  Reason reason{result.error};
  std::optional<RegionResponse> response;
  if (result.ran == Ran::kRan && result.response.status == kOk) {
    response = Decode<RegionResponse>(result.response.body, reason);
  } else if (result.ran == Ran::kRan) {
    reason.text = "status " + std::to_string(result.response.status);
  }
  if (response) {
    ApplyResponse(*response, own, now);
  } else {
    LogEvent(Event::kBankUnreachable,
             {{"bank", coordinator}, {"reason", reason.text}});
  }
  // Waiters that get no token are told when to retry. Keeping them waiting
  // would poll the coordinator in a loop.
  for (auto& [id, account] : m_accounts) {
    const ServingAccount* configured = FindAccount(id);
    while (!account.waiters.empty()) {
      const bool after_poll = account.waiters.front().since > m_polled_at;
      if (account.granted_tokens == 0 && after_poll && response) {
        break;
      }
      const Waiter waiter = std::move(account.waiters.front());
      account.waiters.pop_front();
      if (account.granted_tokens > 0) {
        --account.granted_tokens;
        waiter.callback(std::nullopt);
      } else if (configured != nullptr &&
                 m_own_limiter.Take(*configured, 1, now) == 1) {
        waiter.callback(std::nullopt);
      } else {
        waiter.callback(std::max(account.retry_at - now, kPollPeriod / 4));
      }
    }
  }
  // The first response brings the stamp with which this host can delegate its
  // share and give its start tokens.
  const bool can_delegate =
      response && std::exchange(m_poll_after_stamp, false);
  if (m_poll_again || can_delegate) {
    PollSoon();
  }
}

void RegionService::ApplyResponse(const RegionResponse& response,
                                  const TargetCounts& own,
                                  TimePoint now) {
  if (response.released) {
    m_delegation.OnReleased(response.stamp.coordinator);
  } else {
    m_delegation.OnStamp(response.stamp, now);
  }
  if (response.in_flight) {
    m_selector.SetRegionLoad(*response.in_flight, own, now);
  }
  for (const auto& [id, grant] : response.grants) {
    AccountState& account = m_accounts[id];
    account.granted_tokens += grant.granted;
    account.granted_tokens_expire_at = now + kGrantLifetime;
    if (grant.wait > Duration::zero()) {
      account.retry_at = now + std::min(grant.wait, kMaxRetryDelay);
    }
  }
}

void RegionService::ExpireWaiters(TimePoint now) {
  for (auto& [id, account] : m_accounts) {
    while (!account.waiters.empty() &&
           now - account.waiters.front().since > kMaxWait) {
      const Waiter waiter = std::move(account.waiters.front());
      account.waiters.pop_front();
      waiter.callback(kPollPeriod);
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
  if (request->delegation &&
      m_coordinator.OnDelegation(request->from, *request->delegation, now) &&
      request->start_tokens) {
    m_coordinator.AddStartTokens(now);
  }
  RegionResponse region_response;
  region_response.stamp = m_coordinator.IssueStamp(now);
  region_response.released = m_closed;
  if (request->in_flight) {
    m_load_aggregator.OnReport(request->from, *request->in_flight, now);
    region_response.in_flight = m_load_aggregator.Totals(now);
  }
  if (!m_closed && m_membership.ShareValid(now)) {
    for (const auto& [id, wanted] : request->wanted_tokens) {
      const ServingAccount* account = FindAccount(id);
      if (account == nullptr) {
        continue;
      }
      RegionResponse::Grant& grant = region_response.grants[id];
      grant.granted = m_coordinator.Take(*account, wanted, now);
      if (grant.granted < wanted) {
        grant.wait = m_coordinator.WaitFor(*account, now);
      }
    }
  }
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/msgpack"});
  response.body = Encode(region_response);
  exchange->Respond(response);
}

}  // namespace applestand
