#ifndef LIB_STANDIN_TARGET_STANDIN_H_
#define LIB_STANDIN_TARGET_STANDIN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lib/base/event_loop.h"
#include "lib/http/message.h"
#include "lib/http/server.h"
#include "lib/standin/journal.h"
#include "lib/standin/lagged.h"
#include "lib/standin/target_faults.h"

namespace applestand {

struct TargetStandinOptions {
  std::string name;
  /// Requests it runs at once; more are shed with 503.
  uint32_t slots = 4;
  Duration service_time = std::chrono::milliseconds(5);
  /// Extra time of the first `cold_requests` requests.
  Duration cold_time = Duration::zero();
  uint32_t cold_requests = 0;
  /// Age of the load that GET /load shows.
  Duration load_lag = Duration::zero();
  /// A header value or body with this text ends the process; empty: never.
  std::string crash_marker = "poison";
};

/// Takes a target's place in tests. Every path but these is work that holds a
/// slot for the service time and is recorded in the journal:
///
///   GET  /healthz  200, or 503 while draining
///   GET  /load     {"slots":n,"busy":n}
///   GET  /journal  what ran, on all targets that share the journal
///   GET  /stats    {"ran":n,"shed":n,"cancelled":n,"deadline":n,"busy":n}
///   POST /faults   {"silent":"off|all|open-connections",
///                   "drain":"off|serve|refuse", "health":"true|up|down",
///                   "load":"true|zero|full", "half_answers":n,
///                   "slots":n, "service_ms":n}; 200 or 400
///
/// Work is answered with what it was: target, method, path, body size and
/// SHA-256, idempotency key. `?answer_bytes=n` pads the answer. A request whose
/// `X-Deadline-Ms` (time left) runs out is answered with 504; one whose caller
/// goes away is stopped. Both have run. Every response repeats the request's
/// `Attempt-Id`.
///
/// Thread safety: Handle may be called from any thread; everything else runs
/// on `loop`, which must outlive this object, as must `journal`.
class TargetStandin {
 public:
  /// `crash` ends the process.
  TargetStandin(EventLoop& loop,
                Journal& journal,
                TargetStandinOptions options,
                std::function<void()> crash);

  /// Serves one request; fits HttpHandler.
  void Handle(HttpRequest request, HttpReply reply);

 private:
  struct Work;

  void Serve(const HttpRequest& request, const HttpReply& reply);
  bool IsSilent(const HttpRequest& request) const;
  void Start(const HttpRequest& request, const HttpReply& reply);
  void Continue(const std::shared_ptr<Work>& work);
  void End(const std::shared_ptr<Work>& work, HttpResponse response);
  void SetBusy(uint32_t busy);
  Duration ServiceTime();
  bool IsMarked(const HttpRequest& request) const;
  HttpResponse Answer(const HttpRequest& request);
  HttpResponse Shed();
  HttpResponse Health() const;
  HttpResponse Load();
  HttpResponse Stats() const;
  HttpResponse SetFaults(const HttpRequest& request);

  EventLoop& m_loop;
  Journal& m_journal;
  const TargetStandinOptions m_options;
  const std::function<void()> m_crash;
  TargetFaults m_faults;
  // Connections up to this one are silent under kOpenConnections.
  uint64_t m_last_silent_connection = 0;
  uint64_t m_last_connection = 0;
  uint32_t m_busy = 0;
  Lagged<uint32_t> m_shown_busy;
  uint64_t m_ran = 0;
  uint64_t m_shed = 0;
  uint64_t m_cancelled = 0;
  uint64_t m_deadline = 0;
  // Replies held for good while silent.
  std::vector<HttpReply> m_held;
};

}  // namespace applestand

#endif  // LIB_STANDIN_TARGET_STANDIN_H_
