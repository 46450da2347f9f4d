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

/// Identifies one submission of a request at one home host. Never reused.
using DispatchId = Counter<struct DispatchIdTag>;

/// A request that waits for a slot.
struct Waiter {
  DispatchId id;
  ClientAccountId account;
  /// Contract weight of the account; > 0.
  double weight = 1;
  /// Latest time at which starting the request still makes sense.
  TimePoint deadline;
  /// Targets that another attempt of the request has been at.
  std::vector<TargetId> avoid;
};

struct FairQueueLimits {
  size_t total = 512;
  size_t per_account = 128;
  /// Starts by which an account that sent less than its share may go ahead of
  /// the others, so that its short bursts do not wait.
  double credit = 4;
};

/// Orders waiting requests by start-time fair queueing over client accounts:
/// while accounts are backlogged, each is given starts in proportion to its
/// weight, whatever the others send; an account that was idle may go ahead by a
/// bounded credit. When the queue is full, the newest waiter
/// of the account with the longest queue for its weight makes room.
///
/// Not thread-safe.
class FairQueue {
 public:
  enum class Admission { kQueued, kFull, kAccountFull };
  struct EnqueueResult {
    Admission admission = Admission::kQueued;
    /// Another waiter that was removed to make room, to be refused at once.
    std::optional<DispatchId> displaced;
  };

  explicit FairQueue(FairQueueLimits limits = {}) : m_limits(limits) {}

  /// Adds a waiter. Preconditions: `waiter.id` is not queued; weight > 0.
  EnqueueResult Enqueue(Waiter waiter);

  /// The waiter that Next would return; null while none waits. Valid until the
  /// next call that is not const.
  const Waiter* Peek() const;

  /// Removes and returns the waiter to start next. Preconditions: not empty;
  /// Expire(now) was called, so that no deadline has come.
  Waiter Next(TimePoint now);

  /// Removes and returns every waiter whose deadline is not after `now`.
  std::vector<DispatchId> Expire(TimePoint now);

  /// Removes a waiter; false where it is not queued.
  bool Cancel(DispatchId id);

  /// Starts that come before a new waiter of the account, itself included, at
  /// the present backlog; fair shares, not arrival order.
  double StartsAhead(const ClientAccountId& account, double weight) const;

  /// Earliest deadline among the waiters.
  std::optional<TimePoint> NextDeadline() const;

  bool Contains(DispatchId id) const { return m_index.count(id) != 0; }
  size_t size() const { return m_index.size(); }
  bool empty() const { return m_index.empty(); }
  size_t SizeOf(const ClientAccountId& account) const;

 private:
  struct Flow {
    std::deque<Waiter> waiters;
    double weight = 1;
    // Start tag of the first waiter, or of the next one to come.
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
  // Backlogged accounts by start tag.
  std::set<std::pair<double, ClientAccountId>> m_active;
  std::unordered_map<DispatchId, Entry> m_index;
  std::set<std::pair<TimePoint, DispatchId>> m_deadlines;
  double m_virtual_time = 0;
  double m_active_weight = 0;
};

}  // namespace applestand

#endif  // LIB_TARGETS_FAIR_QUEUE_H_
