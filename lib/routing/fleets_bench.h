#ifndef LIB_ROUTING_FLEETS_BENCH_H_
#define LIB_ROUTING_FLEETS_BENCH_H_

#include <memory>

#include "lib/headroom/capacity_granter.h"
#include "lib/routing/model_bench.h"
#include "lib/routing/router.h"
#include "lib/targets/target_pool.h"

namespace applestand::bench {

/// Home hosts with exact slots, fair queues and grants between regions.
class HomeHostFleet : public World {
 public:
  using World::World;

 protected:
  void Arrive(Request& request) override;
  void Begin() override;
  void OnMembership() override;
  void OnLeaving(int host) override;

 private:
  /// The decision objects of one entry host.
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
  /// One request at its home host.
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
  void AtHome(const Job& job);
  void Carry(int home, const std::vector<PoolDecision>& decisions);
  void CallTarget(int home, const Start& start);
  void OnAnswer(int home, DispatchId id, Answer answer);
  void Back(const Job& job, AttemptEnd end, bool served);
  void Broadcast(int host);
  void Probe(int host);
  void Lend(int host);
  std::optional<GrantReply> Grant(int granter, const GrantRequest& request);
  void SetCapacity(int host);
  Job TakeJob(DispatchId id);
  CapacityReport ReportOf(int host);
  int IndexOf(const HostId& id) const;

  std::vector<std::unique_ptr<Entry>> m_entries;
  std::map<DispatchId, Job> m_jobs;
  uint64_t m_last_dispatch = 0;
};

/// The baseline: each host picks by power of two choices on load reports that
/// lag a second, and tries again elsewhere after a shed or failure.
class PowerOfTwoFleet : public World {
 public:
  using World::World;

 protected:
  void Arrive(Request& request) override;
  void Begin() override;
  void OnMembership() override {}
  void OnLeaving(int host) override;

 private:
  void Attempt(uint64_t id, int tries);
  SimTarget* Pick(int host, bool local);
  void Publish();

  std::map<TargetId, uint32_t> m_seen;
  std::vector<std::map<TargetId, uint32_t>> m_own;
  std::vector<bool> m_knows_leaving;
};

}  // namespace applestand::bench

#endif  // LIB_ROUTING_FLEETS_BENCH_H_
