#include "lib/claims/claim_manager.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace applestand {

ClaimManager::ClaimManager(ClaimOptions options,
                           HostId host,
                           Incarnation incarnation)
    : m_options(options), m_host(std::move(host)), m_incarnation(incarnation) {}

void ClaimManager::Begin(ClaimRequest request, TimePoint now) {
  if (RespondFromMemory(request)) {
    return;
  }
  if (now < m_table_backoff_until || now >= request.deadline ||
      m_entries.size() >= m_options.max_entries) {
    EmitForRequest(ClaimEvent::Kind::kUnavailable, request.id);
    return;
  }
  const Serial serial = ++m_last_serial;
  Entry entry;
  entry.request = request.id;
  entry.row_key = ClaimRowKey(request.account, request.key);
  entry.row.claim = ClaimId(
      fmt::format("{}/{}/{}", m_host.value(), m_incarnation.value(), serial));
  entry.row.account = std::move(request.account);
  entry.row.key = std::move(request.key);
  entry.row.hash = std::move(request.hash);
  entry.row.created_unix_ms = request.received_unix_ms;
  entry.deadline = request.deadline;
  entry.claim_deadline =
      std::min(request.deadline, now + m_options.claim_timeout);
  m_active[entry.row_key] = serial;
  m_deadlines.emplace(entry.claim_deadline, serial);
  m_entries.emplace(serial, std::move(entry));
  m_claim_write_queue.push_back(serial);
}

bool ClaimManager::RespondFromMemory(const ClaimRequest& request) {
  const auto active = m_active.find(ClaimRowKey(request.account, request.key));
  if (active == m_active.end()) {
    return false;
  }
  const Entry& entry = Get(active->second);
  const bool same_request = entry.row.hash == request.hash;
  const bool is_claim_held = entry.phase != Phase::kClaiming;
  if (is_claim_held && !same_request) {
    EmitForRequest(ClaimEvent::Kind::kConflict, request.id);
  } else if (entry.phase == Phase::kRecording) {
    ClaimOutcome outcome = entry.row.outcome;
    outcome.body_object_key.clear();
    EmitOutcome(request.id, std::move(outcome));
  } else {
    // Until this host holds the claim, another host may hold it for either of
    // the two requests.
    EmitForRequest(ClaimEvent::Kind::kInDoubt, request.id);
  }
  return true;
}

bool ClaimManager::MaySend(ClaimRequestId request, TimePoint now) {
  const auto granted = m_granted.find(request);
  assert(granted != m_granted.end() && "the request must hold a claim");
  return now < Get(granted->second).deadline;
}

void ClaimManager::Finish(ClaimRequestId request,
                          Ran ran,
                          std::optional<ClaimOutcome> outcome,
                          TimePoint now) {
  const auto granted = m_granted.find(request);
  assert(granted != m_granted.end() && "the request must hold a claim");
  assert(outcome.has_value() == (ran == Ran::kRan) &&
         "an outcome belongs to a request that ran");
  const Serial serial = granted->second;
  m_granted.erase(granted);
  switch (ran) {
    case Ran::kNotRun:
      Abandon(serial);
      QueueWrite(serial);
      break;
    case Ran::kRan:
      StartRecording(serial, std::move(*outcome));
      break;
    case Ran::kMayHaveRun:
      Drop(serial);
      break;
  }
  Expire(now);
}

std::optional<ClaimStoreCall> ClaimManager::NextStoreCall(TimePoint now) {
  Expire(now);
  PopDroppedEntries(m_read_queue);
  PopDroppedEntries(m_claim_write_queue);
  PopDroppedEntries(m_background_write_queue);
  PopDroppedEntries(m_object_queue);
  if (m_calls_in_flight.size() >= m_options.max_in_flight) {
    return std::nullopt;
  }
  if (now >= m_table_backoff_until) {
    if (!m_read_queue.empty()) {
      return MakeRead();
    }
    if (const auto due = NextWriteTime(); due && *due <= now) {
      return MakeWrite(now);
    }
  }
  return NextObjectCall(now);
}

std::optional<TimePoint> ClaimManager::NextWakeup() const {
  std::optional<TimePoint> next;
  const auto wake_by = [&next](TimePoint time) {
    next = next ? std::min(*next, time) : time;
  };
  if (!m_deadlines.empty()) {
    wake_by(m_deadlines.begin()->first);
  }
  if (m_calls_in_flight.size() >= m_options.max_in_flight) {
    return next;
  }
  if (!m_read_queue.empty()) {
    wake_by(m_table_backoff_until);
  }
  if (const auto due = NextWriteTime()) {
    wake_by(std::max(m_table_backoff_until, *due));
  }
  if (!m_object_queue.empty()) {
    wake_by(m_object_backoff_until);
  }
  return next;
}

std::vector<ClaimEvent> ClaimManager::TakeEvents() {
  return std::exchange(m_events, {});
}

ClaimManager::Entry& ClaimManager::Get(Serial serial) {
  const auto it = m_entries.find(serial);
  assert(it != m_entries.end() && "the entry must exist");
  return it->second;
}

