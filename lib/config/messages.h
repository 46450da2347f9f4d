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

  // A change is transmitted as a string in the JSON form of the log's rows.
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

/// Evidence of how recent a configuration version is: every change accepted
/// more than `age` ago has at most this version. It may be sent only in a
/// reply, because the receiver counts `age` back from the time before it sent
/// the request and so never underestimates it.
struct HeadEvidence {
  ConfigVersion version;
  Duration age{};
  MSGPACK_DEFINE(version, age)
};

/// Sends new changes to a peer, which applies them. Other hosts and processes
/// can then fetch them from that peer.
struct ConfigPush {
  std::vector<Change> changes;
  /// Newest version that the sender has applied.
  ConfigVersion head_version;
  MSGPACK_DEFINE(changes, head_version)
};

/// Reply to a ConfigPush. The sender of the push passes it to
/// ConfirmationTracker.
struct ConfigPushReply {
  HostId host;
  /// Newest version that the receiver has applied after the push.
  ConfigVersion applied;
  MSGPACK_DEFINE(host, applied)
};

/// Requests all changes after `have_version`. Sent by peers and by the entry
/// and lookup processes of the same host.
struct ConfigFetch {
  ConfigVersion have_version;
  MSGPACK_DEFINE(have_version)
};

/// Reply to a ConfigFetch. The receiver installs the snapshot, if present, and
/// then applies the changes.
struct ConfigFetchReply {
  std::optional<std::string> snapshot;
  std::vector<Change> changes;
  /// Result of Freshness::Evidence on the sender; std::nullopt if it has none.
  std::optional<HeadEvidence> evidence;
  MSGPACK_DEFINE(snapshot, changes, evidence)
};

}  // namespace applestand

#endif  // LIB_CONFIG_MESSAGES_H_
