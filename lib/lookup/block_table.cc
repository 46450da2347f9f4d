#include "lib/lookup/block_table.h"

#include <algorithm>
#include <unordered_map>

#include "lib/config/change.h"

namespace applestand {

namespace {

constexpr uint64_t kAddressEnd = uint64_t{1} << 32;
// Index of the region list for addresses that no block contains.
constexpr uint32_t kEmptyListIndex = 0;

struct Range {
  uint64_t start = 0;
  uint64_t end = 0;
  uint32_t list = 0;
};

bool OuterNetworkFirst(const Range& a, const Range& b) {
  return a.start != b.start ? a.start < b.start : a.end > b.end;
}

struct ListHash {
  size_t operator()(const std::vector<uint32_t>& list) const {
    size_t hash = list.size();
    for (const uint32_t item : list) {
      hash = hash * 0x9e3779b97f4a7c15 + item;
    }
    return hash;
  }
};

template <class T>
size_t HeapBytesOf(const std::vector<T>& items) {
  return items.capacity() * sizeof(T);
}

}  // namespace

// Fills a BlockTable. Stores each distinct region list once and refers to it by
// its index.
class BlockTable::Builder {
 public:
  explicit Builder(BlockTable& table) : m_table(table) {
    m_table.m_list_offsets.push_back(0);
    InternList({});
  }

  uint32_t InternRegions(const std::vector<RegionId>& regions) {
    m_list_buffer.clear();
    for (const RegionId& region : regions) {
      const auto [it, is_new] = m_region_indices.try_emplace(
          region, static_cast<uint32_t>(m_table.m_regions.size()));
      if (is_new) {
        m_table.m_regions.push_back(region);
      }
      m_list_buffer.push_back(it->second);
    }
    return InternList(m_list_buffer);
  }

  // Appends a range that starts at `start`. Must be called with ascending
  // starts; a range with the same start as the previous one replaces it.
  void AddRange(uint64_t start, uint32_t list) {
    if (start == kAddressEnd) {
      return;
    }
    auto& starts = m_table.m_starts;
    auto& lists = m_table.m_range_lists;
    if (!starts.empty() && starts.back() == start) {
      lists.back() = list;
      return;
    }
    if (!lists.empty() && lists.back() == list) {
      return;
    }
    starts.push_back(static_cast<uint32_t>(start));
    lists.push_back(list);
  }

 private:
  uint32_t InternList(const std::vector<uint32_t>& list) {
    const auto [it, is_new] = m_list_indices.try_emplace(
        list, static_cast<uint32_t>(m_list_indices.size()));
    if (is_new) {
      auto& items = m_table.m_list_items;
      items.insert(items.end(), list.begin(), list.end());
      m_table.m_list_offsets.push_back(static_cast<uint32_t>(items.size()));
    }
    return it->second;
  }

  BlockTable& m_table;
  std::unordered_map<RegionId, uint32_t> m_region_indices;
  std::unordered_map<std::vector<uint32_t>, uint32_t, ListHash> m_list_indices;
  std::vector<uint32_t> m_list_buffer;
};

BlockTable::BlockTable(const std::map<std::string, ClientBlock>& blocks) {
  Builder builder(*this);
  std::vector<Range> ranges;
  ranges.reserve(blocks.size());
  for (const auto& [text, block] : blocks) {
    Reason reason;
    if (const auto network = ParseIpv4Network(text, reason)) {
      const uint64_t size = uint64_t{1} << (32 - network->prefix_length);
      ranges.push_back({network->address, network->address + size,
                        builder.InternRegions(block.regions)});
    }
  }
  std::sort(ranges.begin(), ranges.end(), OuterNetworkFirst);

  m_starts.reserve(2 * ranges.size() + 1);
  m_range_lists.reserve(2 * ranges.size() + 1);
  builder.AddRange(0, kEmptyListIndex);
  // Blocks that contain the current address, innermost last. Two networks are
  // either disjoint or one contains the other, so a stack is sufficient.
  std::vector<Range> enclosing;
  const auto close_ranges_until = [&](uint64_t address) {
    while (!enclosing.empty() && enclosing.back().end <= address) {
      const uint64_t end = enclosing.back().end;
      enclosing.pop_back();
      builder.AddRange(
          end, enclosing.empty() ? kEmptyListIndex : enclosing.back().list);
    }
  };
  for (const Range& range : ranges) {
    close_ranges_until(range.start);
    builder.AddRange(range.start, range.list);
    enclosing.push_back(range);
  }
  close_ranges_until(kAddressEnd);
  m_starts.shrink_to_fit();
  m_range_lists.shrink_to_fit();
  m_list_items.shrink_to_fit();
  m_list_offsets.shrink_to_fit();
}

BlockTable::RegionList BlockTable::Find(uint32_t address) const {
  const auto after =
      std::upper_bound(m_starts.begin(), m_starts.end(), address);
  const auto range = static_cast<size_t>(after - m_starts.begin()) - 1;
  const uint32_t list = m_range_lists[range];
  const uint32_t first = m_list_offsets[list];
  return {m_list_items.data() + first, m_list_offsets[list + 1] - first};
}

size_t BlockTable::heap_bytes() const {
  size_t bytes = HeapBytesOf(m_starts) + HeapBytesOf(m_range_lists) +
                 HeapBytesOf(m_list_offsets) + HeapBytesOf(m_list_items) +
                 HeapBytesOf(m_regions);
  for (const RegionId& region : m_regions) {
    const bool is_on_heap =
        region.value().capacity() > std::string().capacity();
    bytes += is_on_heap ? region.value().capacity() + 1 : 0;
  }
  return bytes;
}

}  // namespace applestand
