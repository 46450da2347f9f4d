#include "lib/routing/capacity_report.h"
#include "lib/routing/routing_algorithms_bench.h"

namespace applestand::bench {

namespace {

using std::chrono::milliseconds;

const ServiceId kDesk("desk");
constexpr Duration kProbeServiceTime = milliseconds(6);
constexpr uint64_t kBodyBytes = 2000;

PoolPolicy MakePoolPolicy() {
  return {};
}

}  // namespace

HomeHostSimulation::Entry::Entry(const HostId& id, const RegionId& region)
    : pool(MakePoolPolicy()),
      granter(id, {}),
      grants(id, Incarnation(1), region, {}),
      shares(region, {}),
      router(id, region, {}, grants, shares) {}

void HomeHostSimulation::Begin() {
  std::map<TargetId, Target> config;
  for (const auto& [id, target] : m_targets) {
    config[id] = target.config;
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const SimHost& host = m_hosts[i];
    const RegionId region(m_deployment.regions[host.location.region]);
    m_entries.push_back(std::make_unique<Entry>(host.id, region));
    m_entries[i]->config = config;
    m_entries[i]->live = LiveHosts();
    for (const std::string& other : m_deployment.regions) {
      m_entries[i]->granter.SetLink(
          RegionId(other), m_deployment.link_bytes_per_second,
          static_cast<uint32_t>(m_deployment.hosts[host.location.region]));
    }
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const int host = static_cast<int>(i);
    ApplyConfig(host);
    m_events.Every(milliseconds(10), [this, host] {
      ApplyDecisions(host, m_entries[host]->pool.Tick(m_events.now()));
    });
    m_events.Every(milliseconds(100), [this, host] {
      m_entries[host]->shares.Tick(m_events.now());
      Probe(host);
      RequestGrants(host);
    });
    m_events.Every(milliseconds(200), [this, host] { Broadcast(host); });
  }
}

void HomeHostSimulation::OnMembership() {
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const auto notification_delay =
        Duration(static_cast<int64_t>(m_random() % 200'000));
    m_events.After(notification_delay, [this, i] {
      m_entries[i]->live = LiveHosts();
      ApplyConfig(static_cast<int>(i));
    });
  }
}

void HomeHostSimulation::OnDrain(int host) {
  for (const auto& [id, target] : m_targets) {
    m_entries[host]->config[id] = target.config;
  }
  ApplyConfig(host);
}

void HomeHostSimulation::ApplyConfig(int host) {
  Entry& entry = *m_entries[host];
  HomeMap homes(entry.config, entry.live);
  const auto decisions =
      entry.pool.SetTargets(homes.TargetsOf(m_hosts[host].id), m_events.now());
  entry.router.SetHomes(std::move(homes));
  ApplyDecisions(host, decisions);
}

void HomeHostSimulation::Arrive(Request& request) {
  RouteQuery query{kDesk};
  query.request_hash = m_random();
  query.body_bytes = kBodyBytes;
  Attempt(request, query);
}

void HomeHostSimulation::Attempt(Request& request, RouteQuery query) {
  Entry& entry = *m_entries[request.host];
  entry.router.OnReport(MakeHostReport(request.host), m_events.now());
  RouteRefusal refusal;
  const auto choice = entry.router.Choose(query, m_events.now(), refusal);
  if (!choice) {
    return End(request, false);
  }
  m_result.cross_region += choice->remote && request.measured ? 1 : 0;
  const int home = IndexOf(choice->home);
  const Job job{request.id, request.account,  request.host,    home,
                *choice,    std::move(query), request.deadline};
  m_events.After(
      DelayBetween(m_hosts[job.from].location, m_hosts[home].location),
      [this, job] { OnArrivalAtHome(job); });
}

void HomeHostSimulation::OnArrivalAtHome(const Job& job) {
  if (!m_hosts[job.home].alive) {
    return ReturnResult(job, AttemptEnd::kNoResponse, false);
  }
  SetCapacity(job.home);
  Entry& entry = *m_entries[job.home];
  const HostId& from = m_hosts[job.from].id;
  if (job.choice.remote && !entry.granter.Admit(from, kDesk, m_events.now())) {
    return ReturnResult(job, AttemptEnd::kRefused, false);
  }
  const DispatchId id(++m_last_dispatch);
  m_jobs[id] = job;
  const ClientAccountId account(std::to_string(job.account));
  const double weight = ContractFraction(job.account);
  ApplyDecisions(job.home, entry.pool.Submit(
                               {id, kDesk, account, weight, job.deadline, {}},
                               m_events.now()));
}

void HomeHostSimulation::ApplyDecisions(
    int home,
    const std::vector<PoolDecision>& decisions) {
  for (const PoolDecision& decision : decisions) {
    if (const auto* start = std::get_if<Start>(&decision)) {
      CallTarget(home, *start);
    } else if (const auto* refused = std::get_if<Refused>(&decision)) {
      ReturnResult(TakeJob(refused->id), AttemptEnd::kRefused, false);
    }
  }
}

void HomeHostSimulation::CallTarget(int home, const Start& start) {
  const DispatchId id = start.id;
  Call(m_hosts[home].location, m_targets.at(start.target),
       [this, home, id](CallOutcome call_outcome) {
         if (m_hosts[home].alive) {
           OnTargetResponse(home, id, call_outcome);
         }
       });
}

void HomeHostSimulation::OnTargetResponse(int home,
                                          DispatchId id,
                                          CallOutcome call_outcome) {
  const Job job = TakeJob(id);
  const TargetOutcome outcome =
      call_outcome == CallOutcome::kServed ? TargetOutcome::kServed
      : call_outcome == CallOutcome::kShed ? TargetOutcome::kShed
                                           : TargetOutcome::kFailed;
  ApplyDecisions(home, m_entries[home]->pool.OnFinished(
                           id, outcome, std::nullopt, m_events.now()));
  const bool not_run = call_outcome == CallOutcome::kShed ||
                       call_outcome == CallOutcome::kUnreachable;
  ReturnResult(job, not_run ? AttemptEnd::kRefused : AttemptEnd::kAccepted,
               call_outcome == CallOutcome::kServed);
}

void HomeHostSimulation::ReturnResult(const Job& job,
                                      AttemptEnd end,
                                      bool served) {
  const auto report = end == AttemptEnd::kNoResponse
                          ? std::nullopt
                          : std::make_optional(MakeHostReport(job.home));
  m_events.After(
      DelayBetween(m_hosts[job.home].location, m_hosts[job.from].location),
      [this, job, end, served, report] {
        Request* request = Find(job.request);
        if (request == nullptr) {
          return;
        }
        Router& router = m_entries[job.from]->router;
        if (report) {
          router.OnReport(*report, m_events.now());
        }
        router.OnAttemptEnd(kDesk, job.choice, end, m_events.now());
        const bool retry = !served && end != AttemptEnd::kAccepted &&
                           m_events.now() < request->deadline;
        if (!retry) {
          return End(*request, served);
        }
        RouteQuery query = job.query;
        query.tried.push_back(job.choice.home);
        Attempt(*request, query);
      });
}

void HomeHostSimulation::Broadcast(int host) {
  if (!m_hosts[host].alive) {
    return;
  }
  const CapacityReport report = MakeHostReport(host);
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    m_events.After(DelayBetween(m_hosts[host].location, m_hosts[i].location),
                   [this, i, report] {
                     m_entries[i]->router.OnReport(report, m_events.now());
                   });
  }
}

void HomeHostSimulation::Probe(int host) {
  if (!m_hosts[host].alive) {
    return;
  }
  for (const Target& due : m_entries[host]->pool.DueProbes(m_events.now())) {
    const SimTarget& target = m_targets.at(due.id);
    const double load =
        target.underreports_load
            ? 0.0
            : static_cast<double>(target.in_flight) / target.config.slots;
    const ProbeResult result{due.id, target.alive, false, load};
    const Duration delay =
        2 * DelayBetween(m_hosts[host].location, target.location) +
        kProbeServiceTime;
    m_events.After(delay, [this, host, result] {
      ApplyDecisions(host,
                     m_entries[host]->pool.OnProbe(result, m_events.now()));
    });
  }
}

void HomeHostSimulation::RequestGrants(int host) {
  if (!m_hosts[host].alive) {
    return;
  }
  for (const auto& out : m_entries[host]->grants.DueRequests(m_events.now())) {
    const int granter = IndexOf(out.to);
    const GrantRequest request = out.request;
    const Duration delay =
        DelayBetween(m_hosts[host].location, m_hosts[granter].location);
    m_events.After(delay, [this, host, granter, request, delay] {
      const auto reply = Grant(granter, request);
      if (!reply) {
        return;
      }
      m_events.After(delay, [this, host, reply] {
        m_entries[host]->grants.OnReply(*reply, m_events.now());
      });
    });
  }
}

std::optional<GrantReply> HomeHostSimulation::Grant(
    int granter,
    const GrantRequest& request) {
  if (!m_hosts[granter].alive) {
    return std::nullopt;
  }
  SetCapacity(granter);
  return m_entries[granter]->granter.OnRequest(request, m_events.now());
}

void HomeHostSimulation::SetCapacity(int host) {
  Entry& entry = *m_entries[host];
  const PoolLoad load = entry.pool.LoadOf(kDesk, m_events.now());
  const uint32_t used = load.in_flight + load.queued;
  const uint32_t foreign = entry.granter.ForeignInFlight(kDesk);
  entry.granter.SetCapacity(kDesk,
                            {load.allowed, used - foreign, load.service_time});
}

HomeHostSimulation::Job HomeHostSimulation::TakeJob(DispatchId id) {
  const auto found = m_jobs.find(id);
  Job job = found->second;
  m_jobs.erase(found);
  if (job.choice.remote) {
    m_entries[job.home]->granter.Release(m_hosts[job.from].id, kDesk);
  }
  return job;
}

CapacityReport HomeHostSimulation::MakeHostReport(int host) {
  Entry& entry = *m_entries[host];
  return MakeCapacityReport(entry.pool, m_hosts[host].id, Incarnation(1),
                            ++entry.sequence, m_events.now());
}

int HomeHostSimulation::IndexOf(const HostId& id) const {
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i].id == id) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

}  // namespace applestand::bench
