#include "lib/claims/claim.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <algorithm>
#include <cassert>

#include <nlohmann/json.hpp>

namespace applestand {

namespace {

constexpr const char* kRecordedHeaders[] = {
    "Content-Type", "Content-Language", "ETag", "Last-Modified", "Location"};

std::string Sha256Hex(const std::vector<std::string_view>& parts) {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  bool ok = EVP_DigestInit_ex(context, EVP_sha256(), nullptr) == 1;
  for (std::string_view part : parts) {
    // The length prefix ensures that different lists of parts with the same
    // concatenation have different hashes.
    const uint64_t size = part.size();
    ok = ok && EVP_DigestUpdate(context, &size, sizeof size) == 1;
    ok = ok && EVP_DigestUpdate(context, part.data(), part.size()) == 1;
  }
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int length = 0;
  ok = ok && EVP_DigestFinal_ex(context, digest, &length) == 1;
  EVP_MD_CTX_free(context);
  assert(ok && "SHA-256 is always available");
  std::string hex;
  for (unsigned int i = 0; i < length; ++i) {
    hex += fmt::format("{:02x}", digest[i]);
  }
  return hex;
}

const char* DescribeRan(const ClaimRow& row) {
  switch (row.state) {
    case ClaimState::kClaimed:
      return ToString(Ran::kMayHaveRun);
    case ClaimState::kDone:
      return ToString(Ran::kRan);
    case ClaimState::kReleased:
      return ToString(Ran::kNotRun);
  }
  return ToString(Ran::kMayHaveRun);
}

}  // namespace

const char* ToString(ClaimState state) {
  switch (state) {
    case ClaimState::kClaimed:
      return "claimed";
    case ClaimState::kDone:
      return "done";
    case ClaimState::kReleased:
      return "released";
  }
  return "invalid";
}

std::optional<IdempotencyKey> ParseIdempotencyKey(const HttpRequest& request,
                                                  Reason& reason) {
  const size_t count = CountHeaders(request.headers, kIdempotencyKeyHeader);
  if (count != 1) {
    reason.text = count == 0 ? "Idempotency-Key is missing"
                             : "Idempotency-Key is given more than once";
    return std::nullopt;
  }
  const std::string key =
      FindHeader(request.headers, kIdempotencyKeyHeader).value_or("");
  const bool visible = std::all_of(key.begin(), key.end(),
                                   [](char c) { return c > ' ' && c < 0x7f; });
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes || !visible) {
    reason.text = "Idempotency-Key is not 1 to 128 visible ASCII characters";
    return std::nullopt;
  }
  return IdempotencyKey(key);
}

RequestHash HashRequest(const HttpRequest& request) {
  return RequestHash(Sha256Hex({request.method, request.target, request.body}));
}

ClaimOutcome MakeClaimOutcome(const HttpResponse& response) {
  ClaimOutcome outcome;
  outcome.status = response.status;
  outcome.body = response.body;
  for (const HttpHeader& header : response.headers) {
    const bool is_recorded =
        std::any_of(std::begin(kRecordedHeaders), std::end(kRecordedHeaders),
                    [&header](const char* name) {
                      return SameHeaderName(name, header.name);
                    });
    if (is_recorded) {
      outcome.headers.emplace_back(header.name, header.value);
    }
  }
  return outcome;
}

HttpResponse MakeRecordedResponse(const ClaimOutcome& outcome) {
  assert(outcome.body_object_key.empty() && !outcome.body_omitted &&
         "the body must be present");
  HttpResponse response;
  response.status = outcome.status;
  response.body = outcome.body;
  for (const auto& [name, value] : outcome.headers) {
    response.headers.push_back({name, value});
  }
  return response;
}

std::string ClaimRowKey(const ClientAccountId& account,
                        const IdempotencyKey& key) {
  return kClaimPrefix + account.value() + "/" + Sha256Hex({key.value()});
}

std::optional<ClaimRow> ParseClaimRow(std::string_view value, Reason& reason) {
  std::optional<ClaimRow> row = Decode<ClaimRow>(value, reason);
  if (row && (row->state < ClaimState::kClaimed ||
              row->state > ClaimState::kReleased)) {
    reason.text = "unknown claim state";
    return std::nullopt;
  }
  return row;
}

std::string DescribeClaim(const ClaimRow& row) {
  nlohmann::ordered_json view = {
      {"claim", row.claim.value()},
      {"account", row.account.value()},
      {"idempotency_key", row.key.value()},
      {"request_sha256", row.hash.value()},
      {"created_unix_ms", row.created_unix_ms},
      {"state", ToString(row.state)},
      {"ran", DescribeRan(row)},
  };
  if (row.state == ClaimState::kDone) {
    view["status"] = row.outcome.status;
    view["body_bytes"] = row.outcome.body.size();
    view["body_object"] = row.outcome.body_object_key;
    view["body_omitted"] = row.outcome.body_omitted;
  }
  return view.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace applestand
