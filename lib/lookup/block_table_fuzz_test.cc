#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "lib/config/change.h"
#include "lib/lookup/block_table.h"
#include "tests/support/property.h"

namespace applestand {

namespace {

// Returns an address with few distinct high and low bits, so that the generated
// networks are often nested or adjacent.
uint32_t MakeAddress(uint32_t number) {
  const uint32_t high = (number % 3) * 0x7fffffff;
  return high + ((number >> 2) % 64) * (1U << ((number >> 8) % 27));
}

std::string FormatNetwork(uint32_t address, uint32_t length) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((address >> shift) & 255) + (shift > 0 ? "." : "/");
  }
  return text + std::to_string(length);
}

// Returns the block with the longest matching prefix by a linear search, or
// nullptr if no block contains `address`.
const ClientBlock* FindLongestMatch(
    const std::map<std::string, ClientBlock>& blocks,
    uint32_t address) {
  const ClientBlock* best = nullptr;
  uint32_t best_length = 0;
  Reason reason;
  for (const auto& [text, block] : blocks) {
    const auto network = *ParseIpv4Network(text, reason);
    const uint64_t size = uint64_t{1} << (32 - network.prefix_length);
    const bool contains =
        address >= network.address && address - network.address < size;
    if (contains && (best == nullptr || network.prefix_length >= best_length)) {
      best = &block;
      best_length = network.prefix_length;
    }
  }
  return best;
}

}  // namespace

TEST_CASE("a block table lookup agrees with a linear search of all blocks") {
  CheckScripts(5, 600, 80, [](const Script& script) {
    std::map<std::string, ClientBlock> blocks;
    std::vector<uint32_t> probes = {0, UINT32_MAX};
    for (const uint32_t number : script) {
      const uint32_t length = (number >> 16) % 33;
      const uint64_t size = uint64_t{1} << (32 - length);
      const auto start =
          static_cast<uint32_t>(MakeAddress(number) / size * size);
      const std::string text = FormatNetwork(start, length);
      blocks[text] = {text, {RegionId("r" + std::to_string(number % 5))}};
      const auto end = static_cast<uint32_t>(start + size);
      probes.insert(probes.end(), {start, start - 1, end, end - 1});
    }
    const BlockTable table(blocks);
    for (const uint32_t address : probes) {
      const ClientBlock* expected = FindLongestMatch(blocks, address);
      const auto found = table.Find(address);
      RC_ASSERT(found.count == (expected == nullptr ? 0U : 1U));
      if (expected != nullptr) {
        RC_ASSERT(table.regions()[*found.first] == expected->regions[0]);
      }
    }
  });
}

}  // namespace applestand
