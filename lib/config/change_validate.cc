#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <string>

#include "lib/config/change.h"
#include "lib/config/item_traits.h"

namespace applestand {

namespace {

constexpr size_t kMaxIdLength = 128;
constexpr size_t kMaxAuthorLength = 256;
constexpr size_t kMaxPathLength = 1024;
constexpr size_t kMaxRegions = 16;
constexpr size_t kSha256HexLength = 64;
constexpr double kMaxRequestsPerSecond = 1e7;
constexpr double kMaxWeight = 1000;
constexpr uint32_t kMaxSlots = 100000;
constexpr uint32_t kMaxContractShares = 100000;
constexpr uint32_t kMaxPermille = 1000;
constexpr Duration kMaxTimeout = std::chrono::minutes(10);
constexpr Duration kMinStepInterval = std::chrono::seconds(1);
constexpr Duration kMaxStepInterval = std::chrono::hours(24);

bool Fail(Reason& reason, const std::string& text) {
  reason.text = text;
  return false;
}

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool CheckId(const std::string& field, const std::string& id, Reason& reason) {
  if (id.empty() || id.size() > kMaxIdLength ||
      !std::all_of(id.begin(), id.end(), IsIdCharacter)) {
    return Fail(reason, field + " must be 1 to 128 letters, digits, -, _ or .");
  }
  return true;
}

bool CheckRange(const std::string& field,
                double value,
                double min,
                double max,
                Reason& reason) {
  if (std::isfinite(value) && value >= min && value <= max) {
    return true;
  }
  const auto format = [](double bound) {
    std::string text = std::to_string(bound);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
  };
  return Fail(reason,
              field + " must be from " + format(min) + " to " + format(max));
}

bool CheckDuration(const std::string& field,
                   Duration value,
                   Duration min,
                   Duration max,
                   Reason& reason) {
  return CheckRange(field, static_cast<double>(ToMillis(value)),
                    static_cast<double>(ToMillis(min)),
                    static_cast<double>(ToMillis(max)), reason);
}

bool CheckAddress(const std::string& text, Reason& reason) {
  const std::string message =
      "item.address must be an IPv4 address and a port from 1 to 65535, such "
      "as 10.1.2.3:8080";
  const size_t colon = text.find(':');
  if (colon == std::string::npos ||
      !ParseIpv4(std::string_view(text).substr(0, colon), reason)) {
    return Fail(reason, message);
  }
  const char* const last = text.data() + text.size();
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(text.data() + colon + 1, last, port);
  if (error != std::errc() || end != last || port == 0 ||
      text[colon + 1] == '0') {
    return Fail(reason, message);
  }
  return true;
}

// Rejects prefixes with characters or segments that a path can represent in
// more than one way, such as percent-encoding or "..".
bool CheckPathPrefix(const std::string& path, Reason& reason) {
  const auto is_allowed = [](char c) {
    return IsIdCharacter(c) || c == '/' || c == '~';
  };
  const auto contains = [&](const char* part) {
    return (path + "/").find(part) != std::string::npos;
  };
  const bool ends_in_slash = path.size() > 1 && path.back() == '/';
  if (path.empty() || path.size() > kMaxPathLength || path.front() != '/' ||
      !std::all_of(path.begin(), path.end(), is_allowed) || ends_in_slash ||
      (path != "/" && contains("//")) || contains("/./") || contains("/../")) {
    return Fail(reason,
                "item.path_prefix must start with /, contain only letters, "
                "digits, -, _, ., ~ and /, have no empty, . or .. segment, and "
                "not end in / unless it is /");
  }
  return true;
}

bool CheckAccountExists(const std::string& field,
                        const ClientAccountId& account,
                        const ConfigState& state,
                        Reason& reason) {
  if (state.accounts.count(account) == 0) {
    return Fail(reason, field + " must name an existing client account; \"" +
                            account.value() + "\" does not exist");
  }
  return true;
}

bool CheckItem(const ClientAccount& account,
               const ConfigState& /*state*/,
               Reason& reason) {
  const Contract& contract = account.contract;
  return CheckId("item.id", account.id.value(), reason) &&
         CheckRange("item.requests_per_second", contract.requests_per_second,
                    0.001, kMaxRequestsPerSecond, reason) &&
         CheckRange("item.burst", contract.burst, 1, kMaxRequestsPerSecond,
                    reason) &&
         CheckRange("item.weight", contract.weight, 0.001, kMaxWeight, reason);
}

bool CheckItem(const Key& key, const ConfigState& state, Reason& reason) {
  const auto is_hex = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  const std::string& hash = key.secret_sha256;
  if (hash.size() != kSha256HexLength ||
      !std::all_of(hash.begin(), hash.end(), is_hex)) {
    return Fail(reason,
                "item.secret_sha256 must be 64 lower-case hexadecimal digits");
  }
  // A key sent by a caller is split into id and secret at its first dot.
  if (key.id.value().find('.') != std::string::npos) {
    return Fail(reason, "item.id of a key must not contain a dot");
  }
  return CheckId("item.id", key.id.value(), reason) &&
         CheckAccountExists("item.account", key.account, state, reason);
}

bool CheckItem(const Route& route, const ConfigState& state, Reason& reason) {
  if (!CheckId("item.id", route.id.value(), reason) ||
      !CheckId("item.service", route.service.value(), reason) ||
      !CheckPathPrefix(route.path_prefix, reason) ||
      !CheckDuration("item.timeout_ms", route.timeout,
                     std::chrono::milliseconds(1), kMaxTimeout, reason)) {
    return false;
  }
  if (route.open && !route.accounts.empty()) {
    return Fail(reason, "item.accounts must be empty on an open route");
  }
  for (const ClientAccountId& account : route.accounts) {
    if (!CheckAccountExists("item.accounts", account, state, reason)) {
      return false;
    }
  }
  for (const auto& [id, other] : state.routes) {
    if (id != route.id && other.path_prefix == route.path_prefix) {
      return Fail(reason, "item.path_prefix must differ from that of route \"" +
                              id.value() + "\"");
    }
  }
  return true;
}

bool CheckItem(const Target& target,
               const ConfigState& /*state*/,
               Reason& reason) {
  return CheckId("item.id", target.id.value(), reason) &&
         CheckId("item.service", target.service.value(), reason) &&
         CheckId("item.region", target.region.value(), reason) &&
         CheckId("item.zone", target.zone.value(), reason) &&
         CheckAddress(target.address, reason) &&
         CheckRange("item.slots", target.slots, 1, kMaxSlots, reason);
}

bool CheckItem(const Move& move, const ConfigState& /*state*/, Reason& reason) {
  if (move.from == move.to) {
    return Fail(reason, "item.to and item.from must be different regions");
  }
  return CheckId("item.id", move.id.value(), reason) &&
         CheckId("item.service", move.service.value(), reason) &&
         CheckId("item.from", move.from.value(), reason) &&
         CheckId("item.to", move.to.value(), reason) &&
         CheckRange("item.step_permille", move.step_permille, 1, kMaxPermille,
                    reason) &&
         CheckRange("item.goal_permille", move.goal_permille, 0, kMaxPermille,
                    reason) &&
         CheckRange("item.current_permille", move.current_permille, 0,
                    kMaxPermille, reason) &&
         CheckDuration("item.step_interval_ms", move.step_interval,
                       kMinStepInterval, kMaxStepInterval, reason);
}

bool CheckItem(const ClientBlock& block,
               const ConfigState& /*state*/,
               Reason& reason) {
  if (!ParseIpv4Network(block.network, reason)) {
    return Fail(reason, "item.network " + reason.text);
  }
  const std::set<RegionId> distinct(block.regions.begin(), block.regions.end());
  if (distinct.empty() || distinct.size() > kMaxRegions ||
      distinct.size() != block.regions.size()) {
    return Fail(reason, "item.regions must be 1 to 16 distinct regions");
  }
  return std::all_of(distinct.begin(), distinct.end(), [&](const auto& region) {
    return CheckId("item.regions", region.value(), reason);
  });
}

// Returns whether no other item refers to the item to be removed.
template <class Item>
bool CheckUnused(const std::string& /*id*/,
                 const ConfigState& /*state*/,
                 Reason& /*reason*/) {
  return true;
}

template <>
bool CheckUnused<ClientAccount>(const std::string& id,
                                const ConfigState& state,
                                Reason& reason) {
  const ClientAccountId account(id);
  for (const auto& [key_id, key] : state.keys) {
    if (key.account == account) {
      return Fail(reason,
                  "item.id must name a client account without keys; "
                  "remove key \"" +
                      key_id.value() + "\" first");
    }
  }
  for (const auto& [route_id, route] : state.routes) {
    const auto& accounts = route.accounts;
    if (std::find(accounts.begin(), accounts.end(), account) !=
        accounts.end()) {
      return Fail(reason,
                  "item.id must name a client account that no route "
                  "refers to; change route \"" +
                      route_id.value() + "\" first");
    }
  }
  return true;
}

template <class Item>
bool Check(const Put<Item>& put, const ConfigState& state, Reason& reason) {
  return CheckItem(put.item, state, reason);
}

template <class Item>
bool Check(const Remove<Item>& remove,
           const ConfigState& state,
           Reason& reason) {
  const auto& items = state.*ItemTraits<Item>::kMap;
  using MapKey = typename std::decay_t<decltype(items)>::key_type;
  if (items.count(MapKey(remove.id)) == 0) {
    return Fail(reason, std::string("item.id must name an existing ") +
                            ItemTraits<Item>::kName);
  }
  return CheckUnused<Item>(remove.id, state, reason);
}

bool Check(const SetContractShareCount& set,
           const ConfigState& /*state*/,
           Reason& reason) {
  return CheckRange("item.seats", set.contract_share_count, 1,
                    kMaxContractShares, reason);
}

}  // namespace

bool Validate(const Change& change, const ConfigState& state, Reason& reason) {
  if (!CheckId("change.id", change.id.value(), reason)) {
    return false;
  }
  if (change.author.empty() || change.author.size() > kMaxAuthorLength) {
    return Fail(reason, "change.author must be 1 to 256 bytes");
  }
  return std::visit(
      [&](const auto& operation) { return Check(operation, state, reason); },
      change.operation);
}

}  // namespace applestand
