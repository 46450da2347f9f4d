#ifndef LIB_ENTRY_HOME_SERVICE_H_
#define LIB_ENTRY_HOME_SERVICE_H_

#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/entry/hop_tracer.h"
#include "lib/forward/messages.h"
#include "lib/headroom/capacity_granter.h"
#include "lib/http/attempt_id.h"
#include "lib/http/client.h"
#include "lib/quarantine/quarantine.h"
#include "lib/targets/home_map.h"
#include "lib/targets/target_pool.h"

namespace applestand {

/// Runs requests at the targets whose home host is this host. The home host of
/// a target is the only host that admits requests to it. Not thread-safe; all
/// calls must come from the event loop.
class HomeService {
 public:
  using Done = std::function<void(ForwardReply)>;
  /// Called when a target's health endpoint reports that the target is
  /// draining.
  using OnTargetDraining = std::function<void(const TargetId&)>;

  struct Options {
    HostId self;
    RegionId region;
    Incarnation incarnation;
    /// Bytes per second that may come from each other region.
    uint64_t link_bytes_per_second = 0;
  };

  /// The references must outlive this object.
  HomeService(Options options,
              EventLoop& loop,
              HttpClient& client,
              AttemptIdGenerator& attempt_ids,
              HopTracer& tracer,
              Quarantine& quarantine,
              OnTargetDraining on_target_draining);

  /// Applies a new home map and the regions of the live hosts.
  void SetHomeMap(const HomeMap& home_map,
                  const std::vector<RegionId>& regions);

  /// Runs or queues a request, or rejects it immediately. Calls `done` exactly
  /// once, possibly before this method returns.
  void Run(ForwardRequest request, Done done);

  /// Handles a request by a host of another region to lend it spare slots.
  /// Returns std::nullopt if the request needs no reply.
  std::optional<GrantReply> OnGrantRequest(const GrantRequest& request);

  /// Returns a report of the current capacity of this host, with the next
  /// sequence number.
  CapacityReport MakeReport();

  /// Sends the health probes that are due, rejects queued requests whose
  /// deadline has passed, and starts those for which a slot is free. Must be
  /// called about every 100 ms.
  void Tick();

  /// Number of requests that are running or queued here.
  size_t open_requests() const { return m_open_requests.size(); }

 private:
  struct OpenRequest {
    ForwardRequest request;
    Done done;
    TimePoint deadline;
    TimePoint started;
    TargetId target;
    // Came from another region and runs under a grant to the sending host.
    bool foreign = false;
    ActiveSpan span;
  };

  void Execute(const std::vector<PoolDecision>& decisions);
  void SendToTarget(const Start& start);
  void Refuse(const Refused& refused);
  void OnTargetResult(DispatchId id, HttpCallResult result);
  /// Reports the end of an attempt to the quarantine, which blocks requests
  /// that crash targets.
  void ReportToQuarantine(const OpenRequest& open,
                          const HttpCallResult& result);
  void MarkTargetUp(const TargetId& target);
  /// Reports a crash to the quarantine unless the target was down already.
  void MarkTargetDown(const TargetId& target);
  void Finish(DispatchId id, ForwardReply reply);
  HttpCall MakeCall(OpenRequest& open, const std::string& address);
  /// Passes the current load to the granter, which requires it before it
  /// handles a request.
  void UpdateGrantCapacity();
  void SendProbe(const Target& target);
  void OnProbeResult(const TargetId& target, const HttpCallResult& result);

  const Options m_options;
  EventLoop& m_loop;
  HttpClient& m_client;
  AttemptIdGenerator& m_attempt_ids;
  HopTracer& m_tracer;
  Quarantine& m_quarantine;
  const OnTargetDraining m_on_target_draining;
  TargetPool m_pool;
  CapacityGranter m_granter;
  DispatchId m_last_id;
  uint64_t m_report_sequence = 0;
  std::unordered_map<DispatchId, OpenRequest> m_open_requests;
  // Targets that were found down and have not responded since.
  std::set<TargetId> m_down_targets;
};

}  // namespace applestand

#endif  // LIB_ENTRY_HOME_SERVICE_H_
