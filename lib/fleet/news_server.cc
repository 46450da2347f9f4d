#include "lib/fleet/news_server.h"

#include <algorithm>

#include "lib/log/log.h"

namespace applestand {

namespace {

// Waiting hosts that are told of each change as it comes.
constexpr size_t kAnsweredAtOnce = 16;
// How often a list of many live hosts is made anew.
constexpr Duration kLivePeriod = std::chrono::milliseconds(700);
// Askers mostly hold the same; others each get their own news.
constexpr size_t kMaxNewsKept = 16;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

}  // namespace

bool NewsServer::many_wait() const {
  return m_waiting.size() > kAnsweredAtOnce;
}

void NewsServer::OnRequest(const std::shared_ptr<Exchange>& exchange,
                           TimePoint now) {
  Reason reason;
  auto request = Decode<PullRequest>(exchange->request().body, reason);
  if (!request) {
    LogEvent(Event::kBadMessage,
             {{"from", exchange->request().peer}, {"reason", reason.text}});
    exchange->Respond(JsonResponse(kBadRequest, "{}"));
    return;
  }
  m_roster.OnAsked(request->from, now);
  for (const SeenHost& seen : request->seen) {
    m_roster.OnAskedElsewhere(seen.host, now - seen.age, now);
  }
  const Duration wait = std::min(request->wait, m_longest_wait);
  m_waiting.push_back({exchange, std::move(*request), now, now + wait});
  AnswerDue(now);
}

bool NewsServer::HasNewsFor(const Waiting& waiting) const {
  for (size_t i = 0; i < kStoreTables; ++i) {
    if (m_mirrors[i].known() &&
        waiting.request.have[i] < m_mirrors[i].last_change()) {
      return true;
    }
  }
  return waiting.request.live_tag != m_live_tag;
}

void NewsServer::RefreshLive(TimePoint now) {
  // While many hosts come or go each of them would be told of each other one.
  if (many_wait() && m_live_at != TimePoint::min() &&
      now - m_live_at < kLivePeriod) {
    return;
  }
  m_live_at = now;
  m_live = m_roster.LiveHosts(now);
  m_live_tag = m_roster.LiveTag(now);
}

void NewsServer::AnswerDue(TimePoint now) {
  if (m_waiting.empty()) {
    return;
  }
  RefreshLive(now);
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    if (it->exchange->gone()) {
      it = m_waiting.erase(it);
    } else if (now >= it->answer_by || HasNewsFor(*it)) {
      const Waiting waiting = std::move(*it);
      it = m_waiting.erase(it);
      Answer(waiting, now);
    } else {
      ++it;
    }
  }
}

void NewsServer::AnswerAll(TimePoint now) {
  RefreshLive(now);
  for (const Waiting& waiting : std::exchange(m_waiting, {})) {
    if (!waiting.exchange->gone()) {
      Answer(waiting, now);
    }
  }
}

const Deflated& NewsServer::NewsFor(const PullRequest& request) {
  Held held_here{{}, m_live_tag};
  for (size_t i = 0; i < kStoreTables; ++i) {
    held_here.first[i] = m_mirrors[i].last_change();
  }
  if (held_here != m_news_of || m_news.size() > kMaxNewsKept) {
    m_news.clear();
    m_news_of = std::move(held_here);
  }
  Held held{request.have, request.live_tag};
  for (size_t i = 0; i < kStoreTables; ++i) {
    held.first[i] = std::min(held.first[i], m_mirrors[i].last_change());
  }
  const auto [it, added] = m_news.try_emplace(held);
  if (!added) {
    return it->second;
  }
  FleetNews news;
  bool any = false;
  for (size_t i = 0; i < kStoreTables; ++i) {
    const TableMirror& mirror = m_mirrors[i];
    if (mirror.known() && held.first[i] < mirror.last_change()) {
      news.tables[i] = mirror.ChangesSince(held.first[i]);
      any = true;
    }
  }
  if (request.live_tag != m_live_tag) {
    news.live = m_live;
    any = true;
  }
  if (any) {
    it->second = Pack(news);
  }
  return it->second;
}

void NewsServer::Answer(const Waiting& waiting, TimePoint now) {
  PullReply reply;
  reply.from = m_roster.self();
  for (size_t i = 0; i < kStoreTables; ++i) {
    const TableMirror& mirror = m_mirrors[i];
    reply.copies[i] = {
        mirror.known(), mirror.version(),
        mirror.known() ? waiting.came - mirror.current_at() : Duration::zero()};
  }
  reply.live_tag = m_live_tag;
  reply.counted = m_roster.Counted(now);
  if (const auto known_at = m_roster.KnownAt(now)) {
    reply.known_age = waiting.came - *known_at;
  }
  reply.asker_run = m_roster.RunOf(waiting.request.from.id);
  reply.news = NewsFor(waiting.request);
  HttpResponse response;
  response.status = kOk;
  response.headers.push_back({"Content-Type", "application/msgpack"});
  response.body = Encode(reply);
  waiting.exchange->Respond(response);
}

}  // namespace applestand
