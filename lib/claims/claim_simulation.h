#ifndef LIB_CLAIMS_CLAIM_SIMULATION_H_
#define LIB_CLAIMS_CLAIM_SIMULATION_H_

#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <utility>
#include <vector>

#include "lib/claims/claim_manager.h"
#include "lib/table_store/fake_table_service.h"

namespace applestand::claim_fuzz {

constexpr int kHosts = 3;
constexpr int kKeys = 4;
constexpr int kBodies = 2;

/// An object store in memory.
class FakeObjectStore : public ObjectStore {
 public:
  TableStatus Create(const std::string& key,
                     const std::string& bytes) override {
    return m_objects.emplace(key, bytes).second ? TableStatus::kOk
                                                : TableStatus::kConflict;
  }
  GetResult Get(const std::string& key) override {
    const auto it = m_objects.find(key);
    if (it == m_objects.end()) {
      return {TableStatus::kOk, std::nullopt};
    }
    return {TableStatus::kOk, it->second};
  }

 private:
  std::map<std::string, std::string> m_objects;
};

/// The table and the object store. All hosts share one, unless claims are kept
/// in host memory only.
struct Platform {
  FakeTableService table;
  FakeObjectStore objects;
};

/// One arrival of a request, and what the simulation knows to have happened to
/// it.
struct Arrival {
  int key = 0;
  int body = 0;
  TimePoint deadline;
  /// The host's ClaimManager emitted the event for this arrival.
  bool has_event = false;
  /// The caller was told that the request did not run.
  bool rejected_as_not_run = false;
  /// The request ran on the target.
  bool ran = false;
};

struct Host {
  std::unique_ptr<ClaimManager> manager;
  std::shared_ptr<Platform> platform;
  uint64_t incarnation = 0;
  bool paused = false;
  std::vector<ClaimStoreCall> calls_in_flight;
  std::vector<ClaimStoreCallResult> results;
  std::vector<ClaimRequestId> granted;
  /// Requests to which the target has responded and that are not yet finished.
  std::vector<std::pair<ClaimRequestId, ClaimOutcome>> responded;
};

/// One random step of the simulation.
struct Step {
  /// Selects the action; see ClaimSimulation::Run.
  int kind = 0;
  int host = 0;
  /// Selects the variant of the action.
  int choice = 0;
};

inline std::ostream& operator<<(std::ostream& os, const Step& step) {
  return os << step.kind << "/" << step.host << "/" << step.choice;
}

/// Simulates hosts, a platform with faults, and targets for the fuzz test.
/// Tracks which requests ran on a target and asserts that every event and
/// response is consistent with it.
class ClaimSimulation {
 public:
  /// If `host_memory_only`, each incarnation of a host has a platform of its
  /// own, so that claims are known neither to other hosts nor after a restart.
  explicit ClaimSimulation(bool host_memory_only);

  void Run(const Step& step);

  /// Resumes all hosts, executes all calls successfully until none is
  /// outstanding, and checks the final state: no arrival was both rejected as
  /// not run and run, and no host has unfinished entries. Without restarts,
  /// every arrival has an event, and every key without a kMayHaveRun outcome
  /// has run exactly once after one more arrival.
  void RecoverAndCheck();

 private:
  void Restart(Host& host);

  void Arrive(Host& host, int key, int body);

  /// Takes the due store calls of the host's ClaimManager into flight.
  void CollectCalls(Host& host);

  /// Ends one call in flight and queues its result. The call is executed at
  /// once, later or not at all; unless it succeeds, the host learns
  /// kUnavailable (not executed) or kUnknown.
  void ExecuteCall(Host& host, int choice);

  void DeliverResult(Host& host);

  /// Executes one delayed call, whose result nobody receives.
  void ApplyDelayedCall(int choice);

  /// Sends a granted request to the target, or finishes it without a send.
  void Send(Host& host, int choice);

  void FinishResponded(Host& host);

  void RunOnTarget(Arrival& arrival);

  void MarkRejectedAsNotRun(Arrival& arrival);

  void HandleEvents(Host& host);

  void RunUntilQuiescent();

  const bool m_host_memory_only;
  std::shared_ptr<Platform> m_shared = std::make_shared<Platform>();
  Host m_hosts[kHosts];
  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_last_id = 0;
  /// Whether a host was restarted, which leaves outcomes unknown.
  bool m_has_restarted = false;
  std::map<ClaimRequestId, Arrival> m_arrivals;
  /// The outcomes of the requests that ran on the target, by idempotency key.
  std::map<int, std::vector<ClaimOutcome>> m_runs;
  /// The (key, body) pairs that ran on the target.
  std::set<std::pair<int, int>> m_bodies_run;
  /// The keys whose runs were reported as kMayHaveRun.
  std::set<int> m_may_have_run;
  /// Calls that take effect after their result was lost.
  std::vector<std::pair<std::shared_ptr<Platform>, ClaimStoreCall>>
      m_delayed_calls;
};

}  // namespace applestand::claim_fuzz

#endif  // LIB_CLAIMS_CLAIM_SIMULATION_H_
