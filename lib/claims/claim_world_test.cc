#include "lib/claims/claim_world.h"

#include <fmt/format.h>
#include <rapidcheck.h>

namespace applestand::claim_fuzz {

World::World(bool host_memory_only) : m_memory_only(host_memory_only) {
  for (Host& host : m_hosts) {
    Restart(host);
  }
  m_restarted = false;
}

void World::Run(const Step& step) {
  Host& host = m_hosts[step.host];
  switch (step.kind) {
    case 0:
    case 1:
      Arrive(host, step.choice % kKeys,
             step.choice % 16 < 14 ? 0 : step.choice % kBodies);
      break;
    case 2:
    case 3:
    case 4:
      Pump(host);
      break;
    case 5:
    case 6:
    case 7:
      Serve(host, step.choice);
      break;
    case 8:
    case 9:
      Deliver(host);
      break;
    case 10:
      LandLate(step.choice);
      break;
    case 11:
    case 12:
      Send(host, step.choice);
      break;
    case 13:
      FinishAnswered(host);
      break;
    case 14:
      host.frozen = step.choice % 4 == 0;
      break;
    case 16:
      if (step.choice % 4 == 0) {
        Restart(host);
      }
      break;
    default:
      m_now += std::chrono::milliseconds(1 + step.choice * 4);
      break;
  }
}

void World::Settle() {
  for (Host& host : m_hosts) {
    host.frozen = false;
  }
  Drain();
  for (int key = 0; key < kKeys; ++key) {
    if (m_restarted || m_may_have_run.count(key) != 0) {
      continue;
    }
    Arrive(m_hosts[key % kHosts], key, 0);
    Drain();
    RC_ASSERT(m_runs[key].size() == 1U);
  }
  for (const auto& [id, arrival] : m_arrivals) {
    RC_ASSERT(arrival.answered || m_restarted);
    RC_ASSERT(!(arrival.refused_not_run && arrival.ran));
  }
  for (const Host& host : m_hosts) {
    RC_ASSERT(host.book->Idle());
  }
}

void World::Restart(Host& host) {
  m_restarted = true;
  // Calls under way may still take effect; their answers go nowhere.
  for (const ClaimWork& work : host.open) {
    m_late.emplace_back(host.platform, work);
  }
  if (!m_memory_only) {
    host.platform = m_shared;
  } else {
    host.platform = std::make_shared<Platform>();
  }
  ClaimOptions options;
  options.max_batch = 4;
  options.write_spacing = std::chrono::milliseconds(5);
  options.claim_timeout = std::chrono::milliseconds(400);
  options.max_inline_body_bytes = 8;
  const auto index = &host - m_hosts;
  host.book =
      std::make_unique<ClaimBook>(options, HostId(fmt::format("h{}", index)),
                                  Incarnation(++host.incarnation));
  host.open.clear();
  host.results.clear();
  host.granted.clear();
  host.answered.clear();
}

void World::Arrive(Host& host, int key, int body) {
  if (host.frozen) {
    return;
  }
  const ClaimRequestId id(++m_last_id);
  const TimePoint deadline = m_now + std::chrono::milliseconds(900);
  m_arrivals[id] = {key, body, deadline, false, false, false};
  ClaimRequest request;
  request.id = id;
  request.account = ClientAccountId(key % 2 == 0 ? "even" : "odd");
  request.key = IdempotencyKey(fmt::format("k{}", key / 2));
  request.hash = RequestHash(fmt::format("b{}", body));
  request.deadline = deadline;
  host.book->Begin(std::move(request), m_now);
  Act(host);
}

void World::Pump(Host& host) {
  if (host.frozen) {
    return;
  }
  while (auto work = host.book->NextWork(m_now)) {
    host.open.push_back(std::move(*work));
  }
  Act(host);
}

void World::Serve(Host& host, int choice) {
  if (host.open.empty()) {
    return;
  }
  const auto chosen =
      host.open.begin() + (choice / 8) % static_cast<int>(host.open.size());
  const ClaimWork work = std::move(*chosen);
  host.open.erase(chosen);
  ClaimWorkResult result;
  result.id = work.id;
  switch (choice % 8) {
    case 0:
      result.status = TableStatus::kUnavailable;
      break;
    case 1:
      result.status = TableStatus::kUnknown;
      break;
    case 2:
      (void)Execute(work, host.platform->table, host.platform->objects);
      result.status = TableStatus::kUnknown;
      break;
    case 3:
      m_late.emplace_back(host.platform, work);
      result.status = TableStatus::kUnknown;
      break;
    default:
      result = Execute(work, host.platform->table, host.platform->objects);
      break;
  }
  host.results.push_back(std::move(result));
}

void World::Deliver(Host& host) {
  if (host.frozen || host.results.empty()) {
    return;
  }
  const ClaimWorkResult result = std::move(host.results.front());
  host.results.erase(host.results.begin());
  host.book->OnResult(result, m_now);
  Act(host);
}

void World::LandLate(int choice) {
  if (m_late.empty()) {
    return;
  }
  const auto chosen = m_late.begin() + choice % static_cast<int>(m_late.size());
  const auto [platform, work] = *chosen;
  m_late.erase(chosen);
  (void)Execute(work, platform->table, platform->objects);
}

void World::Send(Host& host, int choice) {
  if (host.frozen || host.granted.empty()) {
    return;
  }
  const ClaimRequestId id = host.granted.front();
  host.granted.erase(host.granted.begin());
  Arrival& arrival = m_arrivals[id];
  const bool may_send = host.book->MaySend(id, m_now);
  if (!may_send || choice % 4 == 0) {
    host.book->Finish(id, Ran::kNotRun, std::nullopt, m_now);
    Refused(arrival);
    return;
  }
  RunAtTarget(arrival);
  if (choice % 4 == 1) {
    m_may_have_run.insert(arrival.key);
    host.book->Finish(id, Ran::kMayHaveRun, std::nullopt, m_now);
    return;
  }
  host.answered.emplace_back(id, m_runs[arrival.key].back());
}

void World::FinishAnswered(Host& host) {
  if (host.frozen || host.answered.empty()) {
    return;
  }
  const auto [id, outcome] = host.answered.back();
  host.answered.pop_back();
  host.book->Finish(id, Ran::kRan, outcome, m_now);
}

void World::RunAtTarget(Arrival& arrival) {
  RC_ASSERT(!arrival.refused_not_run);
  RC_ASSERT(m_now < arrival.deadline);
  arrival.ran = true;
  ClaimOutcome outcome;
  outcome.status = 201;
  outcome.body =
      std::string(1 + m_last_id % 16, 'x') + fmt::format("{}", m_last_id);
  m_runs[arrival.key].push_back(outcome);
  m_bodies_run.insert({arrival.key, arrival.body});
  RC_ASSERT(m_runs[arrival.key].size() <= 1U);
}

void World::Refused(Arrival& arrival) {
  RC_ASSERT(!arrival.ran);
  arrival.refused_not_run = true;
}

void World::Act(Host& host) {
  for (const ClaimEvent& event : host.book->TakeEvents()) {
    Arrival& arrival = m_arrivals[event.request];
    RC_ASSERT(!arrival.answered);
    arrival.answered = true;
    const bool ran_before =
        m_bodies_run.count({arrival.key, arrival.body}) != 0;
    switch (event.kind) {
      case ClaimEvent::Kind::kGranted:
        host.granted.push_back(event.request);
        break;
      case ClaimEvent::Kind::kRecorded: {
        RC_ASSERT(ran_before);
        const ClaimOutcome& run = m_runs[arrival.key].front();
        RC_ASSERT(event.outcome.body == run.body);
        RC_ASSERT(event.outcome.status == run.status);
        break;
      }
      case ClaimEvent::Kind::kOutcomeUnread:
        RC_ASSERT(ran_before);
        break;
      case ClaimEvent::Kind::kInDoubt:
        RC_ASSERT(event.ran == Ran::kMayHaveRun);
        break;
      case ClaimEvent::Kind::kConflict:
        RC_ASSERT(!ran_before);
        Refused(arrival);
        break;
      case ClaimEvent::Kind::kUnavailable:
        Refused(arrival);
        break;
    }
  }
}

void World::Drain() {
  for (int round = 0; round < 200; ++round) {
    while (!m_late.empty()) {
      LandLate(0);
    }
    for (Host& host : m_hosts) {
      Pump(host);
      while (!host.open.empty()) {
        Serve(host, 7);
      }
      while (!host.results.empty()) {
        Deliver(host);
      }
      while (!host.granted.empty()) {
        Send(host, 2);
      }
      while (!host.answered.empty()) {
        FinishAnswered(host);
      }
    }
    m_now += std::chrono::milliseconds(20);
  }
}

}  // namespace applestand::claim_fuzz
