#include "lib/replay/replayer.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <optional>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

/// Time that a caller waits beyond its deadline for a host's refusal.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(500);
constexpr double kMaxTtlSeconds = 86400;

std::string KeyIdOf(const std::string& key) {
  return key.substr(0, key.find('.'));
}

struct HostsAnswer {
  std::vector<std::string> addresses;
  Duration ttl = Duration::zero();
};

std::optional<HostsAnswer> ParseHosts(const HttpCallResult& result) {
  if (result.ran != Ran::kRan || result.response.status != 200) {
    return std::nullopt;
  }
  try {
    const auto document = nlohmann::json::parse(result.response.body);
    HostsAnswer answer;
    for (const auto& host : document.at("hosts")) {
      answer.addresses.push_back(host.at("address").get<std::string>());
    }
    const double ttl = document.at("ttl_s").get<double>();
    answer.ttl = Duration(
        static_cast<int64_t>(std::clamp(ttl, 0.0, kMaxTtlSeconds) * 1e6));
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// What an answer says about whether the request ran.
Ran RanOf(const HttpResponse& response) {
  const std::string type =
      FindHeader(response.headers, "Content-Type").value_or("");
  if (type.rfind("application/problem+json", 0) != 0) {
    return Ran::kRan;
  }
  try {
    const auto problem = nlohmann::json::parse(response.body);
    const std::string ran = problem.at("ran").get<std::string>();
    for (const Ran verdict : {Ran::kNotRun, Ran::kRan}) {
      if (ran == ToString(verdict)) {
        return verdict;
      }
    }
  } catch (const std::exception&) {
    return Ran::kMayHaveRun;
  }
  return Ran::kMayHaveRun;
}

}  // namespace

struct Replayer::Attempt {
  const TraceRequest& request;
  TimePoint due;
  TimePoint deadline;
  std::vector<std::string> hosts;
  size_t next_host = 0;
  /// An earlier send may have run.
  bool may_have_run = false;
  std::string detail = "no entry host is known";
};

Replayer::Replayer(EventLoop& loop,
                   const Trace& trace,
                   ReplayOptions options,
                   Scorecard& scorecard)
    : m_loop(loop),
      m_trace(trace),
      m_options(std::move(options)),
      m_scorecard(scorecard) {
  assert(!m_options.lookups.empty() && "there is no look-up to ask");
  assert(m_options.clients > 0 && "there is no client to send with");
  for (size_t i = 0; i < m_options.clients; ++i) {
    m_clients.push_back(std::make_unique<HttpClient>());
  }
}

void Replayer::Start(std::function<void()> done) {
  m_done = std::move(done);
  m_start = m_loop.Now();
  if (m_trace.requests.empty()) {
    m_done();
    return;
  }
  SendDue();
}

void Replayer::SendDue() {
  while (m_next < m_trace.requests.size()) {
    const TraceRequest& request = m_trace.requests[m_next];
    const double seconds = ToSeconds(request.at) / m_options.speed;
    const TimePoint due =
        m_start + Duration(static_cast<int64_t>(seconds * 1e6));
    const TimePoint now = m_loop.Now();
    if (due > now) {
      m_loop.PostDelayed(due - now, [this] { SendDue(); });
      return;
    }
    m_summary.latest_start = std::max(m_summary.latest_start, now - due);
    ++m_next;
    Begin(request, due);
  }
}

void Replayer::Begin(const TraceRequest& request, TimePoint due) {
  auto attempt = std::make_shared<Attempt>(Attempt{request,
                                                   due,
                                                   due + request.deadline,
                                                   {},
                                                   0,
                                                   false,
                                                   "no entry host is known"});
  const LookupKey key(request.client, KeyIdOf(request.key));
  CachedHosts& hosts = m_hosts[key];
  if (!hosts.addresses.empty() && m_loop.Now() < hosts.expires) {
    attempt->hosts = hosts.addresses;
    Send(attempt);
    return;
  }
  hosts.waiting.push_back(std::move(attempt));
  if (!hosts.asking) {
    hosts.asking = true;
    hosts.next_lookup = 0;
    Ask(key);
  }
}

void Replayer::Ask(const LookupKey& key) {
  CachedHosts& hosts = m_hosts[key];
  HttpCall call;
  call.address = m_options.lookups[hosts.next_lookup++];
  call.request.method = "GET";
  call.request.target = "/v1/hosts?client=" + PercentEncode(key.first) +
                        "&key=" + PercentEncode(key.second);
  call.timeout = m_options.lookup_timeout;
  call.may_repeat = true;
  ++m_summary.lookups;
  const TimePoint asked = m_loop.Now();
  ClientFor(key.first).Send(
      std::move(call), [this, key, asked](HttpCallResult result) {
        m_loop.Post([this, key, asked, result = std::move(result)] {
          OnHosts(key, asked, result);
        });
      });
}

void Replayer::OnHosts(const LookupKey& key,
                       TimePoint asked,
                       const HttpCallResult& result) {
  CachedHosts& hosts = m_hosts[key];
  const auto answer = ParseHosts(result);
  if (answer) {
    const TimePoint now = m_loop.Now();
    m_summary.lookup_latency.Add(now - asked);
    hosts.addresses = answer->addresses;
    hosts.expires = now + answer->ttl;
    Release(hosts);
    return;
  }
  ++m_summary.lookups_failed;
  if (hosts.next_lookup < m_options.lookups.size()) {
    Ask(key);
    return;
  }
  // Callers go on with what they knew last.
  Release(hosts);
}

void Replayer::Release(CachedHosts& hosts) {
  hosts.asking = false;
  std::vector<AttemptPtr> waiting;
  waiting.swap(hosts.waiting);
  for (const AttemptPtr& attempt : waiting) {
    attempt->hosts = hosts.addresses;
    Send(attempt);
  }
}

HttpRequest Replayer::RequestOf(const Attempt& attempt) const {
  const TraceRequest& recorded = attempt.request;
  HttpRequest request;
  request.method = recorded.method;
  request.target = recorded.path;
  request.body = BodyOf(recorded);
  if (!recorded.key.empty()) {
    request.headers.push_back({"Authorization", "Bearer " + recorded.key});
  }
  if (!recorded.idempotency_key.empty()) {
    request.headers.push_back({"Idempotency-Key", recorded.idempotency_key});
  }
  const int64_t left = ToMillis(attempt.deadline - m_loop.Now());
  request.headers.push_back({"X-Deadline-Ms", std::to_string(left)});
  return request;
}

void Replayer::Send(const AttemptPtr& attempt) {
  const bool late = m_loop.Now() >= attempt->deadline;
  if (late || attempt->next_host >= attempt->hosts.size()) {
    const Ran ran = attempt->may_have_run ? Ran::kMayHaveRun : Ran::kNotRun;
    End(*attempt, {0, ran, Duration::zero(),
                   late ? "the deadline passed" : attempt->detail});
    return;
  }
  m_summary.other_hosts += attempt->next_host > 0 ? 1 : 0;
  HttpCall call;
  call.address = attempt->hosts[attempt->next_host++];
  call.request = RequestOf(*attempt);
  call.timeout = attempt->deadline - m_loop.Now() + kDeadlineGrace;
  ClientFor(attempt->request.client)
      .Send(std::move(call), [this, attempt](HttpCallResult result) {
        m_loop.Post([this, attempt, result = std::move(result)] {
          OnAnswer(attempt, result);
        });
      });
}

bool Replayer::MayGoOn(const Attempt& attempt, Ran ran) const {
  if (ran == Ran::kNotRun) {
    return true;
  }
  const bool safe = !attempt.request.idempotency_key.empty() ||
                    attempt.request.method == "GET";
  return m_options.resend && safe && attempt.next_host < attempt.hosts.size();
}

void Replayer::OnAnswer(const AttemptPtr& attempt,
                        const HttpCallResult& result) {
  if (result.ran == Ran::kRan) {
    RequestOutcome outcome;
    outcome.status = result.response.status;
    outcome.ran = RanOf(result.response);
    if (outcome.ran == Ran::kNotRun && attempt->may_have_run) {
      outcome.ran = Ran::kMayHaveRun;
    }
    outcome.latency = m_loop.Now() - attempt->due;
    outcome.detail = outcome.ran == Ran::kRan ? "" : result.response.body;
    End(*attempt, outcome);
    return;
  }
  attempt->detail = result.reason.text;
  if (result.ran == Ran::kMayHaveRun) {
    attempt->may_have_run = true;
  }
  if (MayGoOn(*attempt, result.ran)) {
    m_summary.resent += result.ran == Ran::kMayHaveRun ? 1 : 0;
    Send(attempt);
    return;
  }
  End(*attempt, {0, result.ran, Duration::zero(), result.reason.text});
}

void Replayer::End(const Attempt& attempt, const RequestOutcome& outcome) {
  m_scorecard.Add(attempt.request, outcome);
  ++m_ended;
  if (m_ended == m_trace.requests.size()) {
    m_done();
  }
}

HttpClient& Replayer::ClientFor(const std::string& client) {
  return *m_clients[std::hash<std::string>()(client) % m_clients.size()];
}

}  // namespace applestand
