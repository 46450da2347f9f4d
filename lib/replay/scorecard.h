#ifndef LIB_REPLAY_SCORECARD_H_
#define LIB_REPLAY_SCORECARD_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"
#include "lib/replay/percentiles.h"
#include "lib/replay/trace.h"

namespace applestand {

/// How one request of a trace ended, as its caller saw it.
struct RequestOutcome {
  /// 0 where no answer came.
  int status = 0;
  Ran ran = Ran::kNotRun;
  /// From the recorded time to the answer.
  Duration latency = Duration::zero();
  std::string detail;
};

/// Counts the outcomes of a replay and compares them with what the trace
/// states.
///
/// A request is inside its account's rate where a bucket that is filled by the
/// contract, and that all its requests together draw from, holds a token for
/// it. Not thread-safe.
class Scorecard {
 public:
  /// Precondition: `trace` outlives this object, `speed` > 0.
  Scorecard(const Trace& trace, double speed);

  /// Counts one request. Each request of the trace is counted once.
  void Add(const TraceRequest& request, const RequestOutcome& outcome);

  /// Outcomes that the trace does not allow.
  size_t missed() const { return m_missed; }

  /// {"trace":"..","all":{..},"accounts":{"..":{..}},"statuses":{"200":n},
  ///  "missed":n,"missed_examples":["line 7: .."],"worst_p99_account":".."}
  std::string ToJson() const;

  /// The same as a table for people.
  std::string ToText() const;

 private:
  struct Tally {
    size_t requests = 0;
    size_t ran = 0;
    size_t refused = 0;
    size_t refused_inside_rate = 0;
    size_t unknown = 0;
    /// Of the requests that ran.
    Percentiles latency;
  };

  void DecideInsideRate(double speed);
  void Count(Tally& tally, const RequestOutcome& outcome, bool inside);
  std::string WorstAccount() const;

  const Trace& m_trace;
  // By line of the trace.
  std::map<size_t, bool> m_inside_rate;
  Tally m_all;
  std::map<std::string, Tally> m_accounts;
  std::map<int, size_t> m_statuses;
  size_t m_missed = 0;
  std::vector<std::string> m_missed_examples;

  friend struct TallyFormat;
};

}  // namespace applestand

#endif  // LIB_REPLAY_SCORECARD_H_
