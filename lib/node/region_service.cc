#include "lib/node/region_service.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "lib/log/log.h"

namespace applestand {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

// A pledge is renewed well before it ends.
constexpr Duration kRefreshPeriod = std::chrono::milliseconds(250);
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

Json ToJson(const BankStamp& stamp) {
  return {{"bank", stamp.bank.value()},
          {"run", stamp.incarnation.value()},
          {"time_us", stamp.time_us}};
}

Json ToJson(const TargetCounts& counts) {
  Json out = Json::object();
  for (const auto& [target, count] : counts) {
    out[target.value()] = count;
  }
  return out;
}

TargetCounts CountsFrom(const Json& json) {
  TargetCounts counts;
  for (const auto& [target, count] : json.items()) {
    counts[TargetId(target)] = count.get<uint32_t>();
  }
  return counts;
}

BankStamp StampFrom(const Json& json) {
  return {HostId(json.at("bank").get<std::string>()),
          Incarnation(json.at("run").get<uint64_t>()),
          json.at("time_us").get<int64_t>()};
}

}  // namespace

RegionService::RegionService(Reactor& reactor,
                             HttpCaller& caller,
                             const Roster& roster,
                             TargetBoard& board,
                             const ShareBounds& bounds)
    : m_reactor(reactor),
      m_caller(caller),
      m_roster(roster),
      m_board(board),
      m_own(bounds),
      m_bank(bounds, roster.self().id, roster.self().incarnation),
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
    m_own.SetPart(0, now);
    return;
  }
  const bool pooled = m_pledge.Pledged(now) || Bank(now) == m_roster.self().id;
  m_own.SetPart((pooled ? 1 - BankRules::kPooledPart : 1) / m_hosts, now);
}

const HostId& RegionService::Bank(TimePoint now) {
  if (m_closed) {
    m_bank_host = HostId();
  } else if (m_bank_host.empty() || now - m_bank_chosen > kChoosePeriod) {
    m_bank_chosen = now;
    m_bank_host = m_roster.FirstInRegion(now);
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
  if (Bank(now) == m_roster.self().id && m_bank.Take(account, 1, now) == 1) {
    callback(std::nullopt);
    return;
  }
  if (m_own.Take(account, 1, now) == 1) {
    callback(std::nullopt);
    return;
  }
  if (Bank(now) == m_roster.self().id) {
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
  if (bank == m_roster.self().id) {
    const TargetCounts own = m_board.InFlight();
    m_load.OnReport(bank, own, now);
    m_board.SetRegionLoad(m_load.Totals(now), own, now);
    return;
  }
  if (m_call != nullptr || bank.empty()) {
    return;
  }
  const HostInfo* host = m_roster.Find(bank);
  if (host == nullptr) {
    return;
  }
  Json want = Json::object();
  for (auto& [id, account] : m_accounts) {
    if (const uint32_t wanted = Wanted(id, account, now); wanted > 0) {
      want[id.value()] = wanted;
    }
  }
  m_asked_at = now;
  m_ask_again = false;
  const TargetCounts own = m_board.InFlight();
  Json request = {{"from", m_roster.self().id.value()},
                  {"want", want},
                  {"in_flight", ToJson(own)}};
  if (m_roster.ShareValid(now)) {
    const bool was_pledged = m_pledge.Pledged(now);
    if (const auto stamp = m_pledge.Pledge(bank, now)) {
      request["pledge"] = ToJson(*stamp);
      if (!was_pledged) {
        UpdateOwnPart(now);
      }
    }
  }
  CallOptions options;
  options.connect_limit = kConnectLimit;
  options.time_limit = kAnswerLimit;
  const std::vector<HttpHeader> headers = {
      {"Host", host->control_address}, {"Content-Type", "application/json"}};
  m_call = m_caller.Call(
      host->control_address,
      SerializeRequest("POST", kRegionPath, headers, request.dump()), options,
      [this, bank, own](const CallResult& result) {
        OnAnswer(bank, own, result);
      });
}

void RegionService::OnAnswer(const HostId& bank,
                             const TargetCounts& own,
                             const CallResult& result) {
  m_call = nullptr;
  const TimePoint now = m_reactor.Now();
  std::string error = result.error;
  try {
    if (result.ran == Ran::kRan && result.response.status == kOk) {
      const Json reply = Json::parse(result.response.body);
      if (reply.at("released").get<bool>()) {
        m_pledge.OnReleased(bank);
      } else {
        m_pledge.OnStamp(StampFrom(reply.at("stamp")), now);
      }
      m_board.SetRegionLoad(CountsFrom(reply.at("in_flight")), own, now);
      for (const auto& [id, grant] : reply.at("grants").items()) {
        Account& account = m_accounts[ClientAccountId(id)];
        account.granted += grant.at("granted").get<uint32_t>();
        account.granted_until = now + kGrantLife;
        const Duration wait(grant.at("wait_us").get<int64_t>());
        if (wait > Duration::zero()) {
          account.retry_at = now + std::min(wait, kLongestPause);
        }
      }
    }
  } catch (const Json::exception& parse_error) {
    error = parse_error.what();
  }
  if (!error.empty()) {
    LogEvent(Event::kBankUnreachable, {{"bank", bank}, {"reason", error}});
  }
  // Whoever could not be served is told, rather than left to ask in a circle.
  for (auto& [id, account] : m_accounts) {
    const ServingAccount* known = Find(id);
    while (!account.waiters.empty()) {
      const bool newer = account.waiters.front().since > m_asked_at;
      if (account.granted == 0 && newer && error.empty()) {
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

void RegionService::OnRequest(const std::shared_ptr<Exchange>& exchange) {
  const TimePoint now = m_reactor.Now();
  try {
    const Json request = Json::parse(exchange->request().body);
    const HostId from(request.at("from").get<std::string>());
    if (request.contains("pledge")) {
      m_bank.OnPledge(from, StampFrom(request.at("pledge")), now);
    }
    m_load.OnReport(from, CountsFrom(request.at("in_flight")), now);
    const bool may_grant = !m_closed && m_roster.ShareValid(now);
    Json grants = Json::object();
    for (const auto& [id, want] : request.at("want").items()) {
      const ServingAccount* account = Find(ClientAccountId(id));
      if (account == nullptr || !may_grant) {
        continue;
      }
      const auto wanted = want.get<uint32_t>();
      const uint32_t granted = m_bank.Take(*account, wanted, now);
      const Duration wait =
          granted < wanted ? m_bank.WaitFor(*account, now) : Duration::zero();
      grants[id] = {{"granted", granted}, {"wait_us", wait.count()}};
    }
    const Json reply = {{"stamp", ToJson(m_bank.Stamp(now))},
                        {"released", m_closed},
                        {"grants", std::move(grants)},
                        {"in_flight", ToJson(m_load.Totals(now))}};
    exchange->Respond(JsonResponse(kOk, reply.dump()));
  } catch (const Json::exception& error) {
    LogEvent(Event::kBadMessage,
             {{"from", exchange->request().peer}, {"reason", error.what()}});
    exchange->Respond(JsonResponse(kBadRequest, "{}"));
  }
}

}  // namespace applestand
