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

/// A caller's request on its way to the home host of its target. It carries
/// what the target may see, never the caller's key.
struct ForwardRequest {
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
  /// Time until the caller's deadline, when this was sent.
  Duration time_left{};
  /// Targets that earlier attempts were at.
  std::vector<TargetId> avoid;
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
  /// The target's answer, where `ran` is kRan.
  int status = 0;
  HeaderPairs headers;
  std::string body;
  /// The target that was tried; empty where none was.
  TargetId target;
  Duration retry_after{};
  std::string reason;
  /// Spare slots of the home host now.
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

inline HeaderPairs ToPairs(const std::vector<HttpHeader>& headers) {
  HeaderPairs pairs;
  pairs.reserve(headers.size());
  for (const HttpHeader& header : headers) {
    pairs.emplace_back(header.name, header.value);
  }
  return pairs;
}

inline std::vector<HttpHeader> FromPairs(const HeaderPairs& pairs) {
  std::vector<HttpHeader> headers;
  headers.reserve(pairs.size());
  for (const auto& [name, value] : pairs) {
    headers.push_back({name, value});
  }
  return headers;
}

}  // namespace applestand

#endif  // LIB_FORWARD_MESSAGES_H_
