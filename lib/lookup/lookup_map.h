#ifndef LIB_LOOKUP_LOOKUP_MAP_H_
#define LIB_LOOKUP_LOOKUP_MAP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/config/model.h"
#include "lib/lookup/block_table.h"
#include "lib/lookup/messages.h"

namespace applestand {

/// The entry hosts that a caller should send its requests to.
struct LookupResult {
  /// In order of preference. Empty if no host is live.
  std::vector<EntryHost> hosts;
  /// How long the caller may use the result.
  Duration ttl{};
};

/// Maps callers to entry hosts by their IPv4 address and their key. Immutable
/// and therefore thread-safe. When the client blocks, the keys or the live
/// hosts change, the owner builds a new map, which may share the unchanged
/// parts, and replaces the old one through a shared_ptr.
class LookupMap {
 public:
  struct Options {
    /// Maximum number of hosts from the nearest region in a result.
    size_t nearest_region_hosts = 2;
    /// Maximum number of hosts from other regions in a result, one per region.
    size_t other_region_hosts = 2;
    Duration ttl = std::chrono::seconds(10);
  };

  /// The client account of each key. Callers are hashed by account.
  using KeyAccounts = std::unordered_map<KeyId, ClientAccountId>;
  static KeyAccounts MakeKeyAccounts(const ConfigState& state);

  LookupMap(Options options,
            std::shared_ptr<const BlockTable> blocks,
            std::shared_ptr<const KeyAccounts> keys,
            const std::vector<EntryHost>& hosts);

  /// Returns the hosts for a caller with the IPv4 address `client` (host byte
  /// order). Hosts are chosen by rendezvous hashing: all callers of an account
  /// get the same few hosts of a region; callers without a known key are
  /// distributed by address.
  [[nodiscard]] LookupResult Find(uint32_t client,
                                  const std::optional<KeyId>& key) const;

  const std::shared_ptr<const BlockTable>& blocks() const { return m_blocks; }
  const std::shared_ptr<const KeyAccounts>& keys() const { return m_keys; }

 private:
  struct Candidate {
    EntryHost host;
    uint64_t hash = 0;
  };
  struct Region {
    uint64_t hash = 0;
    std::vector<Candidate> hosts;
  };

  /// Adds regions that are not in the caller's block, in an order that depends
  /// on the caller, until the result has hosts from min(`max_regions`, regions
  /// with live hosts) regions. `add_region` must append each new region to
  /// `used`.
  template <class AddRegion>
  void AddOtherRegions(uint32_t client,
                       size_t max_regions,
                       const AddRegion& add_region,
                       const std::vector<uint32_t>& used) const;
  /// Appends the `count` highest-ranked hosts of `region` for the caller.
  void AddHosts(const Region& region,
                uint64_t caller_hash,
                size_t count,
                std::vector<EntryHost>& out) const;

  Options m_options;
  std::shared_ptr<const BlockTable> m_blocks;
  std::shared_ptr<const KeyAccounts> m_keys;
  /// The regions that have live hosts.
  std::vector<Region> m_regions;
  /// Maps indices of BlockTable::regions() to indices of m_regions, or to
  /// kNoRegion if the region has no live host.
  std::vector<uint32_t> m_region_indices;
};

}  // namespace applestand

#endif  // LIB_LOOKUP_LOOKUP_MAP_H_
