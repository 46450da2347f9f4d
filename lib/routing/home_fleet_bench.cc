#include "lib/routing/fleets_bench.h"
#include "lib/routing/report.h"

namespace applestand::bench {

namespace {

using std::chrono::milliseconds;

const ServiceId kDesk("desk");
constexpr Duration kProbeTime = milliseconds(6);
constexpr uint64_t kBodyBytes = 2000;

PoolPolicy MakePoolPolicy() {
  return {};
}

}  // namespace

HomeHostFleet::Entry::Entry(const HostId& id, const RegionId& region)
    : pool(MakePoolPolicy()),
      granter(id, {}),
      grants(id, Incarnation(1), region, {}),
      shares(region, {}),
      router(id, region, {}, grants, shares) {}

void HomeHostFleet::Begin() {
  std::map<TargetId, Target> config;
  for (const auto& [id, target] : m_targets) {
    config[id] = target.config;
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const SimHost& host = m_hosts[i];
    const RegionId region(m_site.regions[host.place.region]);
    m_entries.push_back(std::make_unique<Entry>(host.id, region));
    m_entries[i]->config = config;
    m_entries[i]->live = LiveHosts();
    for (const std::string& other : m_site.regions) {
      m_entries[i]->granter.SetLink(
          RegionId(other), m_site.link_bytes_per_second,
          static_cast<uint32_t>(m_site.hosts[host.place.region]));
    }
  }
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const int host = static_cast<int>(i);
    ApplyConfig(host);
    m_events.Every(milliseconds(10), [this, host] {
      Carry(host, m_entries[host]->pool.Tick(m_events.now()));
    });
    m_events.Every(milliseconds(100), [this, host] {
      m_entries[host]->shares.Tick(m_events.now());
      Probe(host);
      Lend(host);
    });
    m_events.Every(milliseconds(200), [this, host] { Broadcast(host); });
  }
}

void HomeHostFleet::OnMembership() {
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    const auto heard = Duration(static_cast<int64_t>(m_random() % 200'000));
    m_events.After(heard, [this, i] {
      m_entries[i]->live = LiveHosts();
      ApplyConfig(static_cast<int>(i));
    });
  }
}

void HomeHostFleet::OnLeaving(int host) {
  for (const auto& [id, target] : m_targets) {
    m_entries[host]->config[id] = target.config;
  }
  ApplyConfig(host);
}

void HomeHostFleet::ApplyConfig(int host) {
  Entry& entry = *m_entries[host];
  HomeMap homes(entry.config, entry.live);
  const auto decisions =
      entry.pool.SetTargets(homes.TargetsOf(m_hosts[host].id), m_events.now());
  entry.router.SetHomes(std::move(homes));
  Carry(host, decisions);
}

void HomeHostFleet::Arrive(Request& request) {
  RouteQuery query{kDesk};
  query.request_hash = m_random();
  query.body_bytes = kBodyBytes;
  Attempt(request, query);
}

void HomeHostFleet::Attempt(Request& request, RouteQuery query) {
  Entry& entry = *m_entries[request.host];
  entry.router.OnReport(ReportOf(request.host), m_events.now());
  RouteRefusal refusal;
  const auto choice = entry.router.Choose(query, m_events.now(), refusal);
  if (!choice) {
    return End(request, false);
  }
  m_result.between_regions += choice->remote && request.measured ? 1 : 0;
  const int home = IndexOf(choice->home);
  const Job job{request.id, request.account,  request.host,    home,
                *choice,    std::move(query), request.deadline};
  m_events.After(DelayBetween(m_hosts[job.from].place, m_hosts[home].place),
                 [this, job] { AtHome(job); });
}

void HomeHostFleet::AtHome(const Job& job) {
  if (!m_hosts[job.home].alive) {
    return Back(job, AttemptEnd::kSilent, false);
  }
  SetCapacity(job.home);
  Entry& entry = *m_entries[job.home];
  const HostId& from = m_hosts[job.from].id;
  if (job.choice.remote && !entry.granter.Admit(from, kDesk, m_events.now())) {
    return Back(job, AttemptEnd::kRefused, false);
  }
  const DispatchId id(++m_last_dispatch);
  m_jobs[id] = job;
  const ClientAccountId account(std::to_string(job.account));
  const double weight = ContractPart(job.account);
  Carry(job.home,
        entry.pool.Submit({id, kDesk, account, weight, job.deadline, {}},
                          m_events.now()));
}

void HomeHostFleet::Carry(int home,
                          const std::vector<PoolDecision>& decisions) {
  for (const PoolDecision& decision : decisions) {
    if (const auto* start = std::get_if<Start>(&decision)) {
      CallTarget(home, *start);
    } else if (const auto* refused = std::get_if<Refused>(&decision)) {
      Back(TakeJob(refused->id), AttemptEnd::kRefused, false);
    }
  }
}

void HomeHostFleet::CallTarget(int home, const Start& start) {
  const DispatchId id = start.id;
  Call(m_hosts[home].place, m_targets.at(start.target),
       [this, home, id](Answer answer) {
         if (m_hosts[home].alive) {
           OnAnswer(home, id, answer);
         }
       });
}

void HomeHostFleet::OnAnswer(int home, DispatchId id, Answer answer) {
  const Job job = TakeJob(id);
  const TargetOutcome outcome =
      answer == Answer::kServed ? TargetOutcome::kServed
      : answer == Answer::kShed ? TargetOutcome::kShed
                                : TargetOutcome::kFailed;
  Carry(home, m_entries[home]->pool.OnFinished(id, outcome, std::nullopt,
                                               m_events.now()));
  const bool not_run =
      answer == Answer::kShed || answer == Answer::kUnreachable;
  Back(job, not_run ? AttemptEnd::kRefused : AttemptEnd::kTaken,
       answer == Answer::kServed);
}

void HomeHostFleet::Back(const Job& job, AttemptEnd end, bool served) {
  const auto report = end == AttemptEnd::kSilent
                          ? std::nullopt
                          : std::make_optional(ReportOf(job.home));
  m_events.After(DelayBetween(m_hosts[job.home].place, m_hosts[job.from].place),
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
                   const bool again = !served && end != AttemptEnd::kTaken &&
                                      m_events.now() < request->deadline;
                   if (!again) {
                     return End(*request, served);
                   }
                   RouteQuery query = job.query;
                   query.tried.push_back(job.choice.home);
                   Attempt(*request, query);
                 });
}

