#ifndef LIB_FORWARD_MESSAGES_H_
#define LIB_FORWARD_MESSAGES_H_

#include <string>
#include <utility>
#include <vector>

#include "lib/codec/codec.h"
#include "lib/http/message.h"
#include "lib/quarantine/messages.h"
#include "lib/routing/messages.h"

namespace applestand {

using HeaderPairs = std::vector<std::pair<std::string, std::string>>;

/// A caller's request, forwarded to the home host of its target, which is the
/// only host that admits requests to that target. Contains only what the target
/// may see, and never the caller's key.
struct ForwardRequest {
  /// The entry host that sends this message.
  HostId from;
  RegionId from_region;
  ServiceId service;
  ClientAccountId account;
  /// Contract weight of the account.
  double weight = 1;
  std::string method;
  /// Path and query.
  std::string target;
  HeaderPairs headers;
  std::string body;
  /// Time from the sending of this message to the caller's deadline.
  Duration time_left{};
  /// Targets of earlier attempts; used again only if no other target is free.
  std::vector<TargetId> avoid;
  /// Whether the request may run more than once.
  bool repeatable = false;
  /// W3C trace context of the sender's span.
  std::string traceparent;
  Fingerprint fingerprint;
  MSGPACK_DEFINE(from,
                 from_region,
                 service,
                 account,
                 weight,
                 method,
                 target,
                 headers,
                 body,
                 time_left,
                 avoid,
                 repeatable,
                 traceparent,
                 fingerprint)
};

/// How an attempt at a home host ended.
struct ForwardReply {
  Ran ran = Ran::kNotRun;
  /// The target's response; valid only if `ran` is kRan.
  int status = 0;
  HeaderPairs headers;
  std::string body;
  /// The target that was tried; empty if none was.
  TargetId target;
  /// Time that the target or the home host asked to wait before a retry; zero
  /// if unspecified.
  Duration retry_after{};
  /// Why the request was not run or got no response; empty if `ran` is kRan.
  std::string reason;
  /// Capacity of the home host when it sent this message.
  CapacityReport report;
  MSGPACK_DEFINE(ran,
                 status,
                 headers,
                 body,
                 target,
                 retry_after,
                 reason,
                 report)
};

inline HeaderPairs ToHeaderPairs(const std::vector<HttpHeader>& headers) {
  HeaderPairs pairs;
  pairs.reserve(headers.size());
  for (const HttpHeader& header : headers) {
    pairs.emplace_back(header.name, header.value);
  }
  return pairs;
}

inline std::vector<HttpHeader> FromHeaderPairs(const HeaderPairs& pairs) {
  std::vector<HttpHeader> headers;
  headers.reserve(pairs.size());
  for (const auto& [name, value] : pairs) {
    headers.push_back({name, value});
  }
  return headers;
}

}  // namespace applestand

#endif  // LIB_FORWARD_MESSAGES_H_
