#ifndef LIB_LOOKUP_BLOCK_TABLE_H_
#define LIB_LOOKUP_BLOCK_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lib/config/model.h"

namespace applestand {

/// Longest-prefix match of IPv4 addresses over client blocks, flattened into
/// sorted disjoint ranges. Immutable, so any thread may read it.
class BlockTable {
 public:
  /// Precondition: every network in `blocks` was validated; others are left
  /// out.
  explicit BlockTable(const std::map<std::string, ClientBlock>& blocks);

  /// The regions of the block that holds `address`, best first, as indices
  /// into regions(); empty where no block holds it.
  struct RegionList {
    const uint32_t* first = nullptr;
    size_t count = 0;
  };
  RegionList Find(uint32_t address) const;

  const std::vector<RegionId>& regions() const { return m_regions; }
  /// Heap bytes held.
  size_t bytes() const;

 private:
  class Builder;

  /// Start of each range; a range ends where the next one starts.
  std::vector<uint32_t> m_starts;
  /// Per range, the index of its region list; 0 is the empty list.
  std::vector<uint32_t> m_lists;
  /// Per list, where it starts in m_items; one more entry ends the last.
  std::vector<uint32_t> m_offsets;
  std::vector<uint32_t> m_items;
  std::vector<RegionId> m_regions;
};

}  // namespace applestand

#endif  // LIB_LOOKUP_BLOCK_TABLE_H_
