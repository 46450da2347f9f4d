#include "lib/claims/claim_simulation.h"

#include <fmt/format.h>
#include <rapidcheck.h>

namespace applestand::claim_fuzz {

ClaimSimulation::ClaimSimulation(bool host_memory_only)
    : m_host_memory_only(host_memory_only) {
  for (Host& host : m_hosts) {
    Restart(host);
  }
  m_has_restarted = false;
}

void ClaimSimulation::Run(const Step& step) {
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
      CollectCalls(host);
      break;
    case 5:
    case 6:
    case 7:
      ExecuteCall(host, step.choice);
      break;
    case 8:
    case 9:
      DeliverResult(host);
      break;
    case 10:
      ApplyDelayedCall(step.choice);
      break;
    case 11:
    case 12:
      Send(host, step.choice);
      break;
    case 13:
      FinishResponded(host);
      break;
    case 14:
      host.paused = step.choice % 4 == 0;
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

void ClaimSimulation::RecoverAndCheck() {
  for (Host& host : m_hosts) {
    host.paused = false;
  }
  RunUntilQuiescent();
  for (int key = 0; key < kKeys; ++key) {
    if (m_has_restarted || m_may_have_run.count(key) != 0) {
      continue;
    }
    Arrive(m_hosts[key % kHosts], key, 0);
    RunUntilQuiescent();
    RC_ASSERT(m_runs[key].size() == 1U);
  }
  for (const auto& [id, arrival] : m_arrivals) {
    RC_ASSERT(arrival.has_event || m_has_restarted);
    RC_ASSERT(!(arrival.rejected_as_not_run && arrival.ran));
  }
  for (const Host& host : m_hosts) {
    RC_ASSERT(host.manager->Idle());
  }
}

void ClaimSimulation::Restart(Host& host) {
  m_has_restarted = true;
  // Calls in flight may still take effect; their results are lost.
  for (const ClaimStoreCall& call : host.calls_in_flight) {
    m_delayed_calls.emplace_back(host.platform, call);
  }
  if (!m_host_memory_only) {
    host.platform = m_shared;
  } else {
    host.platform = std::make_shared<Platform>();
  }
  ClaimOptions options;
  options.max_batch = 4;
  options.min_write_interval = std::chrono::milliseconds(5);
  options.claim_timeout = std::chrono::milliseconds(400);
  options.max_inline_body_bytes = 8;
  const auto index = &host - m_hosts;
  host.manager =
      std::make_unique<ClaimManager>(options, HostId(fmt::format("h{}", index)),
                                     Incarnation(++host.incarnation));
  host.calls_in_flight.clear();
  host.results.clear();
  host.granted.clear();
  host.responded.clear();
}

void ClaimSimulation::Arrive(Host& host, int key, int body) {
  if (host.paused) {
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
  host.manager->Begin(std::move(request), m_now);
  HandleEvents(host);
}

void ClaimSimulation::CollectCalls(Host& host) {
  if (host.paused) {
    return;
  }
  while (auto call = host.manager->NextStoreCall(m_now)) {
    host.calls_in_flight.push_back(std::move(*call));
  }
  HandleEvents(host);
}

void ClaimSimulation::ExecuteCall(Host& host, int choice) {
  if (host.calls_in_flight.empty()) {
    return;
  }
  const auto chosen =
      host.calls_in_flight.begin() +
      (choice / 8) % static_cast<int>(host.calls_in_flight.size());
  const ClaimStoreCall call = std::move(*chosen);
  host.calls_in_flight.erase(chosen);
  ClaimStoreCallResult result;
  result.id = call.id;
  switch (choice % 8) {
    case 0:
      result.status = TableStatus::kUnavailable;
      break;
    case 1:
      result.status = TableStatus::kUnknown;
      break;
    case 2:
      (void)Execute(call, host.platform->table, host.platform->objects);
      result.status = TableStatus::kUnknown;
      break;
    case 3:
      m_delayed_calls.emplace_back(host.platform, call);
      result.status = TableStatus::kUnknown;
      break;
    default:
      result = Execute(call, host.platform->table, host.platform->objects);
      break;
  }
  host.results.push_back(std::move(result));
}

void ClaimSimulation::DeliverResult(Host& host) {
  if (host.paused || host.results.empty()) {
    return;
  }
  const ClaimStoreCallResult result = std::move(host.results.front());
  host.results.erase(host.results.begin());
  host.manager->OnResult(result, m_now);
  HandleEvents(host);
}

void ClaimSimulation::ApplyDelayedCall(int choice) {
  if (m_delayed_calls.empty()) {
    return;
  }
  const auto chosen = m_delayed_calls.begin() +
                      choice % static_cast<int>(m_delayed_calls.size());
  const auto [platform, call] = *chosen;
  m_delayed_calls.erase(chosen);
  (void)Execute(call, platform->table, platform->objects);
}

void ClaimSimulation::Send(Host& host, int choice) {
  if (host.paused || host.granted.empty()) {
    return;
  }
  const ClaimRequestId id = host.granted.front();
  host.granted.erase(host.granted.begin());
  Arrival& arrival = m_arrivals[id];
  const bool may_send = host.manager->MaySend(id, m_now);
  if (!may_send || choice % 4 == 0) {
    host.manager->Finish(id, Ran::kNotRun, std::nullopt, m_now);
    MarkRejectedAsNotRun(arrival);
    return;
  }
  RunOnTarget(arrival);
  if (choice % 4 == 1) {
    m_may_have_run.insert(arrival.key);
    host.manager->Finish(id, Ran::kMayHaveRun, std::nullopt, m_now);
    return;
  }
  host.responded.emplace_back(id, m_runs[arrival.key].back());
}

void ClaimSimulation::FinishResponded(Host& host) {
  if (host.paused || host.responded.empty()) {
    return;
  }
  const auto [id, outcome] = host.responded.back();
  host.responded.pop_back();
  host.manager->Finish(id, Ran::kRan, outcome, m_now);
}

void ClaimSimulation::RunOnTarget(Arrival& arrival) {
  RC_ASSERT(!arrival.rejected_as_not_run);
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

void ClaimSimulation::MarkRejectedAsNotRun(Arrival& arrival) {
  RC_ASSERT(!arrival.ran);
  arrival.rejected_as_not_run = true;
}

void ClaimSimulation::HandleEvents(Host& host) {
  for (const ClaimEvent& event : host.manager->TakeEvents()) {
    Arrival& arrival = m_arrivals[event.request];
    RC_ASSERT(!arrival.has_event);
    arrival.has_event = true;
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
      case ClaimEvent::Kind::kOutcomeUnavailable:
        RC_ASSERT(ran_before);
        break;
      case ClaimEvent::Kind::kInDoubt:
        RC_ASSERT(event.ran == Ran::kMayHaveRun);
        break;
      case ClaimEvent::Kind::kConflict:
        RC_ASSERT(!ran_before);
        MarkRejectedAsNotRun(arrival);
        break;
      case ClaimEvent::Kind::kUnavailable:
        MarkRejectedAsNotRun(arrival);
        break;
    }
  }
}

void ClaimSimulation::RunUntilQuiescent() {
  for (int round = 0; round < 200; ++round) {
    while (!m_delayed_calls.empty()) {
      ApplyDelayedCall(0);
    }
    for (Host& host : m_hosts) {
      CollectCalls(host);
      while (!host.calls_in_flight.empty()) {
        ExecuteCall(host, 7);
      }
      while (!host.results.empty()) {
        DeliverResult(host);
      }
      while (!host.granted.empty()) {
        Send(host, 2);
      }
      while (!host.responded.empty()) {
        FinishResponded(host);
      }
    }
    m_now += std::chrono::milliseconds(20);
  }
}

}  // namespace applestand::claim_fuzz
