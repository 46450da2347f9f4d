#include "lib/entry/home_service.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "lib/log/log.h"
#include "lib/retry/deadline.h"
#include "lib/routing/capacity_report.h"

namespace applestand {

namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr const char* kHealthPath = "/healthz";

std::optional<Duration> RetryAfterOf(const HttpResponse& response) {
  const auto value = FindHeader(response.headers, "Retry-After");
  if (!value || value->empty() || value->size() > 6 ||
      value->find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::strtoll(value->c_str(), nullptr, 10));
}

/// A target sheds by 429, or by 503 with a time to come back; then it has not
/// run the request. Any other answer is the request's own.
bool IsShed(const HttpResponse& response) {
  if (response.status == kTooManyRequests) {
    return true;
  }
  return response.status == kServiceUnavailable && RetryAfterOf(response);
}

/// A target that is about to stop answers its health endpoint with
/// {"state": "draining"}.
bool SaysDraining(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  return json.is_object() && json.value("state", json) == "draining";
}

}  // namespace

HomeService::HomeService(Options options,
                         EventLoop& loop,
                         HttpClient& client,
                         HopTracer& tracer,
                         Quarantine& quarantine,
                         OnLeaving on_leaving)
    : m_options(std::move(options)),
      m_loop(loop),
      m_client(client),
      m_tracer(tracer),
      m_quarantine(quarantine),
      m_on_leaving(std::move(on_leaving)),
      m_pool(PoolPolicy()),
      m_granter(m_options.self, CapacityGranterPolicy()) {}

void HomeService::SetHomes(const HomeMap& homes,
                           const std::vector<RegionId>& regions) {
  for (const RegionId& region : regions) {
    if (region != m_options.region) {
      m_granter.SetLink(region, m_options.link_bytes_per_second, 1);
    }
  }
  CarryOut(m_pool.SetTargets(homes.TargetsOf(m_options.self), m_loop.Now()));
}

void HomeService::Run(ForwardRequest request, Done done) {
  const TimePoint now = m_loop.Now();
  m_last_id = m_last_id.Next();
  const DispatchId id = m_last_id;
  Open open;
  open.foreign = request.from_region != m_options.region;
  open.deadline = now + request.time_left;
  open.done = std::move(done);
  open.request = std::move(request);
  open.span = m_tracer.Begin(open.request.traceparent);
  const ForwardRequest& taken = open.request;
  if (open.foreign) {
    UpdateGrantCapacity();
    if (!m_granter.Admit(taken.from, taken.service, now)) {
      ForwardReply reply;
      reply.reason = "no headroom granted";
      reply.report = Report();
      open.done(std::move(reply));
      return;
    }
  }
  Submission submission{id,           taken.service, taken.account,
                        taken.weight, open.deadline, taken.avoid};
  m_open.emplace(id, std::move(open));
  CarryOut(m_pool.Submit(submission, now));
}

void HomeService::CarryOut(const std::vector<PoolDecision>& decisions) {
  for (const PoolDecision& decision : decisions) {
    if (const auto* start = std::get_if<Start>(&decision)) {
      StartAt(*start);
    } else if (const auto* refused = std::get_if<Refused>(&decision)) {
      Refuse(*refused);
    }
  }
}

HttpCall HomeService::MakeCall(Open& open, const std::string& address) {
  HttpCall call;
  call.address = address;
  call.timeout = std::max<Duration>(open.deadline - m_loop.Now(),
                                    std::chrono::milliseconds(1));
  call.may_repeat = open.request.repeatable;
  call.request.method = open.request.method;
  call.request.target = open.request.target;
  call.request.headers = FromPairs(open.request.headers);
  call.request.body = open.request.body;
  if (const auto header = MakeDeadlineHeader(open.deadline, m_loop.Now())) {
    call.request.headers.push_back(*header);
  }
  call.request.headers.push_back(
      {kTraceparentHeader, FormatTraceparent(open.span.context)});
  return call;
}

void HomeService::StartAt(const Start& start) {
  Open& open = m_open.at(start.id);
  open.target = start.target;
  open.started = m_loop.Now();
  const DispatchId id = start.id;
  m_client.Send(MakeCall(open, start.address),
                [this, id](HttpCallResult result) {
                  m_loop.Post([this, id, result = std::move(result)]() mutable {
                    OnTargetResult(id, std::move(result));
                  });
                });
}

void HomeService::Refuse(const Refused& refused) {
  ForwardReply reply;
  reply.ran = Ran::kNotRun;
  reply.reason = ToString(refused.reason);
  reply.retry_after = refused.retry_after;
  Finish(refused.id, std::move(reply));
}

