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

/// Adds or replaces one item. The item's id says which.
template <class Item>
struct Put {
  Item item;
};

/// Removes the item called `id`. `Item` says which kind.
template <class Item>
struct Remove {
  std::string id;
};

/// Sets the number of equal shares that contracts are split into.
struct SetSeats {
  uint32_t seats = 0;
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
                               SetSeats>;

/// One step of the configuration log.
struct Change {
  /// Idempotency key, chosen by the operator's tool.
  ChangeId id;
  /// The operator who asked for it, for the record.
  std::string author;
  /// Its position in the log; 0 until the log has given it one.
  ConfigVersion version;
  Operation operation;
};

/// The JSON form for log rows and the operator API:
///   {"id": "c1", "author": "ana", "version": 7,
///    "operation": "put-key", "item": {"id": "k1", ...}}
/// Removals carry {"id": ...} as their item, "set-seats" {"seats": N}.
/// Durations are in milliseconds. Thread-safe.
std::string ToJson(const Change& change);

/// Parses the JSON form. Unknown fields, missing fields and wrong types are
/// refused with the field's name and what it may hold. Thread-safe.
[[nodiscard]] std::optional<Change> ParseChange(std::string_view json,
                                                Reason& reason);

/// The whole state as readable JSON, for operators. Thread-safe.
std::string ToJson(const ConfigState& state);

/// Whether `change` may follow `state`, apart from its version. Where not,
/// `reason` names the field and what is allowed. Thread-safe.
[[nodiscard]] bool Validate(const Change& change,
                            const ConfigState& state,
                            Reason& reason);

/// Applies a change. Precondition: its version follows the state's.
/// Not thread-safe on one `state`.
void ApplyChange(const Change& change, ConfigState& state);

/// A parsed IPv4 network; addresses are in host byte order.
struct Ipv4Network {
  uint32_t address = 0;
  uint32_t prefix_length = 0;
};

/// Parses "a.b.c.d/n" without host bits. Thread-safe.
[[nodiscard]] std::optional<Ipv4Network> ParseIpv4Network(std::string_view text,
                                                          Reason& reason);

/// Parses "a.b.c.d" into host byte order. Thread-safe.
[[nodiscard]] std::optional<uint32_t> ParseIpv4(std::string_view text,
                                                Reason& reason);

}  // namespace applestand

#endif  // LIB_CONFIG_CHANGE_H_
