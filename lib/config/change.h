#ifndef LIB_CONFIG_CHANGE_H_
#define LIB_CONFIG_CHANGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "lib/base/ids.h"
#include "lib/base/verdict.h"
#include "lib/config/model.h"

namespace applestand {

/// Adds an item, or replaces the item that has the same id.
template <class Item>
struct Put {
  Item item;
};

/// Removes the item of kind `Item` whose id is `id`. For a ClientBlock, `id` is
/// its network.
template <class Item>
struct Remove {
  std::string id;
};

/// Sets the number of equal shares that each contract is split into; see
/// ConfigState::contract_share_count.
struct SetContractShareCount {
  uint32_t contract_share_count = 0;
};

using Operation = std::variant<Put<ClientAccount>,
                               Remove<ClientAccount>,
                               Put<Key>,
                               Remove<Key>,
                               Put<Route>,
                               Remove<Route>,
                               Put<Target>,
                               Remove<Target>,
                               Put<Move>,
                               Remove<Move>,
                               Put<ClientBlock>,
                               Remove<ClientBlock>,
                               SetContractShareCount>;

/// One entry of the configuration log.
struct Change {
  /// Idempotency key, chosen by the operator's tool.
  ChangeId id;
  /// The operator who requested the change. Recorded for auditing only.
  std::string author;
  /// Position in the log; 0 until the change is appended.
  ConfigVersion version;
  Operation operation;
};

/// Serializes a change to the JSON form used by log rows and the operators'
/// API:
///   {"id": "c1", "author": "ana", "version": 7,
///    "operation": "put-key", "item": {"id": "k1", ...}}
/// The item of a removal is {"id": ...}, that of "set-seats" {"seats": N}.
/// Durations are in milliseconds. Thread-safe.
std::string ToJson(const Change& change);

/// Parses the JSON form. Returns std::nullopt if the text is not valid JSON, or
/// if a field is unknown, missing or of the wrong type; `reason` then names the
/// field and the values that it accepts. Thread-safe.
[[nodiscard]] std::optional<Change> ParseChange(std::string_view json,
                                                Reason& reason);

/// Serializes the complete state as indented JSON for operators. Thread-safe.
std::string ToJson(const ConfigState& state);

/// Returns whether `change` is valid if applied to `state`. Does not check its
/// version. On failure, `reason` names the field and the values that it
/// accepts. Thread-safe.
[[nodiscard]] bool Validate(const Change& change,
                            const ConfigState& state,
                            Reason& reason);

/// Applies a change to `state`. Precondition: the change's version directly
/// follows the state's version. Concurrent calls on one `state` need external
/// synchronization.
void ApplyChange(const Change& change, ConfigState& state);

/// An IPv4 network, with its address in host byte order.
struct Ipv4Network {
  uint32_t address = 0;
  uint32_t prefix_length = 0;
};

/// Parses "a.b.c.d/n". Returns std::nullopt and sets `reason` if the text is
/// malformed or a host bit is set. Thread-safe.
[[nodiscard]] std::optional<Ipv4Network> ParseIpv4Network(std::string_view text,
                                                          Reason& reason);

/// Parses "a.b.c.d" into host byte order. Returns std::nullopt and sets
/// `reason` if the text is malformed. Octets with leading zeros are rejected.
/// Thread-safe.
[[nodiscard]] std::optional<uint32_t> ParseIpv4(std::string_view text,
                                                Reason& reason);

}  // namespace applestand

#endif  // LIB_CONFIG_CHANGE_H_
