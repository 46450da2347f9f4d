#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "lib/config/change.h"
#include "lib/config/field_reader.h"
#include "lib/config/item_traits.h"

namespace applestand {

namespace {

using nlohmann::json;

template <class Tag>
json ToArray(const std::vector<Id<Tag>>& ids) {
  json array = json::array();
  for (const Id<Tag>& id : ids) {
    array.push_back(id.value());
  }
  return array;
}

json ItemToJson(const ClientAccount& account) {
  return {{"id", account.id.value()},
          {"requests_per_second", account.contract.requests_per_second},
          {"burst", account.contract.burst},
          {"weight", account.contract.weight}};
}

json ItemToJson(const Key& key) {
  return {{"id", key.id.value()},
          {"account", key.account.value()},
          {"secret_sha256", key.secret_sha256}};
}

json ItemToJson(const Route& route) {
  return {{"id", route.id.value()},
          {"path_prefix", route.path_prefix},
          {"service", route.service.value()},
          {"open", route.open},
          {"repeatable", route.repeatable},
          {"accounts", ToArray(route.accounts)},
          {"timeout_ms", ToMillis(route.timeout)}};
}

json ItemToJson(const Target& target) {
  return {
      {"id", target.id.value()},         {"service", target.service.value()},
      {"region", target.region.value()}, {"zone", target.zone.value()},
      {"address", target.address},       {"slots", target.slots},
      {"leaving", target.leaving}};
}

json ItemToJson(const Move& move) {
  return {{"id", move.id.value()},
          {"service", move.service.value()},
          {"from", move.from.value()},
          {"to", move.to.value()},
          {"step_permille", move.step_permille},
          {"step_interval_ms", ToMillis(move.step_interval)},
          {"goal_permille", move.goal_permille},
          {"current_permille", move.current_permille},
          {"paused", move.paused}};
}

json ItemToJson(const ClientBlock& block) {
  return {{"network", block.network}, {"regions", ToArray(block.regions)}};
}

void ReadItem(FieldReader& fields, ClientAccount& account) {
  fields.Required("id", account.id);
  fields.Required("requests_per_second", account.contract.requests_per_second);
  fields.Required("burst", account.contract.burst);
  fields.Optional("weight", account.contract.weight);
}

void ReadItem(FieldReader& fields, Key& key) {
  fields.Required("id", key.id);
  fields.Required("account", key.account);
  fields.Required("secret_sha256", key.secret_sha256);
}

void ReadItem(FieldReader& fields, Route& route) {
  fields.Required("id", route.id);
  fields.Required("path_prefix", route.path_prefix);
  fields.Required("service", route.service);
  fields.Optional("open", route.open);
  fields.Optional("repeatable", route.repeatable);
  fields.Optional("accounts", route.accounts);
  fields.Optional("timeout_ms", route.timeout);
}

void ReadItem(FieldReader& fields, Target& target) {
  fields.Required("id", target.id);
  fields.Required("service", target.service);
  fields.Required("region", target.region);
  fields.Required("zone", target.zone);
  fields.Required("address", target.address);
  fields.Required("slots", target.slots);
  fields.Optional("leaving", target.leaving);
}

void ReadItem(FieldReader& fields, Move& move) {
  fields.Required("id", move.id);
  fields.Required("service", move.service);
  fields.Required("from", move.from);
  fields.Required("to", move.to);
  fields.Optional("step_permille", move.step_permille);
  fields.Optional("step_interval_ms", move.step_interval);
  fields.Optional("goal_permille", move.goal_permille);
  fields.Optional("current_permille", move.current_permille);
  fields.Optional("paused", move.paused);
}

void ReadItem(FieldReader& fields, ClientBlock& block) {
  fields.Required("network", block.network);
  fields.Required("regions", block.regions);
}

template <class Item>
std::string OperationName(const Put<Item>& /*put*/) {
  return std::string("put-") + ItemTraits<Item>::kName;
}

template <class Item>
std::string OperationName(const Remove<Item>& /*remove*/) {
  return std::string("remove-") + ItemTraits<Item>::kName;
}

std::string OperationName(const SetContractShareCount& /*set*/) {
  return "set-seats";
}

template <class Item>
json OperationToJson(const Put<Item>& put) {
  return ItemToJson(put.item);
}

template <class Item>
json OperationToJson(const Remove<Item>& remove) {
  return {{"id", remove.id}};
}

json OperationToJson(const SetContractShareCount& set) {
  return {{"seats", set.contract_share_count}};
}

template <class Item>
void ReadOperation(FieldReader& fields, Put<Item>& put) {
  ReadItem(fields, put.item);
}

template <class Item>
void ReadOperation(FieldReader& fields, Remove<Item>& remove) {
  fields.Required("id", remove.id);
}

void ReadOperation(FieldReader& fields, SetContractShareCount& set) {
  fields.Required("seats", set.contract_share_count);
}

// Sets `operation` to the default value of the alternative called `name`.
// Returns false if there is none.
template <size_t Index = 0>
bool SelectOperationByName(const std::string& name, Operation& operation) {
  if constexpr (Index < std::variant_size_v<Operation>) {
    std::variant_alternative_t<Index, Operation> candidate;
    if (OperationName(candidate) == name) {
      operation = std::move(candidate);
      return true;
    }
    return SelectOperationByName<Index + 1>(name, operation);
  } else {
    return false;
  }
}

std::string Dump(const json& value, int indent = -1) {
  return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

template <class Map>
json ItemsToJson(const Map& items) {
  json array = json::array();
  for (const auto& [id, item] : items) {
    array.push_back(ItemToJson(item));
  }
  return array;
}

}  // namespace

std::string ToJson(const Change& change) {
  const auto name = [](const auto& operation) {
    return OperationName(operation);
  };
  const auto item = [](const auto& operation) {
    return OperationToJson(operation);
  };
  return Dump({{"id", change.id.value()},
               {"author", change.author},
               {"version", change.version.value()},
               {"operation", std::visit(name, change.operation)},
               {"item", std::visit(item, change.operation)}});
}

std::optional<Change> ParseChange(std::string_view text, Reason& reason) {
  const json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    reason.text = "the change is not valid JSON";
    return std::nullopt;
  }
  Change change;
  std::string name;
  uint64_t version = 0;
  FieldReader fields(parsed, "change", reason);
  fields.Required("id", change.id);
  fields.Required("author", change.author);
  fields.Optional("version", version);
  fields.Required("operation", name);
  const json* item = fields.RequiredObject("item");
  if (!fields.Finish()) {
    return std::nullopt;
  }
  if (!SelectOperationByName(name, change.operation)) {
    reason.text =
        "change.operation must be \"set-seats\", or \"put-\" or \"remove-\" "
        "and one of account, key, route, target, move, block";
    return std::nullopt;
  }
  change.version = ConfigVersion(version);
  FieldReader item_fields(*item, "item", reason);
  std::visit([&](auto& operation) { ReadOperation(item_fields, operation); },
             change.operation);
  if (!item_fields.Finish()) {
    return std::nullopt;
  }
  return change;
}

std::string ToJson(const ConfigState& state) {
  return Dump({{"version", state.version.value()},
               {"seats", state.contract_share_count},
               {"accounts", ItemsToJson(state.accounts)},
               {"keys", ItemsToJson(state.keys)},
               {"routes", ItemsToJson(state.routes)},
               {"targets", ItemsToJson(state.targets)},
               {"moves", ItemsToJson(state.moves)},
               {"blocks", ItemsToJson(state.blocks)}},
              2);
}

}  // namespace applestand
