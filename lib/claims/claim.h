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

/// State of a claim row. A claim row ensures that a request with an idempotency
/// key runs at most once.
///
/// A conditional create serves as the record that a request was accepted, as in
/// the paper "Active-active S3 ingest". There is at most one row per (client
/// account, idempotency key):
///  - absent: no host has claimed the key. Any host may create the row.
///  - claimed: only the claim owner (the host named in the claim id) may send,
///    or may have sent, the request. The outcome is unknown. Only the claim
///    owner may change the row.
///  - done: the request ran, and the row holds the response. The row is final.
///  - released: the owner sent nothing under this claim id and never will. Any
///    host may set the row to claimed by compare-and-set.
///
/// There is no state "sent". It would cost one more write before each send, and
/// a reader would have to treat it like "claimed".
///
/// A host sends a request only after it has seen its own claim id in the row.
/// No other host changes a claimed row, however long the owner does not
/// respond. An owner that was paused between claim and send therefore still
/// holds its claim, and no timeout of another host needs to exceed the pause.
/// Only the owner sets a row from "claimed" to "released", after it has ensured
/// that it will not send. Only retention depends on time: expired rows are
/// deleted after days, so the owner checks its attempt deadline (seconds)
/// against its own boot-time clock immediately before it sends the first byte.
enum class ClaimState { kClaimed, kDone, kReleased };

/// Returns "claimed", "done" or "released"; "invalid" for any other value.
/// Thread-safe.
const char* ToString(ClaimState state);

/// Request header that carries the idempotency key.
constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
constexpr size_t kMaxIdempotencyKeyBytes = 128;

using IdempotencyKey = Id<struct IdempotencyKeyTag>;
/// Lower-case hexadecimal SHA-256 over method, request target and body.
using RequestHash = Id<struct RequestHashTag>;
/// "<host>/<incarnation>/<serial>"; never reused.
using ClaimId = Id<struct ClaimIdTag>;

/// Returns the idempotency key of `request`. Returns std::nullopt and sets
/// `reason` if the header is absent, repeated, or not 1 to 128 visible ASCII
/// characters. Thread-safe.
[[nodiscard]] std::optional<IdempotencyKey> ParseIdempotencyKey(
    const HttpRequest& request,
    Reason& reason);

/// Returns a hash over method, request target and body. It tells whether two
/// requests with the same idempotency key are the same request. Thread-safe.
RequestHash HashRequest(const HttpRequest& request);

/// A target's response, as recorded for later requests with the same
/// idempotency key.
struct ClaimOutcome {
  int status = 0;
  /// Names and values of the recorded response headers.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Key in the object store of the object that holds the body; empty if
  /// `body` holds it.
  std::string body_object_key;
  /// The body was not recorded because it exceeded a size or memory limit.
  bool body_omitted = false;
  MSGPACK_DEFINE(status, headers, body, body_object_key, body_omitted)
};

/// Returns the recorded part of `response`: its status, its body, and the
/// headers Content-Type, Content-Language, ETag, Last-Modified and Location.
/// Thread-safe.
ClaimOutcome MakeClaimOutcome(const HttpResponse& response);

/// Returns the response for a later request with the same idempotency key.
/// Precondition: the body is present (`body_object_key` is empty and
/// `body_omitted` is false). Thread-safe.
HttpResponse MakeRecordedResponse(const ClaimOutcome& outcome);

/// Value of a claim row.
struct ClaimRow {
  ClaimId claim;
  ClientAccountId account;
  IdempotencyKey key;
  RequestHash hash;
  /// Wall-clock time of the claim; used only for operators and retention.
  int64_t created_unix_ms = 0;
  ClaimState state = ClaimState::kClaimed;
  /// Valid only in state kDone.
  ClaimOutcome outcome;
  MSGPACK_DEFINE(claim, account, key, hash, created_unix_ms, state, outcome)
};

constexpr const char* kClaimPrefix = "claim/";

/// Returns the table key of a claim: "claim/<account>/<SHA-256 of the
/// idempotency key>". Thread-safe.
std::string ClaimRowKey(const ClientAccountId& account,
                        const IdempotencyKey& key);

/// Parses the value of a claim row. Returns std::nullopt and sets `reason` if
/// the value is malformed or its state is unknown. Thread-safe.
[[nodiscard]] std::optional<ClaimRow> ParseClaimRow(std::string_view value,
                                                    Reason& reason);

/// Returns a description of a claim for operators as JSON: claim id (host,
/// incarnation and serial), account, idempotency key, request hash, creation
/// time, state, whether the request ran, and in state kDone the recorded status
/// and where the body is. Omits the headers and the body. Thread-safe.
std::string DescribeClaim(const ClaimRow& row);

}  // namespace applestand

MSGPACK_ADD_ENUM(applestand::ClaimState)

#endif  // LIB_CLAIMS_CLAIM_H_
