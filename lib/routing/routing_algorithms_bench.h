#ifndef LIB_ROUTING_ROUTING_ALGORITHMS_BENCH_H_
#define LIB_ROUTING_ROUTING_ALGORITHMS_BENCH_H_

#include <memory>

#include "lib/headroom/capacity_granter.h"
#include "lib/routing/router.h"
#include "lib/routing/simulation_bench.h"
#include "lib/targets/target_pool.h"

namespace applestand::bench {

/// Routes requests by home hosts, with exact slot counts, fair queues and
/// grants between regions.
class HomeHostSimulation : public Simulation {
 public:
  using Simulation::Simulation;

 protected:
  void Arrive(Request& request) override;
  void Begin() override;
  void OnMembership() override;
  void OnDrain(int host) override;

 private:
  /// The state and routing objects of one entry host.
  struct Entry {
    Entry(const HostId& id, const RegionId& region);
    TargetPool pool;
    CapacityGranter granter;
    CapacityGrantHolder grants;
    TrafficShares shares;
    Router router;
    std::map<TargetId, Target> config;
    uint64_t sequence = 0;
    std::vector<LiveHost> live;
  };
  /// One attempt of a request at a home host.
  struct Job {
    uint64_t request = 0;
    int account = 0;
    int from = 0;
    int home = 0;
    RouteChoice choice;
    RouteQuery query;
    TimePoint deadline;
  };

  void ApplyConfig(int host);
  void Attempt(Request& request, RouteQuery query);
  void OnArrivalAtHome(const Job& job);
  void ApplyDecisions(int home, const std::vector<PoolDecision>& decisions);
  void CallTarget(int home, const Start& start);
  void OnTargetResponse(int home, DispatchId id, CallOutcome outcome);
  void ReturnResult(const Job& job, AttemptEnd end, bool served);
  void Broadcast(int host);
  void Probe(int host);
  void RequestGrants(int host);
  std::optional<GrantReply> Grant(int granter, const GrantRequest& request);
  void SetCapacity(int host);
  Job TakeJob(DispatchId id);
  CapacityReport MakeHostReport(int host);
  int IndexOf(const HostId& id) const;

  std::vector<std::unique_ptr<Entry>> m_entries;
  std::map<DispatchId, Job> m_jobs;
  uint64_t m_last_dispatch = 0;
};

/// Baseline: each entry host picks targets by power of two choices, using load
/// reports that are one second old, and retries at another target if the
/// request was shed or the connection refused.
class PowerOfTwoSimulation : public Simulation {
 public:
  using Simulation::Simulation;

 protected:
  void Arrive(Request& request) override;
  void Begin() override;
  void OnMembership() override {}
  void OnDrain(int host) override;

 private:
  void Attempt(uint64_t id, int tries);
  SimTarget* Pick(int host, bool local);
  void Publish();

  // Requests in flight by target, as last reported.
  std::map<TargetId, uint32_t> m_reported;
  // Requests in flight that each entry host itself sent, by target.
  std::vector<std::map<TargetId, uint32_t>> m_own_in_flight;
  std::vector<bool> m_knows_drain;
};

}  // namespace applestand::bench

#endif  // LIB_ROUTING_ROUTING_ALGORITHMS_BENCH_H_