void HomeHostFleet::Broadcast(int host) {
  if (!m_hosts[host].alive) {
    return;
  }
  const CapacityReport report = ReportOf(host);
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    m_events.After(DelayBetween(m_hosts[host].place, m_hosts[i].place),
                   [this, i, report] {
                     m_entries[i]->router.OnReport(report, m_events.now());
                   });
  }
}

void HomeHostFleet::Probe(int host) {
  if (!m_hosts[host].alive) {
    return;
  }
  for (const Target& due : m_entries[host]->pool.DueProbes(m_events.now())) {
    const SimTarget& target = m_targets.at(due.id);
    const double load = target.lies ? 0.0
                                    : static_cast<double>(target.in_flight) /
                                          target.config.slots;
    const ProbeResult result{due.id, target.alive, false, load};
    const Duration delay =
        2 * DelayBetween(m_hosts[host].place, target.place) + kProbeTime;
    m_events.After(delay, [this, host, result] {
      Carry(host, m_entries[host]->pool.OnProbe(result, m_events.now()));
    });
  }
}

void HomeHostFleet::Lend(int host) {
  if (!m_hosts[host].alive) {
    return;
  }
  for (const auto& out : m_entries[host]->grants.DueRequests(m_events.now())) {
    const int granter = IndexOf(out.to);
    const GrantRequest request = out.request;
    const Duration delay =
        DelayBetween(m_hosts[host].place, m_hosts[granter].place);
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

std::optional<GrantReply> HomeHostFleet::Grant(int granter,
                                               const GrantRequest& request) {
  if (!m_hosts[granter].alive) {
    return std::nullopt;
  }
  SetCapacity(granter);
  return m_entries[granter]->granter.OnRequest(request, m_events.now());
}

void HomeHostFleet::SetCapacity(int host) {
  Entry& entry = *m_entries[host];
  const PoolLoad load = entry.pool.LoadOf(kDesk, m_events.now());
  const uint32_t used = load.in_flight + load.queued;
  const uint32_t foreign = entry.granter.ForeignInFlight(kDesk);
  entry.granter.SetCapacity(kDesk,
                            {load.allowed, used - foreign, load.service_time});
}

HomeHostFleet::Job HomeHostFleet::TakeJob(DispatchId id) {
  const auto found = m_jobs.find(id);
  Job job = found->second;
  m_jobs.erase(found);
  if (job.choice.remote) {
    m_entries[job.home]->granter.Release(m_hosts[job.from].id, kDesk);
  }
  return job;
}

CapacityReport HomeHostFleet::ReportOf(int host) {
  Entry& entry = *m_entries[host];
  return MakeReport(entry.pool, m_hosts[host].id, Incarnation(1),
                    ++entry.sequence, m_events.now());
}

int HomeHostFleet::IndexOf(const HostId& id) const {
  for (size_t i = 0; i < m_hosts.size(); ++i) {
    if (m_hosts[i].id == id) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

}  // namespace applestand::bench
