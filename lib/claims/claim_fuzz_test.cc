#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>
#include <utility>

#include "lib/base/fixed_seed_check.h"
#include "lib/claims/claim_book.h"
#include "lib/platform/fake_table_service.h"

namespace applestand {

namespace {

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

std::ostream& operator<<(std::ostream& os, const Step& step) {
  return os << step.kind << "/" << step.host << "/" << step.choice;
}

class World {
 public:
  explicit World(bool host_memory_only) : m_memory_only(host_memory_only) {
    for (Host& host : m_hosts) {
      Restart(host);
    }
    m_restarted = false;
  }

  void Run(const Step& step) {
    Host& host = m_hosts[step.host];
    switch (step.kind) {
      case 0:
      case 1:
        Arrive(host, step.choice % kKeys,
               step.choice % 16 < 14 ? 0 : step.choice % kBodies);
        break;
      case 2:
      case 3:
      case 4:
        Pump(host);
        break;
      case 5:
      case 6:
      case 7:
        Serve(host, step.choice);
        break;
      case 8:
      case 9:
        Deliver(host);
        break;
      case 10:
        LandLate(step.choice);
        break;
      case 11:
      case 12:
        Send(host, step.choice);
        break;
      case 13:
        FinishAnswered(host);
        break;
      case 14:
        host.frozen = step.choice % 4 == 0;
        break;
      case 16:
        if (step.choice % 4 == 0) {
          Restart(host);
        }
        break;
      default:
        m_now += std::chrono::milliseconds(1 + step.choice * 4);
        break;
    }
  }

  /// Heals everything and checks what must hold in the end.
  void Settle() {
    for (Host& host : m_hosts) {
      host.frozen = false;
    }
    Drain();
    for (int key = 0; key < kKeys; ++key) {
      if (m_restarted || m_may_have_run.count(key) != 0) {
        continue;
      }
      Arrive(m_hosts[key % kHosts], key, 0);
      Drain();
      RC_ASSERT(m_runs[key].size() == 1U);
    }
    for (const auto& [id, arrival] : m_arrivals) {
      RC_ASSERT(arrival.answered || m_restarted);
      RC_ASSERT(!(arrival.refused_not_run && arrival.ran));
    }
    for (const Host& host : m_hosts) {
      RC_ASSERT(host.book->Idle());
    }
  }

 private:
  void Restart(Host& host) {
    m_restarted = true;
    // Calls under way may still take effect; their answers go nowhere.
    for (const ClaimWork& work : host.open) {
      m_late.emplace_back(host.platform, work);
    }
    if (!m_memory_only) {
      host.platform = m_shared;
    } else {
      host.platform = std::make_shared<Platform>();
    }
    ClaimOptions options;
    options.max_batch = 4;
    options.write_spacing = std::chrono::milliseconds(5);
    options.claim_timeout = std::chrono::milliseconds(400);
    options.max_inline_body_bytes = 8;
    const auto index = &host - m_hosts;
    host.book =
        std::make_unique<ClaimBook>(options, HostId(fmt::format("h{}", index)),
                                    Incarnation(++host.incarnation));
    host.open.clear();
    host.results.clear();
    host.granted.clear();
    host.answered.clear();
  }

  void Arrive(Host& host, int key, int body) {
    if (host.frozen) {
      return;
    }
    const ClaimRequestId id(++m_last_id);
    const TimePoint deadline = m_now + std::chrono::milliseconds(900);
    m_arrivals[id] = {key, body, deadline, false, false, false};
    ClaimRequest request;
    request.id = id;
    request.account = ClientAccountId(key % 2 == 0 ? "even" : "odd");
    request.key = IdempotencyKey(fmt::format("k{}", key / 2));
    request.hash = RequestHash(fmt::format("b{}", body));
    request.deadline = deadline;
    host.book->Begin(std::move(request), m_now);
    Act(host);
  }

  void Pump(Host& host) {
    if (host.frozen) {
      return;
    }
    while (auto work = host.book->NextWork(m_now)) {
      host.open.push_back(std::move(*work));
    }
    Act(host);
  }

  // One call reaches the platform, or does not, or later.
  void Serve(Host& host, int choice) {
    if (host.open.empty()) {
      return;
    }
    const size_t index = (choice / 8) % host.open.size();
    const ClaimWork work = std::move(host.open[index]);
    host.open.erase(host.open.begin() + index);
    ClaimWorkResult result;
    result.id = work.id;
    switch (choice % 8) {
      case 0:
        result.status = TableStatus::kUnavailable;
        break;
      case 1:
        result.status = TableStatus::kUnknown;
        break;
      case 2:
        (void)Execute(work, host.platform->table, host.platform->objects);
        result.status = TableStatus::kUnknown;
        break;
      case 3:
        m_late.emplace_back(host.platform, work);
        result.status = TableStatus::kUnknown;
        break;
      default:
        result = Execute(work, host.platform->table, host.platform->objects);
        break;
    }
    host.results.push_back(std::move(result));
  }

