#include "lib/claims/claim_book.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace applestand {

ClaimBook::ClaimBook(ClaimOptions options, HostId host, Incarnation incarnation)
    : m_options(options), m_host(std::move(host)), m_incarnation(incarnation) {}

void ClaimBook::Begin(ClaimRequest request, TimePoint now) {
  if (AnswerFromMemory(request)) {
    return;
  }
  if (now < m_table_backoff_until || now >= request.deadline ||
      m_entries.size() >= m_options.max_entries) {
    EmitFor(ClaimEvent::Kind::kUnavailable, request.id);
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
  entry.claim_by = std::min(request.deadline, now + m_options.claim_timeout);
  m_live[entry.row_key] = serial;
  m_deadlines.emplace(entry.claim_by, serial);
  m_entries.emplace(serial, std::move(entry));
  m_writes.push_back(serial);
}

bool ClaimBook::AnswerFromMemory(const ClaimRequest& request) {
  const auto live = m_live.find(ClaimRowKey(request.account, request.key));
  if (live == m_live.end()) {
    return false;
  }
  const Entry& entry = Get(live->second);
  const bool same_request = entry.row.hash == request.hash;
  const bool held = entry.phase != Phase::kClaiming;
  if (held && !same_request) {
    EmitFor(ClaimEvent::Kind::kConflict, request.id);
  } else if (entry.phase == Phase::kRecording) {
    ClaimOutcome outcome = entry.row.outcome;
    outcome.body_object.clear();
    EmitOutcome(request.id, std::move(outcome));
  } else {
    // Until the claim is held, another host may hold it for either request.
    EmitFor(ClaimEvent::Kind::kInDoubt, request.id);
  }
  return true;
}

bool ClaimBook::MaySend(ClaimRequestId request, TimePoint now) {
  const auto granted = m_granted.find(request);
  assert(granted != m_granted.end() && "the request must hold a claim");
  return now < Get(granted->second).deadline;
}

void ClaimBook::Finish(ClaimRequestId request,
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
      StartRecord(serial, std::move(*outcome));
      break;
    case Ran::kMayHaveRun:
      Drop(serial);
      break;
  }
  Expire(now);
}

std::optional<ClaimWork> ClaimBook::NextWork(TimePoint now) {
  Expire(now);
  ForgetDropped(m_reads);
  ForgetDropped(m_writes);
  ForgetDropped(m_background_writes);
  ForgetDropped(m_objects);
  if (m_open.size() >= m_options.max_in_flight) {
    return std::nullopt;
  }
  if (now >= m_table_backoff_until) {
    if (!m_reads.empty()) {
      return MakeRead();
    }
    if (const auto due = NextWriteTime(); due && *due <= now) {
      return MakeWrite(now);
    }
  }
  return NextObjectCall(now);
}

std::optional<TimePoint> ClaimBook::NextWakeup() const {
  std::optional<TimePoint> next;
  const auto consider = [&next](TimePoint time) {
    next = next ? std::min(*next, time) : time;
  };
  if (!m_deadlines.empty()) {
    consider(m_deadlines.begin()->first);
  }
  if (m_open.size() >= m_options.max_in_flight) {
    return next;
  }
  if (!m_reads.empty()) {
    consider(m_table_backoff_until);
  }
  if (const auto due = NextWriteTime()) {
    consider(std::max(m_table_backoff_until, *due));
  }
  if (!m_objects.empty()) {
    consider(m_object_backoff_until);
  }
  return next;
}

std::vector<ClaimEvent> ClaimBook::TakeEvents() {
  return std::exchange(m_events, {});
}

ClaimBook::Entry& ClaimBook::Get(Serial serial) {
  const auto it = m_entries.find(serial);
  assert(it != m_entries.end() && "the entry must exist");
  return it->second;
}

void ClaimBook::EmitFor(ClaimEvent::Kind kind, ClaimRequestId request) {
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
    case ClaimEvent::Kind::kOutcomeUnread:
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

void ClaimBook::Emit(ClaimEvent::Kind kind, const Entry& entry) {
  EmitFor(kind, entry.request);
  m_events.back().send_by = entry.deadline;
}

void ClaimBook::EmitOutcome(ClaimRequestId request, ClaimOutcome outcome) {
  if (outcome.body_omitted) {
    EmitFor(ClaimEvent::Kind::kOutcomeUnread, request);
    m_events.back().retry_after = Duration::zero();
    return;
  }
  EmitFor(ClaimEvent::Kind::kRecorded, request);
  m_events.back().outcome = std::move(outcome);
}

void ClaimBook::Expire(TimePoint now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    Refuse(m_deadlines.begin()->second);
  }
}

void ClaimBook::Refuse(Serial serial) {
  Entry& entry = Get(serial);
  if (entry.phase == Phase::kFetching) {
    Emit(ClaimEvent::Kind::kOutcomeUnread, entry);
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

void ClaimBook::Abandon(Serial serial) {
  Entry& entry = Get(serial);
  entry.phase = Phase::kReleasing;
  entry.row.state = ClaimState::kReleased;
  m_deadlines.erase({entry.claim_by, serial});
  m_live.erase(entry.row_key);
  m_dead.emplace(entry.row.claim, serial);
}

void ClaimBook::Drop(Serial serial) {
  const Entry& entry = Get(serial);
  if (entry.phase == Phase::kRecording) {
    m_held_bytes -= entry.row.outcome.body.size();
  }
  if (const auto live = m_live.find(entry.row_key);
      live != m_live.end() && live->second == serial) {
    m_live.erase(live);
  }
  m_deadlines.erase({entry.claim_by, serial});
  m_dead.erase(entry.row.claim);
  m_entries.erase(serial);
}

void ClaimBook::StartRecord(Serial serial, ClaimOutcome outcome) {
  Entry& entry = Get(serial);
  const size_t size = outcome.body.size();
  if (size > m_options.max_body_bytes ||
      m_held_bytes + size > m_options.max_held_bytes) {
    outcome.body.clear();
    outcome.body_omitted = true;
    ++m_counters.outcomes_dropped;
  }
  m_held_bytes += outcome.body.size();
  entry.phase = Phase::kRecording;
  entry.row.state = ClaimState::kDone;
  const bool to_object = outcome.body.size() > m_options.max_inline_body_bytes;
  if (to_object) {
    outcome.body_object = "claim-body/" + entry.row.claim.value();
  }
  entry.row.outcome = std::move(outcome);
  if (to_object) {
    m_objects.push_back(serial);
  } else {
    QueueWrite(serial);
  }
}

void ClaimBook::Grant(Serial serial, RowVersion version, TimePoint now) {
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
  m_deadlines.erase({entry.claim_by, serial});
  m_granted.emplace(entry.request, serial);
  Emit(ClaimEvent::Kind::kGranted, entry);
}

void ClaimBook::QueueWrite(Serial serial) {
  const bool claim = Get(serial).phase == Phase::kClaiming;
  (claim ? m_writes : m_background_writes).push_back(serial);
}

std::optional<TimePoint> ClaimBook::NextWriteTime() const {
  const size_t queued = m_writes.size() + m_background_writes.size();
  if (queued == 0) {
    return std::nullopt;
  }
  if (!m_last_write || queued >= m_options.max_batch) {
    return TimePoint();
  }
  return *m_last_write + (m_writes.empty() ? m_options.background_write_spacing
                                           : m_options.write_spacing);
}

void ClaimBook::ForgetDropped(std::deque<Serial>& queue) const {
  while (!queue.empty() && m_entries.count(queue.front()) == 0) {
    queue.pop_front();
  }
}

}  // namespace applestand
