#ifndef LIB_REPLAY_REPLAYER_H_
#define LIB_REPLAY_REPLAYER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/http/client.h"
#include "lib/replay/percentiles.h"
#include "lib/replay/scorecard.h"
#include "lib/replay/trace.h"

namespace applestand {

struct ReplayOptions {
  /// "IP:port" of the look-up services, tried in order.
  std::vector<std::string> lookups;
  /// Replayed seconds per second.
  double speed = 1;
  /// HTTP clients, each with its own thread and connections.
  size_t clients = 4;
  Duration lookup_timeout = std::chrono::seconds(2);
  /// Whether a request with an idempotency key, or a GET, is sent again to the
  /// next host when nobody knows whether it ran.
  bool resend = false;
};

/// What a replay did besides its requests' outcomes.
struct ReplaySummary {
  size_t lookups = 0;
  size_t lookups_failed = 0;
  Percentiles lookup_latency;
  /// Sends to a host after the first.
  size_t other_hosts = 0;
  size_t resent = 0;
  /// How much later than recorded a request was begun, at most.
  Duration latest_start = Duration::zero();
};

/// Sends a trace's requests at their recorded times, whether or not earlier
/// ones have been answered, as callers do: asks a look-up for entry hosts,
/// keeps its answer as long as it says, and goes on to the next host where a
/// connection is refused.
///
/// Lives on `loop`; not thread-safe. Precondition: all references outlive it.
class Replayer {
 public:
  Replayer(EventLoop& loop,
           const Trace& trace,
           ReplayOptions options,
           Scorecard& scorecard);

  /// Starts now; `done` runs on the loop once every request has its outcome.
  void Start(std::function<void()> done);

  const ReplaySummary& summary() const { return m_summary; }

 private:
  /// One request on its way.
  struct Attempt;
  using AttemptPtr = std::shared_ptr<Attempt>;
  /// Client address and key id.
  using LookupKey = std::pair<std::string, std::string>;

  struct CachedHosts {
    std::vector<std::string> addresses;
    TimePoint expires;
    bool asking = false;
    /// Look-up to ask next, as an index of the options.
    size_t next_lookup = 0;
    std::vector<AttemptPtr> waiting;
  };

  void SendDue();
  void Begin(const TraceRequest& request, TimePoint due);
  void Ask(const LookupKey& key);
  void OnHosts(const LookupKey& key,
               TimePoint asked,
               const HttpCallResult& result);
  void Release(CachedHosts& hosts);
  void Send(const AttemptPtr& attempt);
  void OnAnswer(const AttemptPtr& attempt, const HttpCallResult& result);
  bool MayGoOn(const Attempt& attempt, Ran ran) const;
  void End(const Attempt& attempt, const RequestOutcome& outcome);
  HttpClient& ClientFor(const std::string& client);
  HttpRequest RequestOf(const Attempt& attempt) const;

  EventLoop& m_loop;
  const Trace& m_trace;
  const ReplayOptions m_options;
  Scorecard& m_scorecard;
  std::function<void()> m_done;
  TimePoint m_start;
  size_t m_next = 0;
  size_t m_ended = 0;
  ReplaySummary m_summary;
  std::map<LookupKey, CachedHosts> m_hosts;
  // Last: their threads post to this object.
  std::vector<std::unique_ptr<HttpClient>> m_clients;
};

}  // namespace applestand

#endif  // LIB_REPLAY_REPLAYER_H_