void ClaimManager::EmitForRequest(ClaimEvent::Kind kind,
                                  ClaimRequestId request) {
  ClaimEvent event;
  event.kind = kind;
  event.request = request;
  switch (kind) {
    case ClaimEvent::Kind::kGranted:
      ++m_counters.granted;
      break;
    case ClaimEvent::Kind::kRecorded:
      event.ran = Ran::kRan;
      ++m_counters.recorded;
      break;
    case ClaimEvent::Kind::kOutcomeUnavailable:
      event.ran = Ran::kRan;
      event.retry_after = m_options.in_doubt_retry_after;
      ++m_counters.recorded;
      break;
    case ClaimEvent::Kind::kInDoubt:
      event.ran = Ran::kMayHaveRun;
      event.retry_after = m_options.in_doubt_retry_after;
      ++m_counters.in_doubt;
      break;
    case ClaimEvent::Kind::kConflict:
      ++m_counters.conflicts;
      break;
    case ClaimEvent::Kind::kUnavailable:
      event.retry_after = m_options.unavailable_retry_after;
      ++m_counters.unavailable;
      break;
  }
  m_events.push_back(std::move(event));
}

void ClaimManager::Emit(ClaimEvent::Kind kind, const Entry& entry) {
  EmitForRequest(kind, entry.request);
  m_events.back().send_deadline = entry.deadline;
}

void ClaimManager::EmitOutcome(ClaimRequestId request, ClaimOutcome outcome) {
  if (outcome.body_omitted) {
    EmitForRequest(ClaimEvent::Kind::kOutcomeUnavailable, request);
    m_events.back().retry_after = Duration::zero();
    return;
  }
  EmitForRequest(ClaimEvent::Kind::kRecorded, request);
  m_events.back().outcome = std::move(outcome);
}

void ClaimManager::Expire(TimePoint now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    Reject(m_deadlines.begin()->second);
  }
}

void ClaimManager::Reject(Serial serial) {
  Entry& entry = Get(serial);
  if (entry.phase == Phase::kFetching) {
    Emit(ClaimEvent::Kind::kOutcomeUnavailable, entry);
    Drop(serial);
    return;
  }
  Emit(ClaimEvent::Kind::kUnavailable, entry);
  if (entry.writing || entry.uncertain) {
    Abandon(serial);
  } else {
    Drop(serial);
  }
}

void ClaimManager::Abandon(Serial serial) {
  Entry& entry = Get(serial);
  entry.phase = Phase::kReleasing;
  entry.row.state = ClaimState::kReleased;
  m_deadlines.erase({entry.claim_deadline, serial});
  m_active.erase(entry.row_key);
  m_abandoned.emplace(entry.row.claim, serial);
}

void ClaimManager::Drop(Serial serial) {
  const Entry& entry = Get(serial);
  if (entry.phase == Phase::kRecording) {
    m_pending_body_bytes -= entry.row.outcome.body.size();
  }
  if (const auto active = m_active.find(entry.row_key);
      active != m_active.end() && active->second == serial) {
    m_active.erase(active);
  }
  m_deadlines.erase({entry.claim_deadline, serial});
  m_abandoned.erase(entry.row.claim);
  m_entries.erase(serial);
}

void ClaimManager::StartRecording(Serial serial, ClaimOutcome outcome) {
  Entry& entry = Get(serial);
  const size_t size = outcome.body.size();
  if (size > m_options.max_body_bytes ||
      m_pending_body_bytes + size > m_options.max_pending_body_bytes) {
    outcome.body.clear();
    outcome.body_omitted = true;
    ++m_counters.outcomes_dropped;
  }
  m_pending_body_bytes += outcome.body.size();
  entry.phase = Phase::kRecording;
  entry.row.state = ClaimState::kDone;
  const bool use_object_store =
      outcome.body.size() > m_options.max_inline_body_bytes;
  if (use_object_store) {
    outcome.body_object_key = "claim-body/" + entry.row.claim.value();
  }
  entry.row.outcome = std::move(outcome);
  if (use_object_store) {
    m_object_queue.push_back(serial);
  } else {
    QueueWrite(serial);
  }
}

void ClaimManager::Grant(Serial serial, RowVersion version, TimePoint now) {
  Entry& entry = Get(serial);
  entry.expected = version;
  entry.uncertain = false;
  if (now >= entry.deadline) {
    Emit(ClaimEvent::Kind::kUnavailable, entry);
    Abandon(serial);
    QueueWrite(serial);
    return;
  }
  entry.phase = Phase::kGranted;
  m_deadlines.erase({entry.claim_deadline, serial});
  m_granted.emplace(entry.request, serial);
  Emit(ClaimEvent::Kind::kGranted, entry);
}

void ClaimManager::QueueWrite(Serial serial) {
  const bool is_claim = Get(serial).phase == Phase::kClaiming;
  (is_claim ? m_claim_write_queue : m_background_write_queue).push_back(serial);
}

std::optional<TimePoint> ClaimManager::NextWriteTime() const {
  const size_t queued =
      m_claim_write_queue.size() + m_background_write_queue.size();
  if (queued == 0) {
    return std::nullopt;
  }
  if (!m_last_write || queued >= m_options.max_batch) {
    return TimePoint();
  }
  return *m_last_write + (m_claim_write_queue.empty()
                              ? m_options.min_background_write_interval
                              : m_options.min_write_interval);
}

void ClaimManager::PopDroppedEntries(std::deque<Serial>& queue) const {
  while (!queue.empty() && m_entries.count(queue.front()) == 0) {
    queue.pop_front();
  }
}

}  // namespace applestand