  void Deliver(Host& host) {
    if (host.frozen || host.results.empty()) {
      return;
    }
    const ClaimWorkResult result = std::move(host.results.front());
    host.results.erase(host.results.begin());
    host.book->OnResult(result, m_now);
    Act(host);
  }

  void LandLate(int choice) {
    if (m_late.empty()) {
      return;
    }
    const size_t index = choice % m_late.size();
    const auto [platform, work] = m_late[index];
    m_late.erase(m_late.begin() + index);
    (void)Execute(work, platform->table, platform->objects);
  }

  void Send(Host& host, int choice) {
    if (host.frozen || host.granted.empty()) {
      return;
    }
    const ClaimRequestId id = host.granted.front();
    host.granted.erase(host.granted.begin());
    Arrival& arrival = m_arrivals[id];
    const bool may_send = host.book->MaySend(id, m_now);
    if (!may_send || choice % 4 == 0) {
      host.book->Finish(id, Ran::kNotRun, std::nullopt, m_now);
      Refused(arrival);
      return;
    }
    RunAtTarget(arrival);
    if (choice % 4 == 1) {
      m_may_have_run.insert(arrival.key);
      host.book->Finish(id, Ran::kMayHaveRun, std::nullopt, m_now);
      return;
    }
    host.answered.emplace_back(id, m_runs[arrival.key].back());
  }

  void FinishAnswered(Host& host) {
    if (host.frozen || host.answered.empty()) {
      return;
    }
    const auto [id, outcome] = host.answered.back();
    host.answered.pop_back();
    host.book->Finish(id, Ran::kRan, outcome, m_now);
  }

  void RunAtTarget(Arrival& arrival) {
    RC_ASSERT(!arrival.refused_not_run);
    RC_ASSERT(m_now < arrival.deadline);
    arrival.ran = true;
    ClaimOutcome outcome;
    outcome.status = 201;
    outcome.body =
        std::string(1 + m_last_id % 16, 'x') + fmt::format("{}", m_last_id);
    m_runs[arrival.key].push_back(outcome);
    m_bodies_run.insert({arrival.key, arrival.body});
    RC_ASSERT(m_runs[arrival.key].size() <= 1U);
  }

  void Refused(Arrival& arrival) {
    RC_ASSERT(!arrival.ran);
    arrival.refused_not_run = true;
  }

  void Act(Host& host) {
    for (const ClaimEvent& event : host.book->TakeEvents()) {
      Arrival& arrival = m_arrivals[event.request];
      RC_ASSERT(!arrival.answered);
      arrival.answered = true;
      const bool ran_before =
          m_bodies_run.count({arrival.key, arrival.body}) != 0;
      switch (event.kind) {
        case ClaimEvent::Kind::kGranted:
          host.granted.push_back(event.request);
          break;
        case ClaimEvent::Kind::kRecorded: {
          RC_ASSERT(ran_before);
          const ClaimOutcome& run = m_runs[arrival.key].front();
          RC_ASSERT(event.outcome.body == run.body);
          RC_ASSERT(event.outcome.status == run.status);
          break;
        }
        case ClaimEvent::Kind::kOutcomeUnread:
          RC_ASSERT(ran_before);
          break;
        case ClaimEvent::Kind::kInDoubt:
          RC_ASSERT(event.ran == Ran::kMayHaveRun);
          break;
        case ClaimEvent::Kind::kConflict:
          RC_ASSERT(!ran_before);
          Refused(arrival);
          break;
        case ClaimEvent::Kind::kUnavailable:
          Refused(arrival);
          break;
      }
    }
  }

  void Drain() {
    for (int round = 0; round < 200; ++round) {
      while (!m_late.empty()) {
        LandLate(0);
      }
      for (Host& host : m_hosts) {
        Pump(host);
        while (!host.open.empty()) {
          Serve(host, 7);
        }
        while (!host.results.empty()) {
          Deliver(host);
        }
        while (!host.granted.empty()) {
          Send(host, 2);
        }
        while (!host.answered.empty()) {
          FinishAnswered(host);
        }
      }
      m_now += std::chrono::milliseconds(20);
    }
  }

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

bool Holds(uint64_t seed, int cases, int step_kinds, bool host_memory_only) {
  return FixedSeedCheck(seed, cases, 600, [=] {
    const auto steps =
        *rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
            rc::gen::set(&Step::kind, rc::gen::inRange(0, step_kinds)),
            rc::gen::set(&Step::host, rc::gen::inRange(0, kHosts)),
            rc::gen::set(&Step::choice, rc::gen::inRange(0, 64))));
    World world(host_memory_only);
    for (const Step& step : steps) {
      world.Run(step);
    }
    world.Settle();
  });
}

}  // namespace

TEST_CASE("fuzz: a key runs at most once and every answer is true") {
  CHECK(Holds(20261203, 4000, 17, false));
}

TEST_CASE("fuzz: without restarts a key that was never sent can run later") {
  CHECK(Holds(20261204, 4000, 16, false));
}

TEST_CASE("fuzz: deduplication in host memory alone runs requests twice") {
  CHECK_FALSE(Holds(20261203, 200, 17, true));
}

}  // namespace applestand
