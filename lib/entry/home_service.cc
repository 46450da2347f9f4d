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
constexpr size_t kMaxRetryAfterDigits = 6;
constexpr const char* kHealthPath = "/healthz";

/// Returns std::nullopt unless the header is a number of seconds; the HTTP-date
/// form is ignored.
std::optional<Duration> ParseRetryAfter(const HttpResponse& response) {
  const auto value = FindHeader(response.headers, "Retry-After");
  if (!value || value->empty() || value->size() > kMaxRetryAfterDigits ||
      value->find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::strtoll(value->c_str(), nullptr, 10));
}

/// Returns whether the response says that the target rejected the request
/// because of load, without running it: 429, or 503 with a Retry-After header.
/// Any other response is the result of the request.
bool IsShed(const HttpResponse& response) {
  if (response.status == kTooManyRequests) {
    return true;
  }
  return response.status == kServiceUnavailable && ParseRetryAfter(response);
}

/// Returns whether the response body of a target's health endpoint is
/// {"state": "draining"}, possibly with further fields. A target reports this
/// when it is about to stop.
bool ReportsDraining(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  return json.is_object() && json.value("state", json) == "draining";
}

}  // namespace

HomeService::HomeService(Options options,
                         EventLoop& loop,
                         HttpClient& client,
                         AttemptIdGenerator& attempt_ids,
                         HopTracer& tracer,
                         Quarantine& quarantine,
                         OnTargetDraining on_target_draining)
    : m_options(std::move(options)),
      m_loop(loop),
      m_client(client),
      m_attempt_ids(attempt_ids),
      m_tracer(tracer),
      m_quarantine(quarantine),
      m_on_target_draining(std::move(on_target_draining)),
      m_pool(PoolPolicy()),
      m_granter(m_options.self, CapacityGranterPolicy()) {}

void HomeService::SetHomeMap(const HomeMap& home_map,
                             const std::vector<RegionId>& regions) {
  for (const RegionId& region : regions) {
    if (region != m_options.region) {
      m_granter.SetLink(region, m_options.link_bytes_per_second, 1);
    }
  }
  Execute(m_pool.SetTargets(home_map.TargetsOf(m_options.self), m_loop.Now()));
}

void HomeService::Run(ForwardRequest request, Done done) {
  const TimePoint now = m_loop.Now();
  m_last_id = m_last_id.Next();
  const DispatchId id = m_last_id;
  OpenRequest open;
  open.foreign = request.from_region != m_options.region;
  open.deadline = now + request.time_left;
  open.done = std::move(done);
  open.request = std::move(request);
  open.span = m_tracer.StartSpan(open.request.traceparent);
  const ForwardRequest& forwarded = open.request;
  if (open.foreign) {
    UpdateGrantCapacity();
    if (!m_granter.Admit(forwarded.from, forwarded.service, now)) {
      ForwardReply reply;
      reply.reason = "no headroom granted";
      reply.report = MakeReport();
      open.done(std::move(reply));
      return;
    }
  }
  Submission submission{id,
                        forwarded.service,
                        forwarded.account,
                        forwarded.weight,
                        open.deadline,
                        forwarded.avoid};
  m_open_requests.emplace(id, std::move(open));
  Execute(m_pool.Submit(submission, now));
}

void HomeService::Execute(const std::vector<PoolDecision>& decisions) {
  for (const PoolDecision& decision : decisions) {
    if (const auto* start = std::get_if<Start>(&decision)) {
      SendToTarget(*start);
    } else if (const auto* refused = std::get_if<Refused>(&decision)) {
      Refuse(*refused);
    }
  }
}

HttpCall HomeService::MakeCall(OpenRequest& open, const std::string& address) {
  HttpCall call;
  call.address = address;
  call.timeout = std::max<Duration>(open.deadline - m_loop.Now(),
                                    std::chrono::milliseconds(1));
  call.may_repeat = open.request.repeatable;
  call.attempt_id = m_attempt_ids.Next();
  call.request.method = open.request.method;
  call.request.target = open.request.target;
  call.request.headers = FromHeaderPairs(open.request.headers);
  call.request.body = open.request.body;
  if (const auto header = MakeDeadlineHeader(open.deadline, m_loop.Now())) {
    call.request.headers.push_back(*header);
  }
  call.request.headers.push_back(
      {kTraceparentHeader, FormatTraceparent(open.span.context)});
  return call;
}

