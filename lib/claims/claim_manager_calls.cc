// The part of ClaimManager that creates store calls and handles their results.

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "lib/claims/claim_manager.h"

namespace applestand {

namespace {

/// Maximum number of times that the batch limit is halved because of an entry's
/// conflicts: 64 rows, the default of ClaimOptions::max_batch, become 1.
constexpr uint32_t kMaxBatchHalvings = 6;

const Row* FindRow(const std::vector<Row>& rows, const std::string& key) {
  const auto it =
      std::find_if(rows.begin(), rows.end(),
                   [&key](const Row& row) { return row.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

std::string EncodeRow(const ClaimRow& row) {
  if (row.outcome.body_object_key.empty()) {
    return Encode(row);
  }
  ClaimRow without_body = row;
  without_body.outcome.body.clear();
  return Encode(without_body);
}

}  // namespace

ClaimStoreCall ClaimManager::StartCall(ClaimStoreCall call,
                                       std::vector<Serial> serials) {
  call.id = ++m_last_call_id;
  m_calls_in_flight.emplace(call.id,
                            CallInFlight{call.kind, std::move(serials)});
  return call;
}

ClaimStoreCall ClaimManager::MakeRead() {
  ClaimStoreCall call;
  call.kind = ClaimStoreCall::Kind::kRead;
  std::vector<Serial> serials;
  std::set<std::string> keys;
  while (!m_read_queue.empty() && serials.size() < m_options.max_batch) {
    const Serial serial = m_read_queue.front();
    m_read_queue.pop_front();
    if (m_entries.count(serial) == 0) {
      continue;
    }
    serials.push_back(serial);
    keys.insert(Get(serial).row_key);
  }
  call.keys.assign(keys.begin(), keys.end());
  return StartCall(std::move(call), std::move(serials));
}

ClaimStoreCall ClaimManager::MakeWrite(TimePoint now) {
  // Each conflict of the first entry halves the batch limit, so that a
  // contended row cannot delay the other rows for long.
  const Serial front = m_claim_write_queue.empty()
                           ? m_background_write_queue.front()
                           : m_claim_write_queue.front();
  const uint32_t halvings = std::min(Get(front).conflicts, kMaxBatchHalvings);
  const size_t limit = std::max<size_t>(1, m_options.max_batch >> halvings);
  // Up to half of the transaction is reserved for outcomes and releases, so
  // that claims cannot starve them.
  const size_t reserved = std::min(m_background_write_queue.size(), limit / 2);
  ClaimStoreCall call;
  call.kind = ClaimStoreCall::Kind::kTransact;
  std::vector<Serial> serials;
  AddWrites(m_claim_write_queue, limit - reserved, call, serials);
  AddWrites(m_background_write_queue, limit, call, serials);
  m_last_write = now;
  ++m_counters.transactions;
  m_counters.rows_written += serials.size();
  return StartCall(std::move(call), std::move(serials));
}

void ClaimManager::AddWrites(std::deque<Serial>& queue,
                             size_t limit,
                             ClaimStoreCall& call,
                             std::vector<Serial>& serials) {
  std::deque<Serial> deferred;
  while (!queue.empty() && serials.size() < limit) {
    const Serial serial = queue.front();
    queue.pop_front();
    if (m_entries.count(serial) == 0) {
      continue;
    }
    Entry& entry = Get(serial);
    const bool row_in_call = std::any_of(
        call.writes.begin(), call.writes.end(),
        [&entry](const RowWrite& w) { return w.key == entry.row_key; });
    if (row_in_call) {
      deferred.push_back(serial);
      continue;
    }
    entry.writing = true;
    entry.submitted_state = entry.row.state;
    call.writes.push_back(
        {entry.row_key, entry.expected, EncodeRow(entry.row)});
    serials.push_back(serial);
  }
  queue.insert(queue.begin(), deferred.begin(), deferred.end());
}

std::optional<ClaimStoreCall> ClaimManager::NextObjectCall(TimePoint now) {
  const size_t limit = std::max<size_t>(1, m_options.max_in_flight / 2);
  if (m_object_queue.empty() || m_object_calls_in_flight >= limit ||
      now < m_object_backoff_until) {
    return std::nullopt;
  }
  const Serial serial = m_object_queue.front();
  m_object_queue.pop_front();
  const Entry& entry = Get(serial);
  ClaimStoreCall call;
  call.keys = {entry.row.outcome.body_object_key};
  call.kind = ClaimStoreCall::Kind::kGetObject;
  if (entry.phase == Phase::kRecording) {
    call.kind = ClaimStoreCall::Kind::kPutObject;
    call.bytes = entry.row.outcome.body;
  }
  ++m_object_calls_in_flight;
  return StartCall(std::move(call), {serial});
}

void ClaimManager::OnResult(const ClaimStoreCallResult& result, TimePoint now) {
  const auto in_flight = m_calls_in_flight.find(result.id);
  assert(in_flight != m_calls_in_flight.end() && "each call has one result");
  const CallInFlight call = std::move(in_flight->second);
  m_calls_in_flight.erase(in_flight);
  const bool object_call = call.kind == ClaimStoreCall::Kind::kPutObject ||
                           call.kind == ClaimStoreCall::Kind::kGetObject;
  if (object_call) {
    --m_object_calls_in_flight;
  } else if (result.status == TableStatus::kUnavailable) {
    m_table_backoff_until = now + m_options.store_backoff;
  }
  if (call.kind == ClaimStoreCall::Kind::kTransact &&
      result.status == TableStatus::kConflict) {
    ++m_counters.transaction_conflicts;
  }
  for (const Serial serial : call.serials) {
    if (m_entries.count(serial) == 0) {
      continue;
    }
    if (call.kind == ClaimStoreCall::Kind::kTransact) {
      OnWriteResult(result.status, serial, now);
    } else if (call.kind == ClaimStoreCall::Kind::kRead) {
      OnReadResult(result, serial, now);
    } else {
      OnObjectResult(result, serial, now);
    }
  }
  Expire(now);
}

void ClaimManager::OnWriteResult(TableStatus status,
                                 Serial serial,
                                 TimePoint now) {
  Entry& entry = Get(serial);
  entry.writing = false;
  switch (status) {
    case TableStatus::kOk:
      OnWritten(serial, now);
      break;
    case TableStatus::kUnavailable:
      OnWriteUnavailable(serial);
      break;
    case TableStatus::kConflict:
      ++entry.conflicts;
      m_read_queue.push_back(serial);
      break;
    case TableStatus::kUnknown:
      entry.uncertain = true;
      m_read_queue.push_back(serial);
      break;
  }
}

void ClaimManager::OnWritten(Serial serial, TimePoint now) {
  Entry& entry = Get(serial);
  if (entry.phase == Phase::kClaiming) {
    Grant(serial, entry.expected.Next(), now);
    return;
  }
  if (entry.phase == Phase::kReleasing &&
      entry.submitted_state == ClaimState::kClaimed) {
    // The claim took effect after its arrival was rejected.
    entry.expected = entry.expected.Next();
    entry.uncertain = false;
    QueueWrite(serial);
    return;
  }
  Drop(serial);
}

void ClaimManager::OnWriteUnavailable(Serial serial) {
  Entry& entry = Get(serial);
  if (entry.phase == Phase::kClaiming) {
    const bool uncertain = entry.uncertain;
    Reject(serial);
    if (uncertain) {
      m_read_queue.push_back(serial);
    }
    return;
  }
  if (entry.submitted_state == ClaimState::kClaimed && !entry.uncertain) {
    Drop(serial);
    return;
  }
  QueueWrite(serial);
}

void ClaimManager::OnReadResult(const ClaimStoreCallResult& result,
                                Serial serial,
                                TimePoint now) {
  const Entry& entry = Get(serial);
  if (result.status != TableStatus::kOk) {
    m_table_backoff_until = now + m_options.store_backoff;
    if (entry.phase == Phase::kClaiming) {
      Reject(serial);
    }
    m_read_queue.push_back(serial);
    return;
  }
  const Row* row = FindRow(result.rows, entry.row_key);
  switch (entry.phase) {
    case Phase::kClaiming:
      ResolveClaiming(serial, row, now);
      break;
    case Phase::kReleasing:
      ResolveReleasing(serial, row);
      break;
    case Phase::kRecording:
      ResolveRecording(serial, row);
      break;
    case Phase::kGranted:
    case Phase::kFetching:
      assert(false && "entries in these phases are not read back");
      break;
  }
}

void ClaimManager::OnObjectResult(const ClaimStoreCallResult& result,
                                  Serial serial,
                                  TimePoint now) {
  Entry& entry = Get(serial);
  const bool is_store_unavailable =
      result.status == TableStatus::kUnavailable ||
      result.status == TableStatus::kUnknown;
  if (is_store_unavailable) {
    m_object_backoff_until = now + m_options.store_backoff;
  }
  if (entry.phase == Phase::kRecording) {
    // A conflict means that an earlier attempt, whose result was lost, created
    // the object.
    if (is_store_unavailable) {
      m_object_queue.push_back(serial);
    } else {
      QueueWrite(serial);
    }
    return;
  }
  if (result.status == TableStatus::kOk && result.bytes) {
    ClaimOutcome outcome = entry.row.outcome;
    outcome.body = *result.bytes;
    outcome.body_object_key.clear();
    EmitOutcome(entry.request, std::move(outcome));
  } else {
    Emit(ClaimEvent::Kind::kOutcomeUnavailable, entry);
    if (!is_store_unavailable) {
      m_events.back().retry_after = Duration::zero();
    }
  }
  Drop(serial);
}

}  // namespace applestand
