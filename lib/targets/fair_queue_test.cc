#include "lib/targets/fair_queue.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>

namespace applestand {
namespace {

using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("backlogged accounts start requests in proportion to their weights") {
  FairQueue queue({1000, 1000, 0});
  const TimePoint deadline = kStart + seconds(10);
  uint64_t id = 0;
  for (int i = 0; i < 300; ++i) {
    queue.Enqueue({DispatchId(++id), ClientAccountId("a"), 2, deadline, {}});
    queue.Enqueue({DispatchId(++id), ClientAccountId("b"), 1, deadline, {}});
  }
  std::map<ClientAccountId, int> starts;
  for (int i = 0; i < 300; ++i) {
    ++starts[queue.Dequeue(kStart).account];
    CHECK(std::abs(starts[ClientAccountId("a")] -
                   2 * starts[ClientAccountId("b")]) <= 2);
  }
}

TEST_CASE("an account that was idle precedes others by its credit only") {
  FairQueue queue({1000, 1000, 3});
  const TimePoint deadline = kStart + seconds(10);
  uint64_t id = 0;
  const auto enqueue = [&](const std::string& account, int count) {
    for (int i = 0; i < count; ++i) {
      queue.Enqueue(
          {DispatchId(++id), ClientAccountId(account), 1, deadline, {}});
    }
  };
  enqueue("busy", 100);
  for (int i = 0; i < 50; ++i) {
    queue.Dequeue(kStart);
  }
  enqueue("idle", 20);
  int idle_starts = 0;
  for (int i = 0; i < 20; ++i) {
    idle_starts +=
        queue.Dequeue(kStart).account == ClientAccountId("idle") ? 1 : 0;
    CHECK(std::abs(idle_starts - (i + 1 + 3) / 2) <= 2);
  }
}

TEST_CASE(
    "a full queue displaces a waiter of the account with the longest queue") {
  FairQueue queue({10, 10, 0});
  const TimePoint deadline = kStart + seconds(10);
  for (uint64_t id = 1; id <= 10; ++id) {
    queue.Enqueue({DispatchId(id), ClientAccountId("big"), 1, deadline, {}});
  }
  const auto result = queue.Enqueue(
      {DispatchId(11), ClientAccountId("small"), 1, deadline, {}});
  CHECK(result.admission == FairQueue::Admission::kQueued);
  REQUIRE(result.displaced.has_value());
  CHECK(*result.displaced == DispatchId(10));
  CHECK(queue.size() == 10);
}

}  // namespace
}  // namespace applestand
