#ifndef LIB_FLEET_MESSAGES_H_
#define LIB_FLEET_MESSAGES_H_

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "lib/codec/deflate.h"
#include "lib/fleet/table_mirror.h"

namespace applestand {

/// What a host says of itself.
struct HostInfo {
  HostId id;
  /// Distinguishes the runs of the host's process.
  Incarnation incarnation;
  RegionId region;
  ZoneId zone;
  /// Where callers connect, "IP:port".
  std::string front_address;
  /// Where other hosts connect, "IP:port".
  std::string control_address;
  /// Processor share, in cores; hosts with more of it serve the others first.
  double power = 0;
  /// Gets no new callers.
  bool leaving = false;
  /// The store turns the host away, so that it cannot read it for others.
  bool store_denied = false;

  MSGPACK_DEFINE(id,
                 incarnation,
                 region,
                 zone,
                 front_address,
                 control_address,
                 power,
                 leaving,
                 store_denied)
};

/// A host that asked the sender of a request.
struct SeenHost {
  HostInfo host;
  /// Time since it asked.
  Duration age{};

  MSGPACK_DEFINE(host, age)
};

/// A host asks another one for what it lacks. The answer is held back until
/// there is news, for up to `wait`.
struct PullRequest {
  HostInfo from;
  std::array<StoreVersion, kStoreTables> have;
  /// Names the list of live hosts that the asker holds; empty: none.
  std::string live_tag;
  Duration wait{};
  /// Hosts that lately asked the asker.
  std::vector<SeenHost> seen;

  MSGPACK_DEFINE(from, have, live_tag, wait, seen)
};

/// What an asker lacks. The same for all askers that hold the same.
struct FleetNews {
  std::array<TableUpdate, kStoreTables> tables;
  /// Present where the asker's `live_tag` is another one.
  std::optional<std::vector<HostInfo>> live;

  MSGPACK_DEFINE(tables, live)
};

struct PullReply {
  /// The replier's copy of a table.
  struct Copy {
    bool known = false;
    StoreVersion version;
    /// Age when the request came; negative where the copy was renewed while
    /// the request waited.
    Duration age{};

    MSGPACK_DEFINE(known, version, age)
  };

  HostInfo from;
  std::array<Copy, kStoreTables> copies;
  std::string live_tag;
  /// Hosts over which limits are divided; 0: not known.
  uint32_t counted = 0;
  /// Time since every host that divides limits knew of the replier; nothing
  /// where that is not known.
  std::optional<Duration> known_age;
  /// The latest run of the asker that the replier knows of. A host whose clock
  /// was set back between two runs has to call its run a later one.
  Incarnation asker_run;
  /// An encoded FleetNews, or nothing where the asker lacks nothing.
  Deflated news;

  MSGPACK_DEFINE(from, copies, live_tag, counted, known_age, asker_run, news)
};

Deflated Pack(const FleetNews& news);
/// Nothing, with the reason, where `packed` is malformed.
[[nodiscard]] std::optional<FleetNews> Unpack(const Deflated& packed,
                                              Reason& reason);

}  // namespace applestand

#endif  // LIB_FLEET_MESSAGES_H_
