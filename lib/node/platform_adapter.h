#ifndef LIB_NODE_PLATFORM_ADAPTER_H_
#define LIB_NODE_PLATFORM_ADAPTER_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/base/verdict.h"
#include "lib/http/message.h"
#include "lib/http/response_attribution.h"
#include "lib/steering/serving_config.h"
#include "lib/steering/steering_target.h"

namespace applestand {

/// Properties of a request that the caller gives in its headers.
struct RequestMetadata {
  /// Identifies one attempt of the caller; empty if the caller gave no id.
  std::string request_id;
  /// Time for which the caller waits for the response, if it gave one.
  std::optional<Duration> time_budget;
  /// Secret of the caller's key, if it sent one.
  std::optional<std::string> key;
  /// The object that the request refers to, used as its affinity key; empty if
  /// the caller names none.
  std::string object;
};

/// Values that are added to a request before it is forwarded to a target.
struct ForwardingInfo {
  TargetId target;
  Duration time_left{};
  /// The client account of the caller; std::nullopt if the caller was not
  /// identified, as on open routes.
  std::optional<ClientAccountId> account;
};

/// Properties of a target's response, apart from its status and body.
struct ResponseMetadata {
  /// The target has not processed the request and will not.
  bool not_run = false;
  /// A target other than the intended one responded.
  bool misdirected = false;
  /// False if the target must certify that the response and its body are its
  /// own, and did not.
  bool genuine = false;
  /// The load that the target reports, if any.
  std::optional<LoadReport> load;
  /// Requests per second that the target takes from all hosts together, if it
  /// names a limit.
  std::optional<double> max_request_rate;
  /// The target leaves and must not get new requests.
  bool leaving = false;
  /// Time for which the target wants no requests from this host, if it has
  /// turned the request away and gave one.
  std::optional<Duration> retry_after;
};

/// The meaning of a row of the operators' table.
struct OperatorRow {
  enum class Kind { kConfig, kEvacuation, kOther };
  Kind kind = Kind::kOther;
  /// The evacuated zone; set only for kEvacuation.
  ZoneId zone;
};

/// A caller's question which hosts to use; region and zone are the caller's, if
/// it gave them.
struct LookupQuery {
  std::optional<RegionId> region;
  std::optional<ZoneId> zone;
};

/// Translates between the headers, rows and calls of the users' platform and
/// the types of this project. All functions are thread-safe.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual RequestMetadata ReadRequestMetadata(
      const HttpRequest& request) const = 0;
  /// Returns the complete request to send to a target, serialized. It does not
  /// contain the caller's key.
  virtual std::string SerializeForTarget(
      const HttpRequest& request,
      const ForwardingInfo& forwarding) const = 0;
  /// Returns a complete request, serialized, to which a target responds without
  /// work. `path` is its service's ServingService::health_path.
  virtual std::string SerializeProbe(const TargetId& target,
                                     const std::string& path) const = 0;
  /// Returns whether `response`, which came while the request with this id was
  /// in progress, belongs to it. `request_id` is empty if the request has none.
  virtual ResponseOwner OwnerOf(const HttpResponse& response,
                                const std::string& request_id) const = 0;
  virtual ResponseMetadata ReadResponseMetadata(
      const HttpResponse& response) const = 0;
  /// Returns a target's response as it is forwarded to the caller.
  virtual HttpResponse MakeCallerResponse(HttpResponse response) const = 0;
  /// Returns a response that this host generates itself. If `retry_after` is
  /// std::nullopt, the caller is not told when to retry.
  virtual HttpResponse MakeLocalResponse(
      int status,
      const std::string& text,
      const std::string& request_id,
      std::optional<Duration> retry_after) const = 0;

  virtual OperatorRow ClassifyOperatorRow(const std::string& key) const = 0;
  /// The Decode functions return std::nullopt if the row is malformed, and then
  /// set `reason`.
  [[nodiscard]] virtual std::optional<ServingConfig> DecodeConfig(
      const std::string& value,
      Reason& reason) const = 0;
  [[nodiscard]] virtual std::optional<SteeringTarget> DecodeTarget(
      const std::string& key,
      const std::string& value,
      Reason& reason) const = 0;

  /// Returns std::nullopt if the request is not a lookup.
  virtual std::optional<LookupQuery> ReadLookup(
      const HttpRequest& request) const = 0;
  virtual HttpResponse MakeLookupResponse(
      const std::vector<std::string>& addresses,
      Duration time_to_live) const = 0;
  /// Returns whether the request asks if this host accepts callers.
  virtual bool IsReadyCheck(const HttpRequest& request) const = 0;
};

}  // namespace applestand

#endif  // LIB_NODE_PLATFORM_ADAPTER_H_
