#ifndef LIB_NODE_PLATFORM_ADAPTER_H_
#define LIB_NODE_PLATFORM_ADAPTER_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/base/verdict.h"
#include "lib/http/message.h"
#include "lib/steering/serving_config.h"
#include "lib/steering/steering_target.h"

namespace applestand {

/// What a caller's headers say of its request.
struct CallerFacts {
  /// Names one try of the caller; empty: it gave none.
  std::string request_id;
  /// How long the caller waits; nothing: it does not say.
  std::optional<Duration> time_budget;
  /// Secret of the caller's key.
  std::optional<std::string> key;
  /// The object that the request is about; empty: it does not say.
  std::string object;
};

/// What the system adds to a request for a target.
struct ForTarget {
  TargetId target;
  Duration time_left{};
  /// Whom the request is for; nothing on open routes.
  std::optional<ClientAccountId> account;
};

/// What a target's answer says beside its status and body.
struct TargetFacts {
  /// The request did not run and will not.
  bool not_run = false;
  /// Another target than the one meant has answered.
  bool misdirected = false;
  /// The target vouches that the answer and its body are its own.
  bool genuine = false;
  std::optional<LoadReport> load;
  std::optional<Duration> retry_after;
};

/// A row that operators write.
struct OperatorRow {
  enum class Kind { kConfig, kEvacuation, kOther };
  Kind kind = Kind::kOther;
  /// kEvacuation: the zone.
  ZoneId zone;
};

/// The caller asks which hosts to use.
struct LookupQuery {
  std::optional<RegionId> region;
  std::optional<ZoneId> zone;
};

/// Translates between the platform's names and this product's types. All
/// functions are thread-safe.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual CallerFacts ReadCaller(const HttpRequest& request) const = 0;
  /// The whole request for a target, serialized. The key is not in it.
  virtual std::string RequestFor(const HttpRequest& request,
                                 const ForTarget& target) const = 0;
  /// Whether an answer is the one to the request with this id.
  virtual bool Matches(const HttpResponse& response,
                       const std::string& request_id) const = 0;
  virtual TargetFacts ReadAnswer(const HttpResponse& response) const = 0;
  /// The answer as the caller may see it.
  virtual HttpResponse AnswerFor(HttpResponse response) const = 0;
  /// An answer of this product's own. `retry_after`: when the caller is to come
  /// back; nothing: it is not told.
  virtual HttpResponse OwnAnswer(int status,
                                 const std::string& text,
                                 const std::string& request_id,
                                 std::optional<Duration> retry_after) const = 0;

  virtual OperatorRow ClassifyOperatorRow(const std::string& key) const = 0;
  /// Nothing, with the reason, where the row is malformed.
  [[nodiscard]] virtual std::optional<ServingConfig> DecodeConfig(
      const std::string& value,
      Reason& reason) const = 0;
  [[nodiscard]] virtual std::optional<SteeringTarget> DecodeTarget(
      const std::string& key,
      const std::string& value,
      Reason& reason) const = 0;

  /// Nothing where the request is not a look-up.
  virtual std::optional<LookupQuery> ReadLookup(
      const HttpRequest& request) const = 0;
  virtual HttpResponse LookupAnswer(const std::vector<std::string>& addresses,
                                    Duration time_to_live) const = 0;
  /// Whether the request asks if this host takes callers.
  virtual bool IsReadyCheck(const HttpRequest& request) const = 0;
};

}  // namespace applestand

#endif  // LIB_NODE_PLATFORM_ADAPTER_H_
