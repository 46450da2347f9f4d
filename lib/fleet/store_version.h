#ifndef LIB_FLEET_STORE_VERSION_H_
#define LIB_FLEET_STORE_VERSION_H_

#include <cstdint>
#include <ostream>

#include "lib/base/ids.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Number of times that the metadata store has come back from an older copy of
/// itself. It then gives out again the numbers of the versions that it lost.
using StoreEra = Counter<struct StoreEraTag>;

/// Position in the metadata store's history. A version of a later era follows
/// all versions of earlier ones, whatever their numbers. The default precedes
/// every write. Thread-compatible value type.
class StoreVersion {
 public:
  constexpr StoreVersion() = default;
  constexpr explicit StoreVersion(uint64_t number, StoreEra era = StoreEra())
      : m_era(era), m_number(number) {}

  constexpr StoreEra era() const { return m_era; }
  /// The number that the store gave out within the era.
  constexpr uint64_t number() const { return m_number; }

  friend bool operator==(StoreVersion a, StoreVersion b) {
    return a.m_era == b.m_era && a.m_number == b.m_number;
  }
  friend bool operator!=(StoreVersion a, StoreVersion b) { return !(a == b); }
  friend bool operator<(StoreVersion a, StoreVersion b) {
    return a.m_era != b.m_era ? a.m_era < b.m_era : a.m_number < b.m_number;
  }
  friend bool operator>(StoreVersion a, StoreVersion b) { return b < a; }
  friend bool operator<=(StoreVersion a, StoreVersion b) { return !(b < a); }
  friend bool operator>=(StoreVersion a, StoreVersion b) { return !(a < b); }
  friend std::ostream& operator<<(std::ostream& os, StoreVersion version) {
    if (version.m_era != StoreEra()) {
      os << version.m_era << ":";
    }
    return os << version.m_number;
  }

  // Serialized as one integer, as by hosts that know no eras: the era in the
  // upper 16 bits, the number in the lower 48.
  template <class Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack((m_era.value() << kEraShift) | m_number);
  }
  void msgpack_unpack(const msgpack::object& in) {
    const auto packed = in.as<uint64_t>();
    m_era = StoreEra(packed >> kEraShift);
    m_number = packed & ((uint64_t{1} << kEraShift) - 1);
  }

 private:
  static constexpr uint32_t kEraShift = 48;

  StoreEra m_era;
  uint64_t m_number = 0;
};

}  // namespace applestand

#endif  // LIB_FLEET_STORE_VERSION_H_