void HomeService::OnTargetResult(DispatchId id, HttpCallResult result) {
  const Open& open = m_open.at(id);
  const TimePoint now = m_loop.Now();
  ForwardReply reply;
  reply.target = open.target;
  TargetOutcome outcome = TargetOutcome::kServed;
  std::optional<Duration> retry_after;
  if (result.ran != Ran::kRan) {
    outcome = TargetOutcome::kFailed;
    reply.ran = result.ran;
    reply.reason = result.reason.text;
  } else if (IsShed(result.response)) {
    outcome = TargetOutcome::kShed;
    retry_after = RetryAfterOf(result.response);
    reply.ran = Ran::kNotRun;
    reply.reason = "target sheds load";
    reply.retry_after = retry_after.value_or(Duration::zero());
  } else {
    reply.ran = Ran::kRan;
    reply.status = result.response.status;
    reply.headers = ToPairs(result.response.headers);
    reply.body = std::move(result.response.body);
  }
  NoteForQuarantine(open, result);
  Finish(id, std::move(reply));
  CarryOut(m_pool.OnFinished(id, outcome, retry_after, now));
}

void HomeService::NoteForQuarantine(const Open& open,
                                    const HttpCallResult& result) {
  const TimePoint now = m_loop.Now();
  const Fingerprint& fingerprint = open.request.fingerprint;
  if (result.ran == Ran::kRan) {
    m_quarantine.OnCompleteResponse(fingerprint, now);
    NoteAlive(open.target);
    return;
  }
  // A refused connection shows that nothing listens there any more.
  if (result.ran == Ran::kNotRun) {
    NoteDown(open.target);
    return;
  }
  const bool timed_out = now >= open.deadline;
  if (!timed_out) {
    m_quarantine.OnAttemptAborted(fingerprint, open.target, now);
  }
}

void HomeService::NoteAlive(const TargetId& target) {
  m_down.erase(target);
}

void HomeService::NoteDown(const TargetId& target) {
  if (m_down.insert(target).second) {
    m_quarantine.OnTargetCrash(target, m_loop.Now());
  }
}

void HomeService::Finish(DispatchId id, ForwardReply reply) {
  const auto it = m_open.find(id);
  Open open = std::move(it->second);
  m_open.erase(it);
  if (open.foreign) {
    m_granter.Release(open.request.from, open.request.service);
  }
  m_tracer.End(open.span, "home", reply.ran != Ran::kRan,
               {{"target", reply.target.value()},
                {"ran", ToString(reply.ran)},
                {"reason", reply.reason}});
  reply.report = Report();
  open.done(std::move(reply));
}

void HomeService::UpdateGrantCapacity() {
  const TimePoint now = m_loop.Now();
  for (const ServiceId& service : m_pool.Services()) {
    const PoolLoad load = m_pool.LoadOf(service, now);
    const uint32_t taken = load.in_flight + load.queued;
    const uint32_t foreign = m_granter.ForeignInFlight(service);
    const uint32_t local = taken > foreign ? taken - foreign : 0;
    m_granter.SetCapacity(service, {load.allowed, local, load.service_time});
  }
}

std::optional<GrantReply> HomeService::OnGrantRequest(
    const GrantRequest& request) {
  UpdateGrantCapacity();
  return m_granter.OnRequest(request, m_loop.Now());
}

CapacityReport HomeService::Report() {
  return MakeCapacityReport(m_pool, m_options.self, m_options.incarnation,
                            ++m_report_sequence, m_loop.Now());
}

void HomeService::Tick() {
  const TimePoint now = m_loop.Now();
  UpdateGrantCapacity();
  CarryOut(m_pool.Tick(now));
  for (const Target& target : m_pool.DueProbes(now)) {
    SendProbe(target);
  }
}

void HomeService::SendProbe(const Target& target) {
  HttpCall call;
  call.address = target.address;
  call.request.method = "GET";
  call.request.target = kHealthPath;
  call.timeout = TargetPolicy().probe_timeout;
  call.may_repeat = true;
  m_client.Send(std::move(call), [this, id = target.id](HttpCallResult result) {
    m_loop.Post(
        [this, id, result = std::move(result)] { OnProbeResult(id, result); });
  });
}

void HomeService::OnProbeResult(const TargetId& target,
                                const HttpCallResult& result) {
  ProbeResult probe;
  probe.target = target;
  const bool answered = result.ran == Ran::kRan;
  probe.draining = answered && SaysDraining(result.response.body);
  if (answered) {
    NoteAlive(target);
  }
  probe.healthy = answered && result.response.status == 200;
  if (result.ran == Ran::kNotRun) {
    NoteDown(target);
  }
  if (probe.draining) {
    m_on_leaving(target);
  }
  CarryOut(m_pool.OnProbe(probe, m_loop.Now()));
}

}  // namespace applestand
