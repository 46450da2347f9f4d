#include "lib/lookup/block_table.h"

#include <algorithm>
#include <unordered_map>

#include "lib/config/change.h"

namespace applestand {

namespace {

constexpr uint64_t kAddressEnd = uint64_t{1} << 32;
// The list of addresses outside of every block.
constexpr uint32_t kEmptyList = 0;

struct Range {
  uint64_t start = 0;
  uint64_t end = 0;
  uint32_t list = 0;
};

bool OuterFirst(const Range& a, const Range& b) {
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
size_t BytesOf(const std::vector<T>& items) {
  return items.capacity() * sizeof(T);
}

}  // namespace

// Turns blocks into numbered region lists, each list kept once.
class BlockTable::Builder {
 public:
  explicit Builder(BlockTable& table) : m_table(table) {
    m_table.m_offsets.push_back(0);
    AddList({});
  }

  uint32_t ListOf(const std::vector<RegionId>& regions) {
    m_scratch.clear();
    for (const RegionId& region : regions) {
      const auto [it, is_new] = m_region_index.try_emplace(
          region, static_cast<uint32_t>(m_table.m_regions.size()));
      if (is_new) {
        m_table.m_regions.push_back(region);
      }
      m_scratch.push_back(it->second);
    }
    return AddList(m_scratch);
  }

  // Ranges come in rising order; an equal start replaces the one before.
  void AddRange(uint64_t start, uint32_t list) {
    if (start == kAddressEnd) {
      return;
    }
    auto& starts = m_table.m_starts;
    auto& lists = m_table.m_lists;
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
  uint32_t AddList(const std::vector<uint32_t>& list) {
    const auto [it, is_new] = m_list_index.try_emplace(
        list, static_cast<uint32_t>(m_list_index.size()));
    if (is_new) {
      auto& items = m_table.m_items;
      items.insert(items.end(), list.begin(), list.end());
      m_table.m_offsets.push_back(static_cast<uint32_t>(items.size()));
    }
    return it->second;
  }

  BlockTable& m_table;
  std::unordered_map<RegionId, uint32_t> m_region_index;
  std::unordered_map<std::vector<uint32_t>, uint32_t, ListHash> m_list_index;
  std::vector<uint32_t> m_scratch;
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
                        builder.ListOf(block.regions)});
    }
  }
  std::sort(ranges.begin(), ranges.end(), OuterFirst);

  m_starts.reserve(2 * ranges.size() + 1);
  m_lists.reserve(2 * ranges.size() + 1);
  builder.AddRange(0, kEmptyList);
  // Blocks that hold the current address, the innermost last. Networks nest
  // but never overlap in part.
  std::vector<Range> open;
  const auto close_until = [&](uint64_t address) {
    while (!open.empty() && open.back().end <= address) {
      const uint64_t end = open.back().end;
      open.pop_back();
      builder.AddRange(end, open.empty() ? kEmptyList : open.back().list);
    }
  };
  for (const Range& range : ranges) {
    close_until(range.start);
    builder.AddRange(range.start, range.list);
    open.push_back(range);
  }
  close_until(kAddressEnd);
  m_starts.shrink_to_fit();
  m_lists.shrink_to_fit();
  m_items.shrink_to_fit();
  m_offsets.shrink_to_fit();
}

BlockTable::RegionList BlockTable::Find(uint32_t address) const {
  const auto after =
      std::upper_bound(m_starts.begin(), m_starts.end(), address);
  const auto range = static_cast<size_t>(after - m_starts.begin()) - 1;
  const uint32_t list = m_lists[range];
  const uint32_t first = m_offsets[list];
  return {m_items.data() + first, m_offsets[list + 1] - first};
}

size_t BlockTable::bytes() const {
  size_t bytes = BytesOf(m_starts) + BytesOf(m_lists) + BytesOf(m_offsets) +
                 BytesOf(m_items) + BytesOf(m_regions);
  for (const RegionId& region : m_regions) {
    const bool is_on_heap =
        region.value().capacity() > std::string().capacity();
    bytes += is_on_heap ? region.value().capacity() + 1 : 0;
  }
  return bytes;
}

}  // namespace applestand
