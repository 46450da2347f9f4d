#include <cassert>

#include "lib/config/change.h"
#include "lib/config/item_traits.h"

namespace applestand {

namespace {

template <class Item>
void Apply(const Put<Item>& put, ConfigState& state) {
  using Traits = ItemTraits<Item>;
  (state.*Traits::kMap)[Traits::GetMapKey(put.item)] = put.item;
}

template <class Item>
void Apply(const Remove<Item>& remove, ConfigState& state) {
  auto& items = state.*ItemTraits<Item>::kMap;
  using MapKey = typename std::decay_t<decltype(items)>::key_type;
  items.erase(MapKey(remove.id));
}

void Apply(const SetContractShareCount& set, ConfigState& state) {
  state.contract_share_count = set.contract_share_count;
}

}  // namespace

void ApplyChange(const Change& change, ConfigState& state) {
  assert(change.version == state.version.Next() &&
         "the version of a change must directly follow that of the state");
  std::visit([&](const auto& operation) { Apply(operation, state); },
             change.operation);
  state.version = change.version;
}

}  // namespace applestand
