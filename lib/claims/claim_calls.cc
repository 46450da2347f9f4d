// The part of ClaimBook that makes platform calls and hands out their results.

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "lib/claims/claim_book.h"

namespace applestand {

namespace {

/// Past this many conflicts of one entry, its transactions hold one row.
constexpr uint32_t kMaxHalvings = 6;

const Row* FindRow(const std::vector<Row>& rows, const std::string& key) {
  const auto it =
      std::find_if(rows.begin(), rows.end(),
                   [&key](const Row& row) { return row.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

std::string EncodeRow(const ClaimRow& row) {
  if (row.outcome.body_object.empty()) {
    return Encode(row);
  }
  ClaimRow without_body = row;
  without_body.outcome.body.clear();
  return Encode(without_body);
}

}  // namespace

ClaimWork ClaimBook::Open(ClaimWork work, std::vector<Serial> serials) {
  work.id = ++m_last_work;
  m_open.emplace(work.id, OpenCall{work.kind, std::move(serials)});
  return work;
}

ClaimWork ClaimBook::MakeRead() {
  ClaimWork work;
  work.kind = ClaimWork::Kind::kRead;
  std::vector<Serial> serials;
  std::set<std::string> keys;
  while (!m_reads.empty() && serials.size() < m_options.max_batch) {
    const Serial serial = m_reads.front();
    m_reads.pop_front();
    if (m_entries.count(serial) == 0) {
      continue;
    }
    serials.push_back(serial);
    keys.insert(Get(serial).row_key);
  }
  work.keys.assign(keys.begin(), keys.end());
  return Open(std::move(work), std::move(serials));
}

ClaimWork ClaimBook::MakeWrite(TimePoint now) {
  // Entries that keep meeting conflicts go in ever smaller transactions, so
  // that a contended row cannot hold up the others for long.
  const Serial front =
      m_writes.empty() ? m_background_writes.front() : m_writes.front();
  const uint32_t halvings = std::min(Get(front).conflicts, kMaxHalvings);
  const size_t limit = std::max<size_t>(1, m_options.max_batch >> halvings);
  // Half of the transaction is kept for outcomes, so that claims cannot hold
  // them up for good.
  const size_t kept = std::min(m_background_writes.size(), limit / 2);
  ClaimWork work;
  work.kind = ClaimWork::Kind::kTransact;
  std::vector<Serial> serials;
  TakeWrites(m_writes, limit - kept, work, serials);
  TakeWrites(m_background_writes, limit, work, serials);
  m_last_write = now;
  ++m_counters.transactions;
  m_counters.rows_written += serials.size();
  return Open(std::move(work), std::move(serials));
}

void ClaimBook::TakeWrites(std::deque<Serial>& queue,
                           size_t limit,
                           ClaimWork& work,
                           std::vector<Serial>& serials) {
  std::deque<Serial> kept;
  while (!queue.empty() && serials.size() < limit) {
    const Serial serial = queue.front();
    queue.pop_front();
    if (m_entries.count(serial) == 0) {
      continue;
    }
    Entry& entry = Get(serial);
    const bool row_taken = std::any_of(
        work.writes.begin(), work.writes.end(),
        [&entry](const RowWrite& w) { return w.key == entry.row_key; });
    if (row_taken) {
      kept.push_back(serial);
      continue;
    }
    entry.writing = true;
    entry.submitted_state = entry.row.state;
    work.writes.push_back(
        {entry.row_key, entry.expected, EncodeRow(entry.row)});
    serials.push_back(serial);
  }
  queue.insert(queue.begin(), kept.begin(), kept.end());
}

std::optional<ClaimWork> ClaimBook::NextObjectCall(TimePoint now) {
  const size_t limit = std::max<size_t>(1, m_options.max_in_flight / 2);
  if (m_objects.empty() || m_open_objects >= limit ||
      now < m_object_backoff_until) {
    return std::nullopt;
  }
  const Serial serial = m_objects.front();
  m_objects.pop_front();
  const Entry& entry = Get(serial);
  ClaimWork work;
  work.keys = {entry.row.outcome.body_object};
  work.kind = ClaimWork::Kind::kGetObject;
  if (entry.phase == Phase::kRecording) {
    work.kind = ClaimWork::Kind::kPutObject;
    work.bytes = entry.row.outcome.body;
  }
  ++m_open_objects;
  return Open(std::move(work), {serial});
}

void ClaimBook::OnResult(const ClaimWorkResult& result, TimePoint now) {
  const auto open = m_open.find(result.id);
  assert(open != m_open.end() && "each call has one result");
  const OpenCall call = std::move(open->second);
  m_open.erase(open);
  const bool object_call = call.kind == ClaimWork::Kind::kPutObject ||
                           call.kind == ClaimWork::Kind::kGetObject;
  if (object_call) {
    --m_open_objects;
  } else if (result.status == TableStatus::kUnavailable) {
    m_table_backoff_until = now + m_options.store_backoff;
  }
  if (call.kind == ClaimWork::Kind::kTransact &&
      result.status == TableStatus::kConflict) {
    ++m_counters.batch_conflicts;
  }
  for (const Serial serial : call.serials) {
    if (m_entries.count(serial) == 0) {
      continue;
    }
    if (call.kind == ClaimWork::Kind::kTransact) {
      OnWriteResult(result.status, serial, now);
    } else if (call.kind == ClaimWork::Kind::kRead) {
      OnReadResult(result, serial, now);
    } else {
      OnObjectResult(result, serial, now);
    }
  }
  Expire(now);
}

void ClaimBook::OnWriteResult(TableStatus status,
                              Serial serial,
                              TimePoint now) {
  Entry& entry = Get(serial);
  entry.writing = false;
  switch (status) {
    case TableStatus::kOk:
      OnWritten(serial, now);
      break;
    case TableStatus::kUnavailable:
      OnWriteRefused(serial);
      break;
    case TableStatus::kConflict:
      ++entry.conflicts;
      m_reads.push_back(serial);
      break;
    case TableStatus::kUnknown:
      entry.uncertain = true;
      m_reads.push_back(serial);
      break;
  }
}

void ClaimBook::OnWritten(Serial serial, TimePoint now) {
  Entry& entry = Get(serial);
  if (entry.phase == Phase::kClaiming) {
    Grant(serial, entry.expected.Next(), now);
    return;
  }
  if (entry.phase == Phase::kReleasing &&
      entry.submitted_state == ClaimState::kClaimed) {
    // The claim took effect after its arrival had been refused.
    entry.expected = entry.expected.Next();
    entry.uncertain = false;
    QueueWrite(serial);
    return;
  }
  Drop(serial);
}

void ClaimBook::OnWriteRefused(Serial serial) {
  Entry& entry = Get(serial);
  if (entry.phase == Phase::kClaiming) {
    const bool uncertain = entry.uncertain;
    Refuse(serial);
    if (uncertain) {
      m_reads.push_back(serial);
    }
    return;
  }
  if (entry.submitted_state == ClaimState::kClaimed && !entry.uncertain) {
    Drop(serial);
    return;
  }
  QueueWrite(serial);
}

void ClaimBook::OnReadResult(const ClaimWorkResult& result,
                             Serial serial,
                             TimePoint now) {
  const Entry& entry = Get(serial);
  if (result.status != TableStatus::kOk) {
    m_table_backoff_until = now + m_options.store_backoff;
    if (entry.phase == Phase::kClaiming) {
      Refuse(serial);
    }
    m_reads.push_back(serial);
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
      assert(false && "such entries are not read back");
      break;
  }
}

void ClaimBook::OnObjectResult(const ClaimWorkResult& result,
                               Serial serial,
                               TimePoint now) {
  Entry& entry = Get(serial);
  const bool down = result.status == TableStatus::kUnavailable ||
                    result.status == TableStatus::kUnknown;
  if (down) {
    m_object_backoff_until = now + m_options.store_backoff;
  }
  if (entry.phase == Phase::kRecording) {
    // A conflict means that an earlier try, whose answer was lost, wrote it.
    if (down) {
      m_objects.push_back(serial);
    } else {
      QueueWrite(serial);
    }
    return;
  }
  if (result.status == TableStatus::kOk && result.bytes) {
    ClaimOutcome outcome = entry.row.outcome;
    outcome.body = *result.bytes;
    outcome.body_object.clear();
    EmitOutcome(entry.request, std::move(outcome));
  } else {
    Emit(ClaimEvent::Kind::kOutcomeUnread, entry);
    if (!down) {
      m_events.back().retry_after = Duration::zero();
    }
  }
  Drop(serial);
}

}  // namespace applestand
