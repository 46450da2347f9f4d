#include "lib/keys/authorizer.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace applestand {

namespace {

AuthorizationRefusal Refuse(int status, std::string text) {
  return {status, {std::move(text)}};
}

}  // namespace

AuthorizationResult Authorizer::Authorize(const HttpRequest& request) {
  const std::string_view path = PathOf(request);
  if (Reason reason; !IsUnambiguousPath(path, reason)) {
    return Refuse(400, reason.text);
  }
  m_routes.Update(m_state);
  const Route* route = m_routes.Find(path);
  if (route == nullptr) {
    return Refuse(404, "no route has this path");
  }
  KeyParseResult parsed = ParseKey(request);
  if (route->open) {
    return Authorization{route, std::nullopt, std::move(parsed.key)};
  }
  if (parsed.presence == KeyPresence::kMalformed) {
    return Refuse(400, parsed.reason.text);
  }
  if (parsed.presence == KeyPresence::kAbsent) {
    return Refuse(401, "this route needs a key");
  }
  const auto key = m_state.keys.find(parsed.key->id);
  if (key == m_state.keys.end() ||
      !SecretMatches(parsed.key->secret, key->second.secret_sha256)) {
    return Refuse(401, "the key is unknown or withdrawn");
  }
  const ClientAccountId& account = key->second.account;
  const auto& allowed = route->accounts;
  if (!allowed.empty() &&
      std::find(allowed.begin(), allowed.end(), account) == allowed.end()) {
    return Refuse(403, "this route is not for this client account");
  }
  return Authorization{route, account, std::move(parsed.key)};
}

}  // namespace applestand
