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

/// What a client account has bought. Every limit follows from it.
struct Contract {
  double requests_per_second = 0;
  /// Requests that may come at once after a pause.
  double burst = 0;
  /// Share of a contended target relative to other client accounts.
  double weight = 1;
};

struct ClientAccount {
  ClientAccountId id;
  Contract contract;
};

/// A caller's key. The secret itself is never stored.
struct Key {
  KeyId id;
  ClientAccountId account;
  /// Lower-case hexadecimal SHA-256 of the secret.
  std::string secret_sha256;
};

/// Requests whose path starts with `path_prefix`; the longest prefix wins.
struct Route {
  RouteId id;
  std::string path_prefix;
  ServiceId service;
  /// Served to anyone, without a key.
  bool open = false;
  /// May run more than once without harm.
  bool repeatable = false;
  /// The only client accounts it serves; empty: every client account.
  std::vector<ClientAccountId> accounts;
  Duration timeout = std::chrono::seconds(10);
};

/// One back end that serves requests of a service.
struct Target {
  TargetId id;
  ServiceId service;
  RegionId region;
  ZoneId zone;
  /// "IP:port".
  std::string address;
  /// Requests it runs at once.
  uint32_t slots = 1;
  /// Gets no new work.
  bool leaving = false;
};

/// A planned shift of a service's traffic from one region to another.
struct Move {
  MoveId id;
  ServiceId service;
  RegionId from;
  RegionId to;
  /// Largest part of the traffic that one step shifts, in 1/1000.
  uint32_t step_permille = 100;
  Duration step_interval = std::chrono::seconds(30);
  /// Part of the traffic that is to have moved at the end, in 1/1000.
  uint32_t goal_permille = 1000;
  /// Part of the traffic that is moved now, in 1/1000.
  uint32_t current_permille = 0;
  bool paused = false;
};

/// A block of client addresses and the regions to send it to, best first.
struct ClientBlock {
  /// IPv4 network in CIDR form, for example "10.1.0.0/16".
  std::string network;
  std::vector<RegionId> regions;
};

/// Everything operators decide, at one version.
struct ConfigState {
  ConfigVersion version;
  std::map<ClientAccountId, ClientAccount> accounts;
  std::map<KeyId, Key> keys;
  std::map<RouteId, Route> routes;
  std::map<TargetId, Target> targets;
  std::map<MoveId, Move> moves;
  std::map<std::string, ClientBlock> blocks;
  /// Number of equal shares that contracts are split into.
  uint32_t seats = 12;
};

}  // namespace applestand

#endif  // LIB_CONFIG_MODEL_H_
