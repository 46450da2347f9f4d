#ifndef LIB_TARGETS_FAIR_QUEUE_H_
#define LIB_TARGETS_FAIR_QUEUE_H_

#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// Identifies one submission of a request to one home host. Never reused.
using DispatchId = Counter<struct DispatchIdTag>;

/// A request that waits for a slot.
struct Waiter {
  DispatchId id;
  ClientAccountId account;
  /// Contract weight of the account; > 0.
  double weight = 1;
  /// The waiter expires when this time is reached.
  TimePoint deadline;
  /// Targets used by earlier attempts of the request.
  std::vector<TargetId> avoid;
};

struct FairQueueLimits {
  /// Maximum number of waiters, in total and of one account.
  size_t total = 512;
  size_t per_account = 128;
  /// Number of starts by which an account that used less than its fair share
  /// may precede the others, so that its short bursts do not wait.
  double credit = 4;
};

/// Orders waiting requests by start-time fair queueing over client accounts.
/// Each backlogged account starts requests in proportion to its weight,
/// regardless of the load from other accounts. An account that was idle may
/// precede the others by a bounded credit. When the queue is full, the newest
/// waiter of the account with the longest queue relative to its weight is
/// displaced.
///
/// Not thread-safe.
class FairQueue {
 public:
  enum class Admission { kQueued, kFull, kAccountFull };
  struct EnqueueResult {
    Admission admission = Admission::kQueued;
    /// Another waiter that was removed to make room. The caller must refuse it.
    std::optional<DispatchId> displaced;
  };

  explicit FairQueue(FairQueueLimits limits = {}) : m_limits(limits) {}

  /// Adds a waiter unless a limit is reached.
  /// Preconditions: `waiter.id` is not queued; weight > 0.
  EnqueueResult Enqueue(Waiter waiter);

  /// Returns the waiter that Dequeue would return, or nullptr if the queue is
  /// empty. The pointer is valid until the next call of a non-const method.
  const Waiter* Peek() const;

  /// Removes and returns the waiter to start next. Preconditions: the queue is
  /// not empty; Expire(now) was called, so that no waiter's deadline has
  /// passed.
  Waiter Dequeue(TimePoint now);

  /// Removes every waiter whose deadline is not after `now`; returns their ids.
  std::vector<DispatchId> Expire(TimePoint now);

  /// Removes a waiter. Returns false if it is not queued.
  bool Cancel(DispatchId id);

  /// Estimates how many starts, its own included, it would take until a new
  /// waiter of the account has started, given the current backlog. The estimate
  /// follows the fair shares, not the order of arrival.
  double EstimateStartsAhead(const ClientAccountId& account,
                             double weight) const;

  /// Returns the earliest deadline, or std::nullopt if the queue is empty.
  std::optional<TimePoint> NextDeadline() const;

  bool Contains(DispatchId id) const { return m_index.count(id) != 0; }
  size_t size() const { return m_index.size(); }
  bool empty() const { return m_index.empty(); }
  /// Number of queued waiters of the account.
  size_t SizeOf(const ClientAccountId& account) const;

 private:
  struct Flow {
    std::deque<Waiter> waiters;
    double weight = 1;
    // Start tag of the first waiter, or of the next one to arrive if empty.
    double start = std::numeric_limits<double>::lowest();
  };
  using Flows = std::unordered_map<ClientAccountId, Flow>;
  struct Entry {
    ClientAccountId account;
    TimePoint deadline;
  };

  void Activate(Flow& flow, const ClientAccountId& account);
  void Deactivate(const Flow& flow, const ClientAccountId& account);
  void RemoveWaiter(DispatchId id);
  std::optional<DispatchId> DisplaceFor(const Waiter& waiter);
  void OnRemoved();

  FairQueueLimits m_limits;
  Flows m_flows;
  // Backlogged accounts, ordered by start tag.
  std::set<std::pair<double, ClientAccountId>> m_active;
  std::unordered_map<DispatchId, Entry> m_index;
  std::set<std::pair<TimePoint, DispatchId>> m_deadlines;
  double m_virtual_time = 0;
  double m_active_weight = 0;
};

}  // namespace applestand

#endif  // LIB_TARGETS_FAIR_QUEUE_H_
