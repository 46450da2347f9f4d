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
#include "lib/http/client.h"
#include "lib/quarantine/quarantine.h"
#include "lib/targets/home_map.h"
#include "lib/targets/target_pool.h"

namespace applestand {

/// Runs requests at the targets that this host is home to.
/// Single-threaded: lives on one event loop.
class HomeService {
 public:
  using Done = std::function<void(ForwardReply)>;
  /// Called when a target says that it is leaving.
  using OnLeaving = std::function<void(const TargetId&)>;

  struct Options {
    HostId self;
    RegionId region;
    Incarnation incarnation;
    uint64_t link_bytes_per_second = 0;
  };

  HomeService(Options options,
              EventLoop& loop,
              HttpClient& client,
              HopTracer& tracer,
              Quarantine& quarantine,
              OnLeaving on_leaving);

  /// Takes over a new home map.
  void SetHomes(const HomeMap& homes, const std::vector<RegionId>& regions);

  /// Runs or queues a request, or refuses it at once. `done` runs once.
  void Run(ForwardRequest request, Done done);

  /// Answers a request for headroom by another region's host.
  std::optional<GrantReply> OnGrantRequest(const GrantRequest& request);

  /// What this host can take now.
  CapacityReport Report();

  /// Probes targets and ends waits that are over. Call about every 100 ms.
  void Tick();

  /// Requests that run or wait here.
  size_t open() const { return m_open.size(); }

 private:
  struct Open {
    ForwardRequest request;
    Done done;
    TimePoint deadline;
    TimePoint started;
    TargetId target;
    bool foreign = false;
    HopSpan span;
  };

  void CarryOut(const std::vector<PoolDecision>& decisions);
  void StartAt(const Start& start);
  void Refuse(const Refused& refused);
  void OnTargetResult(DispatchId id, HttpCallResult result);
  void NoteForQuarantine(const Open& open, const HttpCallResult& result);
  void NoteAlive(const TargetId& target);
  void NoteDown(const TargetId& target);
  void Finish(DispatchId id, ForwardReply reply);
  HttpCall MakeCall(Open& open, const std::string& address);
  void UpdateGrantCapacity();
  void SendProbe(const Target& target);
  void OnProbeResult(const TargetId& target, const HttpCallResult& result);

  const Options m_options;
  EventLoop& m_loop;
  HttpClient& m_client;
  HopTracer& m_tracer;
  Quarantine& m_quarantine;
  const OnLeaving m_on_leaving;
  TargetPool m_pool;
  CapacityGranter m_granter;
  DispatchId m_last_id;
  uint64_t m_report_sequence = 0;
  std::unordered_map<DispatchId, Open> m_open;
  // Targets seen down and not yet up again.
  std::set<TargetId> m_down;
};

}  // namespace applestand

#endif  // LIB_ENTRY_HOME_SERVICE_H_
