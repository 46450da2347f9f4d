#ifndef LIB_CLAIMS_CLAIM_WORLD_H_
#define LIB_CLAIMS_CLAIM_WORLD_H_

#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <utility>
#include <vector>

#include "lib/claims/claim_book.h"
#include "lib/table_store/fake_table_service.h"

namespace applestand::claim_fuzz {

constexpr int kHosts = 3;
constexpr int kKeys = 4;
constexpr int kBodies = 2;

class FakeObjects : public ObjectStore {
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

/// The platform as one host sees it.
struct Platform {
  FakeTableService table;
  FakeObjects objects;
};

struct Arrival {
  int key = 0;
  int body = 0;
  TimePoint deadline;
  bool answered = false;
  bool refused_not_run = false;
  bool ran = false;
};

struct Host {
  std::unique_ptr<ClaimBook> book;
  std::shared_ptr<Platform> platform;
  uint64_t incarnation = 0;
  bool frozen = false;
  std::vector<ClaimWork> open;
  std::vector<ClaimWorkResult> results;
  std::vector<ClaimRequestId> granted;
  /// Sent and answered by the target, not yet finished.
  std::vector<std::pair<ClaimRequestId, ClaimOutcome>> answered;
};

struct Step {
  int kind = 0;
  int host = 0;
  int choice = 0;
};

inline std::ostream& operator<<(std::ostream& os, const Step& step) {
  return os << step.kind << "/" << step.host << "/" << step.choice;
}

/// Hosts, a faulty platform and targets, for the fuzz test. Keeps account of
/// what really ran and asserts that every answer is true to it.
class World {
 public:
  explicit World(bool host_memory_only);

  void Run(const Step& step);

  /// Heals everything and checks what must hold in the end.
  void Settle();

 private:
  void Restart(Host& host);

  void Arrive(Host& host, int key, int body);

  void Pump(Host& host);

  // One call reaches the platform, or does not, or later.
  void Serve(Host& host, int choice);

  void Deliver(Host& host);

  void LandLate(int choice);

  void Send(Host& host, int choice);

  void FinishAnswered(Host& host);

  void RunAtTarget(Arrival& arrival);

  void Refused(Arrival& arrival);

  void Act(Host& host);

  void Drain();

  const bool m_memory_only;
  std::shared_ptr<Platform> m_shared = std::make_shared<Platform>();
  Host m_hosts[kHosts];
  TimePoint m_now{std::chrono::hours(1)};
  uint64_t m_last_id = 0;
  bool m_restarted = false;
  std::map<ClaimRequestId, Arrival> m_arrivals;
  std::map<int, std::vector<ClaimOutcome>> m_runs;
  std::set<std::pair<int, int>> m_bodies_run;
  std::set<int> m_may_have_run;
  std::vector<std::pair<std::shared_ptr<Platform>, ClaimWork>> m_late;
};

}  // namespace applestand::claim_fuzz

#endif  // LIB_CLAIMS_CLAIM_WORLD_H_