void HomeService::SendToTarget(const Start& start) {
  OpenRequest& open = m_open_requests.at(start.id);
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
  const OpenRequest& open = m_open_requests.at(id);
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
    retry_after = ParseRetryAfter(result.response);
    // If the response is not attributed, an earlier sending of the request may
    // have reached the target.
    reply.ran = result.attributed ? Ran::kNotRun : Ran::kMayHaveRun;
    reply.reason = "target sheds load";
    reply.retry_after = retry_after.value_or(Duration::zero());
  } else {
    reply.ran = Ran::kRan;
    reply.status = result.response.status;
    reply.headers = ToHeaderPairs(result.response.headers);
    reply.body = std::move(result.response.body);
  }
  ReportToQuarantine(open, result);
  Finish(id, std::move(reply));
  Execute(m_pool.OnFinished(id, outcome, retry_after, now));
}

void HomeService::ReportToQuarantine(const OpenRequest& open,
                                     const HttpCallResult& result) {
  const TimePoint now = m_loop.Now();
  const Fingerprint& fingerprint = open.request.fingerprint;
  if (result.ran == Ran::kRan) {
    m_quarantine.OnCompleteResponse(fingerprint, now);
    MarkTargetUp(open.target);
    return;
  }
  // The connection was refused, so no process is listening at the target's
  // address any more.
  if (result.ran == Ran::kNotRun) {
    MarkTargetDown(open.target);
    return;
  }
  const bool timed_out = now >= open.deadline;
  if (!timed_out) {
    m_quarantine.OnAttemptAborted(fingerprint, open.target, now);
  }
}

void HomeService::MarkTargetUp(const TargetId& target) {
  m_down_targets.erase(target);
}

void HomeService::MarkTargetDown(const TargetId& target) {
  if (m_down_targets.insert(target).second) {
    m_quarantine.OnTargetCrash(target, m_loop.Now());
  }
}

void HomeService::Finish(DispatchId id, ForwardReply reply) {
  const auto it = m_open_requests.find(id);
  OpenRequest open = std::move(it->second);
  m_open_requests.erase(it);
  if (open.foreign) {
    m_granter.Release(open.request.from, open.request.service);
  }
  m_tracer.EndSpan(open.span, "home", reply.ran != Ran::kRan,
                   {{"target", reply.target.value()},
                    {"ran", ToString(reply.ran)},
                    {"reason", reply.reason}});
  reply.report = MakeReport();
  open.done(std::move(reply));
}

void HomeService::UpdateGrantCapacity() {
  const TimePoint now = m_loop.Now();
  for (const ServiceId& service : m_pool.Services()) {
    const PoolLoad load = m_pool.LoadOf(service, now);
    const uint32_t total = load.in_flight + load.queued;
    const uint32_t foreign = m_granter.ForeignInFlight(service);
    const uint32_t local = total > foreign ? total - foreign : 0;
    m_granter.SetCapacity(service, {load.allowed, local, load.service_time});
  }
}

std::optional<GrantReply> HomeService::OnGrantRequest(
    const GrantRequest& request) {
  UpdateGrantCapacity();
  return m_granter.OnRequest(request, m_loop.Now());
}

CapacityReport HomeService::MakeReport() {
  return MakeCapacityReport(m_pool, m_options.self, m_options.incarnation,
                            ++m_report_sequence, m_loop.Now());
}

void HomeService::Tick() {
  const TimePoint now = m_loop.Now();
  UpdateGrantCapacity();
  Execute(m_pool.Tick(now));
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
  call.attempt_id = m_attempt_ids.Next();
  // Health endpoints may not name attempts even if the rest of a target does.
  call.own_connection = true;
  m_client.Send(std::move(call), [this, id = target.id](HttpCallResult result) {
    m_loop.Post(
        [this, id, result = std::move(result)] { OnProbeResult(id, result); });
  });
}

void HomeService::OnProbeResult(const TargetId& target,
                                const HttpCallResult& result) {
  ProbeResult probe;
  probe.target = target;
  const bool responded = result.ran == Ran::kRan;
  probe.draining = responded && ReportsDraining(result.response.body);
  if (responded) {
    MarkTargetUp(target);
  }
  probe.healthy = responded && result.response.status == 200;
  if (result.ran == Ran::kNotRun) {
    MarkTargetDown(target);
  }
  if (probe.draining) {
    m_on_target_draining(target);
  }
  Execute(m_pool.OnProbe(probe, m_loop.Now()));
}

}  // namespace applestand
