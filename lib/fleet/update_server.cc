#include "lib/fleet/update_server.h"

#include <algorithm>

#include "lib/log/log.h"

namespace applestand {

namespace {

// Up to this many waiting requests are responded to at each change; more are
// responded to in batches.
constexpr size_t kMaxImmediateResponses = 16;
// Minimum time between renewals of the list of live hosts while many requests
// wait.
constexpr Duration kLiveListPeriod = std::chrono::milliseconds(700);
// Requesters that hold the same state share one cached update. Most do, so that
// a few updates serve nearly all of them.
constexpr size_t kMaxCachedUpdates = 16;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

}  // namespace

bool UpdateServer::has_many_waiting() const {
  return m_waiting.size() > kMaxImmediateResponses;
}

void UpdateServer::OnRequest(const std::shared_ptr<ServerExchange>& exchange,
                             TimePoint now) {
  Reason reason;
  auto request = Decode<PullRequest>(exchange->request().body, reason);
  if (!request) {
    LogEvent(Event::kBadMessage,
             {{"from", exchange->request().peer}, {"reason", reason.text}});
    exchange->Respond(JsonResponse(kBadRequest, "{}"));
    return;
  }
  m_membership.OnRequest(request->from, now);
  OnConfigKnown(request->newest_config);
  OnPeerKnownEra(request->known_era);
  for (const SeenHost& seen : request->seen) {
    m_membership.OnIndirectRequest(seen.host, now - seen.age, now);
  }
  const Duration wait = std::min(request->wait, m_max_wait);
  m_waiting.push_back({exchange, std::move(*request), now, now + wait});
  RespondToDue(now);
}

bool UpdateServer::HasUpdateFor(const WaitingRequest& waiting) const {
  for (size_t i = 0; i < kStoreTables; ++i) {
    if (m_mirrors[i].loaded() &&
        waiting.request.held_versions[i] < m_mirrors[i].last_change()) {
      return true;
    }
  }
  return waiting.request.live_tag != m_live_tag;
}

void UpdateServer::RefreshLive(TimePoint now) {
  // While many hosts join or leave, each of them would otherwise be notified of
  // each of the others separately.
  if (has_many_waiting() && m_live_at != TimePoint::min() &&
      now - m_live_at < kLiveListPeriod) {
    return;
  }
  m_live_at = now;
  m_live = m_membership.LiveHostsToReport(now);
  m_live_tag = m_membership.LiveTag(now);
}

void UpdateServer::RespondToDue(TimePoint now) {
  if (m_waiting.empty()) {
    return;
  }
  RefreshLive(now);
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    if (it->exchange->caller_disconnected()) {
      it = m_waiting.erase(it);
    } else if (now >= it->respond_by || HasUpdateFor(*it)) {
      const WaitingRequest waiting = std::move(*it);
      it = m_waiting.erase(it);
      Respond(waiting, now);
    } else {
      ++it;
    }
  }
}

void UpdateServer::RespondToAll(TimePoint now) {
  RefreshLive(now);
  for (const WaitingRequest& waiting : std::exchange(m_waiting, {})) {
    if (!waiting.exchange->caller_disconnected()) {
      Respond(waiting, now);
    }
  }
}

const Deflated& UpdateServer::UpdateFor(const PullRequest& request) {
  HeldState own_state{{}, m_live_tag};
  for (size_t i = 0; i < kStoreTables; ++i) {
    own_state.first[i] = m_mirrors[i].last_change();
  }
  if (own_state != m_cache_state ||
      m_cached_updates.size() > kMaxCachedUpdates) {
    m_cached_updates.clear();
    m_cache_state = std::move(own_state);
  }
  HeldState requester_state{request.held_versions, request.live_tag};
  for (size_t i = 0; i < kStoreTables; ++i) {
    requester_state.first[i] =
        std::min(requester_state.first[i], m_mirrors[i].last_change());
  }
  const auto [it, added] = m_cached_updates.try_emplace(requester_state);
  if (!added) {
    return it->second;
  }
  FleetUpdate update;
  bool has_any = false;
  for (size_t i = 0; i < kStoreTables; ++i) {
    const TableMirror& mirror = m_mirrors[i];
    if (mirror.loaded() && requester_state.first[i] < mirror.last_change()) {
      update.tables[i] = mirror.ChangesSince(requester_state.first[i]);
      has_any = true;
    }
  }
  if (request.live_tag != m_live_tag) {
    update.live = m_live;
    has_any = true;
  }
  if (has_any) {
    it->second = Pack(update);
  }
  return it->second;
}

void UpdateServer::Respond(const WaitingRequest& waiting, TimePoint now) {
  PullResponse pull_response;
  pull_response.from = m_membership.self();
  for (size_t i = 0; i < kStoreTables; ++i) {
    const TableMirror& mirror = m_mirrors[i];
    pull_response.copies[i] = {mirror.loaded(), mirror.version(),
                               mirror.loaded()
                                   ? waiting.received_at - mirror.current_at()
                                   : Duration::zero()};
  }
  pull_response.live_tag = m_live_tag;
  pull_response.counted_hosts = m_membership.CountedHosts(now);
  if (const auto known_at = m_membership.KnownToAllAt(now)) {
    pull_response.known_to_all_age = waiting.received_at - *known_at;
  }
  pull_response.requester_incarnation =
      m_membership.IncarnationOf(waiting.request.from.id);
  pull_response.packed_update = UpdateFor(waiting.request);
  pull_response.newest_config = m_newest_config;
  pull_response.known_era = m_known_era;
  HttpResponse response;
  response.status = kOk;
  response.headers.push_back({"Content-Type", "application/msgpack"});
  response.body = Encode(pull_response);
  waiting.exchange->Respond(response);
}

}  // namespace applestand
