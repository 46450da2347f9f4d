#include "lib/usage/usage_keys.h"

namespace applestand {

namespace {

// Escapes "/" and "%", so that "/" only separates the parts of a key.
std::string Escape(const std::string& id) {
  std::string escaped;
  for (const char c : id) {
    switch (c) {
      case '/':
        escaped += "%2F";
        break;
      case '%':
        escaped += "%25";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

}  // namespace

std::string UsagePrefix(const ClientAccountId& account) {
  return "usage/" + Escape(account.value()) + "/";
}

std::string UsageKey(const ClientAccountId& account,
                     const HostId& host,
                     Incarnation incarnation) {
  return UsagePrefix(account) + Escape(host.value()) + "/" +
         std::to_string(incarnation.value());
}

}  // namespace applestand
