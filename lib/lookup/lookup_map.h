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

/// Answer to "which entry host?".
struct LookupAnswer {
  /// Best first; empty where no host is live.
  std::vector<EntryHost> hosts;
  /// How long the caller may use the answer.
  Duration life{};
};

/// Maps callers to entry hosts. Immutable: the owner builds a new one when the
/// blocks, the keys or the live hosts change, reusing the parts that did not,
/// and swaps it in through a shared_ptr. Any thread may call Find.
class LookupMap {
 public:
  struct Options {
    /// Hosts of the nearest region in an answer.
    size_t near_hosts = 2;
    /// Hosts of further regions in an answer, one a region.
    size_t far_hosts = 2;
    Duration life = std::chrono::seconds(10);
  };

  /// Client account of each key, for hashing.
  using KeyAccounts = std::unordered_map<KeyId, ClientAccountId>;
  static KeyAccounts KeyAccountsOf(const ConfigState& state);

  LookupMap(Options options,
            std::shared_ptr<const BlockTable> blocks,
            std::shared_ptr<const KeyAccounts> keys,
            const std::vector<EntryHost>& hosts);

  /// Hosts for a caller at `client` (IPv4, host byte order). An account's
  /// callers get the same few hosts of a region; callers without a known key
  /// are spread by address.
  [[nodiscard]] LookupAnswer Find(uint32_t client,
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

  /// Adds regions that no list names, in an order that differs by caller, until
  /// the answer has its regions.
  template <class AddRegion>
  void AddOtherRegions(uint32_t client,
                       size_t most_regions,
                       const AddRegion& add_region,
                       const std::vector<uint32_t>& used) const;
  void AddHosts(const Region& region,
                uint64_t caller,
                size_t count,
                std::vector<EntryHost>& out) const;

  Options m_options;
  std::shared_ptr<const BlockTable> m_blocks;
  std::shared_ptr<const KeyAccounts> m_keys;
  /// Regions with live hosts only.
  std::vector<Region> m_regions;
  /// From indices of BlockTable::regions() to m_regions; absent: kNoRegion.
  std::vector<uint32_t> m_region_of_index;
};

}  // namespace applestand

#endif  // LIB_LOOKUP_LOOKUP_MAP_H_
