#ifndef LIB_CONFIG_MESSAGES_H_
#define LIB_CONFIG_MESSAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/codec/codec.h"
#include "lib/config/change.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  // A change travels in the form that the log holds.
  template <>
  struct pack<applestand::Change> {
    template <class Stream>
    packer<Stream>& operator()(packer<Stream>& out,
                               const applestand::Change& change) const {
      return out.pack(applestand::ToJson(change));
    }
  };
  template <>
  struct convert<applestand::Change> {
    const msgpack::object& operator()(const msgpack::object& in,
                                      applestand::Change& change) const {
      applestand::Reason reason;
      auto parsed = applestand::ParseChange(in.as<std::string>(), reason);
      if (!parsed) {
        throw msgpack::type_error();
      }
      change = std::move(*parsed);
      return in;
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

namespace applestand {

/// Proof of how new a configuration is: every change that was accepted more
/// than `age` ago has at most this version. Only an answer may carry it, since
/// its receiver counts `age` from the time before it asked.
struct HeadEvidence {
  ConfigVersion version;
  Duration age{};
  MSGPACK_DEFINE(version, age)
};

/// Sends new changes to a peer, which applies and relays them.
struct ConfigPush {
  std::vector<Change> changes;
  /// Newest version the sender has applied.
  ConfigVersion head_version;
  MSGPACK_DEFINE(changes, head_version)
};

/// Answers a ConfigPush: what the receiver has now applied. The sender hands
/// it to ConfirmationTracker, and sends a ConfigFetchReply's worth where it is
/// behind.
struct ConfigPushReply {
  HostId host;
  ConfigVersion applied;
  MSGPACK_DEFINE(host, applied)
};

/// Asks for everything after `have_version`; peers and the local entry and
/// look-up processes send it.
struct ConfigFetch {
  ConfigVersion have_version;
  MSGPACK_DEFINE(have_version)
};

/// Answers a ConfigFetch: a snapshot or nothing, then the changes after it.
struct ConfigFetchReply {
  std::optional<std::string> snapshot;
  std::vector<Change> changes;
  /// From Freshness::Evidence; absent where the sender has none.
  std::optional<HeadEvidence> evidence;
  MSGPACK_DEFINE(snapshot, changes, evidence)
};

}  // namespace applestand

#endif  // LIB_CONFIG_MESSAGES_H_
