#ifndef LIB_CONFIG_ITEM_TRAITS_H_
#define LIB_CONFIG_ITEM_TRAITS_H_

#include <string>

#include "lib/config/model.h"

namespace applestand {

/// For each kind of item: its name in the JSON form, the map that holds it and
/// its key in that map. All thread-safe.
template <class Item>
struct ItemTraits;

template <>
struct ItemTraits<ClientAccount> {
  static constexpr const char* kName = "account";
  static constexpr auto kMap = &ConfigState::accounts;
  static ClientAccountId KeyOf(const ClientAccount& item) { return item.id; }
};

template <>
struct ItemTraits<Key> {
  static constexpr const char* kName = "key";
  static constexpr auto kMap = &ConfigState::keys;
  static KeyId KeyOf(const Key& item) { return item.id; }
};

template <>
struct ItemTraits<Route> {
  static constexpr const char* kName = "route";
  static constexpr auto kMap = &ConfigState::routes;
  static RouteId KeyOf(const Route& item) { return item.id; }
};

template <>
struct ItemTraits<Target> {
  static constexpr const char* kName = "target";
  static constexpr auto kMap = &ConfigState::targets;
  static TargetId KeyOf(const Target& item) { return item.id; }
};

template <>
struct ItemTraits<Move> {
  static constexpr const char* kName = "move";
  static constexpr auto kMap = &ConfigState::moves;
  static MoveId KeyOf(const Move& item) { return item.id; }
};

template <>
struct ItemTraits<ClientBlock> {
  static constexpr const char* kName = "block";
  static constexpr auto kMap = &ConfigState::blocks;
  static std::string KeyOf(const ClientBlock& item) { return item.network; }
};

}  // namespace applestand

#endif  // LIB_CONFIG_ITEM_TRAITS_H_
