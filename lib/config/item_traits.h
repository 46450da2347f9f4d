#ifndef LIB_CONFIG_ITEM_TRAITS_H_
#define LIB_CONFIG_ITEM_TRAITS_H_

#include <string>

#include "lib/config/model.h"

namespace applestand {

/// Describes each kind of configuration item: kName is its name in operation
/// names such as "put-account" and in messages to operators, kMap is the member
/// of ConfigState that holds the items, and GetMapKey returns an item's key in
/// that map. Thread-safe.
template <class Item>
struct ItemTraits;

template <>
struct ItemTraits<ClientAccount> {
  static constexpr const char* kName = "account";
  static constexpr auto kMap = &ConfigState::accounts;
  static ClientAccountId GetMapKey(const ClientAccount& item) {
    return item.id;
  }
};

template <>
struct ItemTraits<Key> {
  static constexpr const char* kName = "key";
  static constexpr auto kMap = &ConfigState::keys;
  static KeyId GetMapKey(const Key& item) { return item.id; }
};

template <>
struct ItemTraits<Route> {
  static constexpr const char* kName = "route";
  static constexpr auto kMap = &ConfigState::routes;
  static RouteId GetMapKey(const Route& item) { return item.id; }
};

template <>
struct ItemTraits<Target> {
  static constexpr const char* kName = "target";
  static constexpr auto kMap = &ConfigState::targets;
  static TargetId GetMapKey(const Target& item) { return item.id; }
};

template <>
struct ItemTraits<Move> {
  static constexpr const char* kName = "move";
  static constexpr auto kMap = &ConfigState::moves;
  static MoveId GetMapKey(const Move& item) { return item.id; }
};

template <>
struct ItemTraits<ClientBlock> {
  static constexpr const char* kName = "block";
  static constexpr auto kMap = &ConfigState::blocks;
  static std::string GetMapKey(const ClientBlock& item) { return item.network; }
};

}  // namespace applestand

#endif  // LIB_CONFIG_ITEM_TRAITS_H_
