#include "lib/lookup/block_table.h"

#include <algorithm>
#include <utility>

#include "lib/config/change.h"

namespace applestand {

namespace {

struct Network {
  uint32_t first = 0;
  uint32_t last = 0;
  uint32_t list = 0;
};

uint32_t LastOf(const Ipv4Network& network) {
  const uint32_t host_bits = network.prefix_length == 0
                                 ? UINT32_MAX
                                 : (1ULL << (32 - network.prefix_length)) - 1;
  return network.address | host_bits;
}

/// Walks networks that are nested or disjoint, in order of their start, and
/// emits where the innermost network changes.
class Flattener {
 public:
  Flattener(std::vector<uint32_t>& starts, std::vector<uint32_t>& lists)
      : m_starts(starts), m_lists(lists) {
    Emit(0, 0);
  }

  void Add(const Network& network) {
    CloseBefore(network.first);
    Emit(network.first, network.list);
    m_open.push_back(network);
  }

  void Finish() {
    while (!m_open.empty()) {
      CloseInnermost();
    }
  }

 private:
  void CloseBefore(uint32_t address) {
    while (!m_open.empty() && m_open.back().last < address) {
      CloseInnermost();
    }
  }

  void CloseInnermost() {
    const uint32_t last = m_open.back().last;
    m_open.pop_back();
    if (last != UINT32_MAX) {
      Emit(last + 1, m_open.empty() ? 0 : m_open.back().list);
    }
  }

  void Emit(uint32_t start, uint32_t list) {
    if (!m_starts.empty() && m_starts.back() == start) {
      m_lists.back() = list;
      return;
    }
    if (!m_lists.empty() && m_lists.back() == list) {
      return;
    }
    m_starts.push_back(start);
    m_lists.push_back(list);
  }

  std::vector<uint32_t>& m_starts;
  std::vector<uint32_t>& m_lists;
  std::vector<Network> m_open;
};

}  // namespace

BlockTable::BlockTable(const std::map<std::string, ClientBlock>& blocks) {
  std::map<RegionId, uint32_t> region_index;
  std::map<std::vector<uint32_t>, uint32_t> list_index;
  m_offsets = {0, 0};
  list_index[{}] = 0;
  std::vector<Network> networks;
  networks.reserve(blocks.size());
  for (const auto& [text, block] : blocks) {
    Reason reason;
    const auto network = ParseIpv4Network(text, reason);
    if (!network) {
      continue;
    }
    std::vector<uint32_t> list;
    for (const RegionId& region : block.regions) {
      const auto [it, added] =
          region_index.emplace(region, static_cast<uint32_t>(m_regions.size()));
      if (added) {
        m_regions.push_back(region);
      }
      list.push_back(it->second);
    }
    const auto [it, added] =
        list_index.emplace(list, static_cast<uint32_t>(m_offsets.size() - 1));
    if (added) {
      m_items.insert(m_items.end(), list.begin(), list.end());
      m_offsets.push_back(static_cast<uint32_t>(m_items.size()));
    }
    networks.push_back({network->address, LastOf(*network), it->second});
  }
  // An outer network comes before those inside it.
  std::sort(networks.begin(), networks.end(),
            [](const Network& a, const Network& b) {
              return a.first != b.first ? a.first < b.first : a.last > b.last;
            });
  Flattener flattener(m_starts, m_lists);
  for (const Network& network : networks) {
    flattener.Add(network);
  }
  flattener.Finish();
  m_starts.shrink_to_fit();
  m_lists.shrink_to_fit();
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
  size_t bytes = sizeof(uint32_t) * (m_starts.capacity() + m_lists.capacity() +
                                     m_offsets.capacity() + m_items.capacity());
  bytes += sizeof(RegionId) * m_regions.capacity();
  return bytes;
}

}  // namespace applestand
