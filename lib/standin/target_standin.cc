#include "lib/standin/target_standin.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "lib/base/verdict.h"
#include "lib/standin/attempt_reply.h"

namespace applestand {

namespace {

using nlohmann::json;

/// How often running work looks for a caller that has gone.
constexpr Duration kCancelCheck = std::chrono::milliseconds(2);
constexpr uint64_t kMaxAnswerBytes = uint64_t{64} << 20;
constexpr uint64_t kMaxMillis = 1'000'000'000;

std::optional<uint64_t> ParseUnsigned(const std::string& text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

HttpResponse Problem(int status, const std::string& title, Ran ran) {
  HttpResponse response = JsonResponse(
      status, json{{"title", title}, {"ran", ToString(ran)}}.dump());
  response.headers.front().value = "application/problem+json";
  return response;
}

}  // namespace

/// One request that holds a slot.
struct TargetStandin::Work {
  HttpRequest request;
  HttpReply reply;
  TimePoint end;
  std::optional<TimePoint> deadline;
};

TargetStandin::TargetStandin(EventLoop& loop,
                             Journal& journal,
                             TargetStandinOptions options,
                             std::function<void()> crash)
    : m_loop(loop),
      m_journal(journal),
      m_options(std::move(options)),
      m_crash(std::move(crash)),
      m_shown_busy(m_options.load_lag, 0) {
  m_faults.slots = m_options.slots;
  m_faults.service_time = m_options.service_time;
}

void TargetStandin::Handle(HttpRequest request, HttpReply reply) {
  reply = WithAttemptId(request, std::move(reply));
  m_loop.Post([this, request = std::move(request), reply = std::move(reply)] {
    Serve(request, reply);
  });
}

void TargetStandin::Serve(const HttpRequest& request, const HttpReply& reply) {
  if (request.connection != nullptr) {
    m_last_connection = std::max(m_last_connection, request.connection->id);
  }
  const std::string_view path = PathOf(request);
  if (path == "/faults" && request.method == "POST") {
    reply(SetFaults(request));
  } else if (path == "/journal") {
    reply(JsonResponse(200, m_journal.ToJsonArray()));
  } else if (path == "/stats") {
    reply(Stats());
  } else if (IsSilent(request)) {
    m_held.push_back(reply);
  } else if (path == "/healthz") {
    reply(Health());
  } else if (path == "/load") {
    reply(Load());
  } else {
    Start(request, reply);
  }
}

bool TargetStandin::IsSilent(const HttpRequest& request) const {
  switch (m_faults.silence) {
    case TargetFaults::Silence::kOff:
      return false;
    case TargetFaults::Silence::kAll:
      return true;
    case TargetFaults::Silence::kOpenConnections:
      return request.connection != nullptr &&
             request.connection->id <= m_last_silent_connection;
  }
  return false;
}

void TargetStandin::Start(const HttpRequest& request, const HttpReply& reply) {
  const bool draining = m_faults.drain != TargetFaults::Drain::kOff;
  const bool refuses = m_faults.drain == TargetFaults::Drain::kRefuse;
  if (refuses || m_busy >= m_faults.slots) {
    reply(Shed());
    return;
  }
  auto work = std::make_shared<Work>();
  const TimePoint now = m_loop.Now();
  if (const auto header = FindHeader(request.headers, "X-Deadline-Ms")) {
    const uint64_t left =
        std::min(ParseUnsigned(*header).value_or(0), kMaxMillis);
    if (left == 0) {
      ++m_deadline;
      reply(Problem(504, "no time left", Ran::kNotRun));
      return;
    }
    work->deadline = now + std::chrono::milliseconds(left);
  }
  m_journal.Record({m_options.name, now, draining, request});
  if (IsMarked(request)) {
    m_crash();
  }
  work->request = request;
  work->reply = reply;
  work->end = now + ServiceTime();
  ++m_ran;
  SetBusy(m_busy + 1);
  Continue(work);
}

void TargetStandin::Continue(const std::shared_ptr<Work>& work) {
  const TimePoint now = m_loop.Now();
  if (work->request.connection != nullptr && work->request.connection->closed) {
    ++m_cancelled;
    End(work, Problem(499, "cancelled", Ran::kMayHaveRun));
    return;
  }
  if (work->deadline && *work->deadline <= now) {
    ++m_deadline;
    End(work, Problem(504, "deadline passed", Ran::kMayHaveRun));
    return;
  }
  if (work->end <= now) {
    End(work, Answer(work->request));
    return;
  }
  const Duration wait = std::min(work->end - now, kCancelCheck);
  m_loop.PostDelayed(wait, [this, work] { Continue(work); });
}

void TargetStandin::End(const std::shared_ptr<Work>& work,
                        HttpResponse response) {
  SetBusy(m_busy - 1);
  if (IsSilent(work->request)) {
    m_held.push_back(work->reply);
    return;
  }
  if (m_faults.half_answers > 0) {
    --m_faults.half_answers;
    const size_t whole = response.body.size();
    response.headers.push_back({"Content-Length", std::to_string(whole)});
    response.body.resize(whole / 2);
  }
  work->reply(std::move(response));
}

void TargetStandin::SetBusy(uint32_t busy) {
  m_busy = busy;
  m_shown_busy.Set(m_loop.Now(), busy);
  // Keeps the history short while nobody asks for the load.
  m_shown_busy.Get(m_loop.Now());
}

Duration TargetStandin::ServiceTime() {
  const bool cold = m_ran < m_options.cold_requests;
  return m_faults.service_time +
         (cold ? m_options.cold_time : Duration::zero());
}

bool TargetStandin::IsMarked(const HttpRequest& request) const {
  const std::string& marker = m_options.crash_marker;
  if (marker.empty()) {
    return false;
  }
  const auto marked = [&marker](const HttpHeader& header) {
    return header.value.find(marker) != std::string::npos;
  };
  return request.body.find(marker) != std::string::npos ||
         std::any_of(request.headers.begin(), request.headers.end(), marked);
}

HttpResponse TargetStandin::Answer(const HttpRequest& request) {
  json document = {{"target", m_options.name},
                   {"method", request.method},
                   {"path", request.target},
                   {"body_bytes", request.body.size()},
                   {"body_sha256", Sha256Hex(request.body)},
                   {"idempotency_key", nullptr}};
  if (const auto key = FindHeader(request.headers, "Idempotency-Key")) {
    document["idempotency_key"] = *key;
  }
  if (const auto text = QueryParameter(request, "answer_bytes")) {
    const uint64_t bytes = ParseUnsigned(*text).value_or(0);
    document["padding"] = std::string(std::min(bytes, kMaxAnswerBytes), 'x');
  }
  return JsonResponse(
      200, document.dump(-1, ' ', false, json::error_handler_t::replace));
}

HttpResponse TargetStandin::Shed() {
  ++m_shed;
  HttpResponse response = Problem(503, "no slot free", Ran::kNotRun);
  response.headers.push_back({"Retry-After", "1"});
  return response;
}

HttpResponse TargetStandin::Health() const {
  bool healthy = m_faults.drain == TargetFaults::Drain::kOff;
  if (m_faults.health != TargetFaults::Report::kTrue) {
    healthy = m_faults.health == TargetFaults::Report::kLow;
  }
  return JsonResponse(healthy ? 200 : 503,
                      json{{"state", healthy ? "up" : "draining"}}.dump());
}

HttpResponse TargetStandin::Load() {
  uint32_t busy = m_shown_busy.Get(m_loop.Now());
  if (m_faults.load != TargetFaults::Report::kTrue) {
    busy = m_faults.load == TargetFaults::Report::kLow ? 0 : m_faults.slots;
  }
  return JsonResponse(200,
                      json{{"slots", m_faults.slots}, {"busy", busy}}.dump());
}

HttpResponse TargetStandin::Stats() const {
  return JsonResponse(200, json{{"ran", m_ran},
                                {"shed", m_shed},
                                {"cancelled", m_cancelled},
                                {"deadline", m_deadline},
                                {"busy", m_busy}}
                               .dump());
}

HttpResponse TargetStandin::SetFaults(const HttpRequest& request) {
  Reason reason;
  bool silence_named = false;
  if (!m_faults.Apply(request.body, silence_named, reason)) {
    return JsonResponse(400, json{{"error", reason.text}}.dump());
  }
  if (silence_named) {
    m_last_silent_connection = m_last_connection;
  }
  return JsonResponse(200, "{}");
}

}  // namespace applestand
