#ifndef LIB_REPLAY_TRACE_H_
#define LIB_REPLAY_TRACE_H_

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"

// A recorded trace is a file of JSON objects, one a line. The first line is
// the header:
//
//   {"trace":"lenha","contracts":{"lenha-1":{"requests_per_second":30,
//                                            "burst":60}}}
//
// Every other line is one request, in order of time:
//
//   {"at_ms":12.5,"client":"10.1.0.3","account":"lenha-1",
//    "key":"lenha-1.secret","method":"POST","path":"/payments",
//    "body":"text","idempotency_key":"p-1","deadline_ms":5000,
//    "expect":{"status":[200],"ran":["yes"]}}
//
// `body_bytes` may stand for `body` and gives its size; the bytes are then
// made up. `key` may be empty (no Authorization). `body`, `body_bytes`,
// `idempotency_key` and `expect` may be left out. `status` and `ran` name what
// is allowed; either may be left out.

namespace applestand {

/// What a client account has bought, as the trace states it.
struct TraceContract {
  double requests_per_second = 0;
  double burst = 0;
};

/// Outcomes that are allowed; empty: any.
struct TraceExpectation {
  std::vector<int> statuses;
  std::vector<Ran> ran;
};

struct TraceRequest {
  /// Line of the file, from 1.
  size_t line = 0;
  /// Time since the trace's start.
  Duration at = Duration::zero();
  /// Address under which the caller asks for entry hosts.
  std::string client;
  std::string account;
  /// "<key id>.<secret>".
  std::string key;
  std::string method;
  std::string path;
  std::string body;
  uint64_t body_bytes = 0;
  std::string idempotency_key;
  Duration deadline = std::chrono::seconds(10);
  TraceExpectation expect;
};

struct Trace {
  std::string name;
  std::map<std::string, TraceContract> contracts;
  std::vector<TraceRequest> requests;
};

/// Reads a trace; nothing, with the line's number in the reason, for anything
/// but a well-formed one. Thread-safe for distinct streams.
[[nodiscard]] std::optional<Trace> ReadTrace(std::istream& in, Reason& reason);

/// Writes a trace in the form that ReadTrace reads.
void WriteTrace(const Trace& trace, std::ostream& out);

/// The body of a request, made up where the trace gives its size only.
std::string BodyOf(const TraceRequest& request);

}  // namespace applestand

#endif  // LIB_REPLAY_TRACE_H_
