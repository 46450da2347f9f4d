#include "lib/usage/usage_keys.h"

namespace applestand {

namespace {

std::string Escaped(const std::string& id) {
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
  return "usage/" + Escaped(account.value()) + "/";
}

std::string UsageKey(const ClientAccountId& account,
                     const HostId& host,
                     Incarnation incarnation) {
  return UsagePrefix(account) + Escaped(host.value()) + "/" +
         std::to_string(incarnation.value());
}

}  // namespace applestand
