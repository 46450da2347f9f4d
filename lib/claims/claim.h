#ifndef LIB_CLAIMS_CLAIM_H_
#define LIB_CLAIMS_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/codec/codec.h"
#include "lib/http/message.h"

namespace applestand {

/// The row that makes a request run at most once.
///
/// The idea, a conditional create as the record that a piece of work has been
/// accepted, is that of the paper "Active-active S3 ingest".
///
/// There is one row per (client account, idempotency key), or none:
///  - absent: nobody has claimed the key. Anyone may create the row.
///  - claimed: its owner, and nobody else, may send or may have sent the
///    request; no outcome is known. Only the owner changes it.
///  - done: the request ran, and the row holds its answer. Nobody changes it.
///  - released: the owner sent nothing under this claim id and never will.
///    Anyone may set it to claimed, by compare-and-set.
///
/// There is no state "sent": writing it would cost one more write before each
/// send, and a reader would treat it as it treats "claimed".
///
/// Why a request runs at most once: only the host whose claim id stands in the
/// row sends, once it has seen its own claim id there. No other host ever
/// changes a claimed row, however long the owner is silent, so an owner that
/// was paused between claim and send finds its claim intact, and no time-out
/// of anyone else's has to be shorter than its pause. A row leaves "claimed"
/// for "released" only by its owner, after the owner has made sure that it
/// will not send. The one thing that depends on time is retention: the sweep
/// deletes rows after days, therefore the owner checks its attempt deadline
/// (seconds) by its own boot-time clock just before the first byte.
enum class ClaimState { kClaimed, kDone, kReleased };

/// "claimed", "done" or "released".
const char* ToString(ClaimState state);

/// Name of the request header that carries the idempotency key.
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr size_t kMaxIdempotencyKeyBytes = 128;

using IdempotencyKey = Id<struct IdempotencyKeyTag>;
/// Lower-case hexadecimal SHA-256 over method, target and body.
using RequestHash = Id<struct RequestHashTag>;
/// "host/incarnation/serial"; never used twice.
using ClaimId = Id<struct ClaimIdTag>;

/// Reads the idempotency key; nothing, with the reason, where the header is
/// absent, repeated, or not 1..128 visible ASCII characters. Thread-safe.
[[nodiscard]] std::optional<IdempotencyKey> ParseIdempotencyKey(
    const HttpRequest& request,
    Reason& reason);

/// Hash that tells whether two requests with one key are the same request.
/// Thread-safe.
RequestHash HashRequest(const HttpRequest& request);

/// The answer that a target gave, as kept for later arrivals.
struct ClaimOutcome {
  int status = 0;
  /// Name and value of the response headers that are kept.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Key of the object that holds the body; empty where `body` does.
  std::string body_object;
  /// The body was larger than what is kept.
  bool body_omitted = false;
  MSGPACK_DEFINE(status, headers, body, body_object, body_omitted)
};

/// Takes from an answer what is kept: its status, its body, and Content-Type,
/// Content-Language, ETag, Last-Modified and Location. Thread-safe.
ClaimOutcome OutcomeOf(const HttpResponse& response);

/// The answer to pass to a later arrival. Precondition: the body is present
/// (`body_object` empty and not `body_omitted`). Thread-safe.
HttpResponse ResponseOf(const ClaimOutcome& outcome);

/// Value of a claim row.
struct ClaimRow {
  ClaimId claim;
  ClientAccountId account;
  IdempotencyKey key;
  RequestHash hash;
  /// Wall-clock time of the claim, for operators and retention only.
  int64_t created_unix_ms = 0;
  ClaimState state = ClaimState::kClaimed;
  /// Meaningful in state kDone only.
  ClaimOutcome outcome;
  MSGPACK_DEFINE(claim, account, key, hash, created_unix_ms, state, outcome)
};

constexpr const char* kClaimPrefix = "claim/";

/// Table key of a claim: "claim/<account>/<hash of the key>". Thread-safe.
std::string ClaimRowKey(const ClientAccountId& account,
                        const IdempotencyKey& key);

/// Parses the value of a claim row. Thread-safe.
[[nodiscard]] std::optional<ClaimRow> ParseClaimRow(std::string_view value,
                                                    Reason& reason);

/// The operator's view of a claim as JSON text: claim id (host, incarnation
/// and serial), account, key, state, creation time, what may be said about its
/// having run, and the recorded status. Bodies are not shown. Thread-safe.
std::string DescribeClaim(const ClaimRow& row);

}  // namespace applestand

MSGPACK_ADD_ENUM(applestand::ClaimState)

#endif  // LIB_CLAIMS_CLAIM_H_
