#ifndef LIB_CONFIG_MODEL_H_
#define LIB_CONFIG_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"

namespace applestand {

/// What a client account has purchased. All limits of the account are derived
/// from its contract.
struct Contract {
  double requests_per_second = 0;
  /// Largest number of requests accepted at once after an idle period.
  double burst = 0;
  /// Weight of the account in weighted fair queueing for a contended target,
  /// relative to other client accounts.
  double weight = 1;
};

struct ClientAccount {
  ClientAccountId id;
  Contract contract;
};

/// An API key of a client account. Only a hash of the secret is stored.
struct Key {
  KeyId id;
  ClientAccountId account;
  /// Lower-case hexadecimal SHA-256 of the secret.
  std::string secret_sha256;
};

/// Maps requests whose path starts with `path_prefix` to a service. If several
/// routes match, the one with the longest prefix applies.
struct Route {
  RouteId id;
  std::string path_prefix;
  ServiceId service;
  /// Requests need no key.
  bool open = false;
  /// Requests are idempotent: executing one more than once is harmless.
  bool repeatable = false;
  /// The client accounts that may use the route; if empty, all of them may.
  std::vector<ClientAccountId> accounts;
  Duration timeout = std::chrono::seconds(10);
};

/// A back end that processes requests of a service.
struct Target {
  TargetId id;
  ServiceId service;
  RegionId region;
  ZoneId zone;
  /// "IP:port".
  std::string address;
  /// Number of requests that it processes concurrently.
  uint32_t slots = 1;
  /// The target is draining: it receives no new requests.
  bool leaving = false;
};

/// A planned shift of a service's traffic from one region to another.
struct Move {
  MoveId id;
  ServiceId service;
  RegionId from;
  RegionId to;
  /// Largest fraction of the traffic that one step shifts, in thousandths.
  uint32_t step_permille = 100;
  Duration step_interval = std::chrono::seconds(30);
  /// Fraction of the traffic to be shifted once the move is complete, in
  /// thousandths.
  uint32_t goal_permille = 1000;
  /// Fraction of the traffic that is currently shifted, in thousandths.
  uint32_t current_permille = 0;
  bool paused = false;
};

/// A network of client addresses and the regions that serve it, in descending
/// order of preference.
struct ClientBlock {
  /// IPv4 network in CIDR form, for example "10.1.0.0/16".
  std::string network;
  std::vector<RegionId> regions;
};

/// The operators' complete configuration at one version.
struct ConfigState {
  ConfigVersion version;
  std::map<ClientAccountId, ClientAccount> accounts;
  std::map<KeyId, Key> keys;
  std::map<RouteId, Route> routes;
  std::map<TargetId, Target> targets;
  std::map<MoveId, Move> moves;
  std::map<std::string, ClientBlock> blocks;
  /// Number of equal shares that each contract is split into; hosts hold leases
  /// on the shares. JSON texts name this field "seats".
  uint32_t contract_share_count = 12;
};

}  // namespace applestand

#endif  // LIB_CONFIG_MODEL_H_
