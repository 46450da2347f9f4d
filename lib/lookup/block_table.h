#ifndef LIB_LOOKUP_BLOCK_TABLE_H_
#define LIB_LOOKUP_BLOCK_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lib/config/model.h"

namespace applestand {

/// Longest-prefix match of IPv4 addresses against client blocks (networks with
/// their nearest regions), flattened into sorted disjoint ranges. Immutable and
/// therefore thread-safe.
class BlockTable {
 public:
  /// Precondition: every network in `blocks` was validated. Networks that fail
  /// to parse are ignored.
  explicit BlockTable(const std::map<std::string, ClientBlock>& blocks);

  /// The regions of a block as indices into regions(), in order of preference.
  /// Points into the table.
  struct RegionList {
    const uint32_t* first = nullptr;
    size_t count = 0;
  };

  /// Returns the regions of the smallest block that contains `address` (host
  /// byte order), or an empty list if no block contains it.
  RegionList Find(uint32_t address) const;

  const std::vector<RegionId>& regions() const { return m_regions; }

  /// Returns the size of the table's heap allocations in bytes.
  size_t heap_bytes() const;

 private:
  class Builder;

  /// First address of each range. A range ends where the next one starts.
  std::vector<uint32_t> m_starts;
  /// For each range, the index of its region list. List 0 is empty.
  std::vector<uint32_t> m_range_lists;
  /// For each list, its start in m_list_items, followed by the end of the last
  /// list.
  std::vector<uint32_t> m_list_offsets;
  /// The concatenated region lists, as indices into m_regions.
  std::vector<uint32_t> m_list_items;
  std::vector<RegionId> m_regions;
};

}  // namespace applestand

#endif  // LIB_LOOKUP_BLOCK_TABLE_H_
