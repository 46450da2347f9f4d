#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <string>

#include "lib/config/change.h"
#include "lib/config/item_traits.h"

namespace applestand {

namespace {

constexpr size_t kLongestId = 128;
constexpr size_t kLongestAuthor = 256;
constexpr size_t kLongestPath = 1024;
constexpr size_t kMostRegions = 16;
constexpr size_t kSha256HexLength = 64;
constexpr double kMostRequestsPerSecond = 1e7;
constexpr double kMostWeight = 1000;
constexpr uint32_t kMostSlots = 100000;
constexpr uint32_t kMostSeats = 100000;
constexpr uint32_t kWholePermille = 1000;
constexpr Duration kLongestTimeout = std::chrono::minutes(10);
constexpr Duration kShortestStep = std::chrono::seconds(1);
constexpr Duration kLongestStep = std::chrono::hours(24);

bool Fail(Reason& reason, const std::string& text) {
  reason.text = text;
  return false;
}

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool CheckId(const std::string& field, const std::string& id, Reason& reason) {
  if (id.empty() || id.size() > kLongestId ||
      !std::all_of(id.begin(), id.end(), IsIdCharacter)) {
    return Fail(reason, field + " must be 1 to 128 letters, digits, -, _ or .");
  }
  return true;
}

bool CheckRange(const std::string& field,
                double value,
                double least,
                double most,
                Reason& reason) {
  if (std::isfinite(value) && value >= least && value <= most) {
    return true;
  }
  const auto format = [](double bound) {
    std::string text = std::to_string(bound);
    text.erase(text.find_last_not_of('0') + 1);
    return text.back() == '.' ? text.substr(0, text.size() - 1) : text;
  };
  return Fail(reason,
              field + " must be from " + format(least) + " to " + format(most));
}

bool CheckDuration(const std::string& field,
                   Duration value,
                   Duration least,
                   Duration most,
                   Reason& reason) {
  return CheckRange(field, static_cast<double>(ToMillis(value)),
                    static_cast<double>(ToMillis(least)),
                    static_cast<double>(ToMillis(most)), reason);
}

bool CheckAddress(const std::string& text, Reason& reason) {
  const std::string fault =
      "item.address must be an IPv4 address and a port from 1 to 65535, such "
      "as 10.1.2.3:8080";
  const size_t colon = text.find(':');
  if (colon == std::string::npos ||
      !ParseIpv4(std::string_view(text).substr(0, colon), reason)) {
    return Fail(reason, fault);
  }
  const char* const last = text.data() + text.size();
  uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(text.data() + colon + 1, last, port);
  if (error != std::errc() || end != last || port == 0 ||
      text[colon + 1] == '0') {
    return Fail(reason, fault);
  }
  return true;
}

// Prefixes hold no characters that a path may spell in two ways.
bool CheckPathPrefix(const std::string& path, Reason& reason) {
  const auto is_plain = [](char c) {
    return IsIdCharacter(c) || c == '/' || c == '~';
  };
  const auto has = [&](const char* part) {
    return (path + "/").find(part) != std::string::npos;
  };
  const bool ends_in_slash = path.size() > 1 && path.back() == '/';
  if (path.empty() || path.size() > kLongestPath || path.front() != '/' ||
      !std::all_of(path.begin(), path.end(), is_plain) || ends_in_slash ||
      (path != "/" && has("//")) || has("/./") || has("/../")) {
    return Fail(reason,
                "item.path_prefix must start with /, hold only letters, "
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
                    0.001, kMostRequestsPerSecond, reason) &&
         CheckRange("item.burst", contract.burst, 1, kMostRequestsPerSecond,
                    reason) &&
         CheckRange("item.weight", contract.weight, 0.001, kMostWeight, reason);
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
  // A presented key is split at its first dot.
  if (key.id.value().find('.') != std::string::npos) {
    return Fail(reason, "item.id of a key must not hold a dot");
  }
  return CheckId("item.id", key.id.value(), reason) &&
         CheckAccountExists("item.account", key.account, state, reason);
}

bool CheckItem(const Route& route, const ConfigState& state, Reason& reason) {
  if (!CheckId("item.id", route.id.value(), reason) ||
      !CheckId("item.service", route.service.value(), reason) ||
      !CheckPathPrefix(route.path_prefix, reason) ||
      !CheckDuration("item.timeout_ms", route.timeout,
                     std::chrono::milliseconds(1), kLongestTimeout, reason)) {
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
      return Fail(reason, "item.path_prefix must be unlike that of route \"" +
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
         CheckRange("item.slots", target.slots, 1, kMostSlots, reason);
}

bool CheckItem(const Move& move, const ConfigState& /*state*/, Reason& reason) {
  if (move.from == move.to) {
    return Fail(reason, "item.to must be another region than item.from");
  }
  return CheckId("item.id", move.id.value(), reason) &&
         CheckId("item.service", move.service.value(), reason) &&
         CheckId("item.from", move.from.value(), reason) &&
         CheckId("item.to", move.to.value(), reason) &&
         CheckRange("item.step_permille", move.step_permille, 1, kWholePermille,
                    reason) &&
         CheckRange("item.goal_permille", move.goal_permille, 0, kWholePermille,
                    reason) &&
         CheckRange("item.current_permille", move.current_permille, 0,
                    kWholePermille, reason) &&
         CheckDuration("item.step_interval_ms", move.step_interval,
                       kShortestStep, kLongestStep, reason);
}

bool CheckItem(const ClientBlock& block,
               const ConfigState& /*state*/,
               Reason& reason) {
  if (!ParseIpv4Network(block.network, reason)) {
    return Fail(reason, "item.network " + reason.text);
  }
  const std::set<RegionId> distinct(block.regions.begin(), block.regions.end());
  if (distinct.empty() || distinct.size() > kMostRegions ||
      distinct.size() != block.regions.size()) {
    return Fail(reason, "item.regions must be 1 to 16 distinct regions");
  }
  return std::all_of(distinct.begin(), distinct.end(), [&](const auto& region) {
    return CheckId("item.regions", region.value(), reason);
  });
}

// Whether nothing else refers to the item that is to be removed.
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
                  "names; change route \"" +
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

bool Check(const SetSeats& set, const ConfigState& /*state*/, Reason& reason) {
  return CheckRange("item.seats", set.seats, 1, kMostSeats, reason);
}

}  // namespace

bool Validate(const Change& change, const ConfigState& state, Reason& reason) {
  if (!CheckId("change.id", change.id.value(), reason)) {
    return false;
  }
  if (change.author.empty() || change.author.size() > kLongestAuthor) {
    return Fail(reason, "change.author must be 1 to 256 bytes");
  }
  return std::visit(
      [&](const auto& operation) { return Check(operation, state, reason); },
      change.operation);
}

}  // namespace applestand
