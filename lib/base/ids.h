#ifndef LIB_BASE_IDS_H_
#define LIB_BASE_IDS_H_

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace applestand {

/// String identifier. Each Tag gives a distinct type, so that identifiers of
/// different kinds cannot be confused. Thread-compatible value type.
template <class Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend bool operator==(const Id& a, const Id& b) {
    return a.m_value == b.m_value;
  }
  friend bool operator!=(const Id& a, const Id& b) { return !(a == b); }
  friend bool operator<(const Id& a, const Id& b) {
    return a.m_value < b.m_value;
  }
  friend std::ostream& operator<<(std::ostream& os, const Id& id) {
    return os << id.m_value;
  }

 private:
  std::string m_value;
};

using HostId = Id<struct HostTag>;
using ZoneId = Id<struct ZoneTag>;
using RegionId = Id<struct RegionTag>;
using ClientAccountId = Id<struct ClientAccountTag>;
using KeyId = Id<struct KeyTag>;
using RouteId = Id<struct RouteTag>;
using ServiceId = Id<struct ServiceTag>;
using TargetId = Id<struct TargetTag>;
using MoveId = Id<struct MoveTag>;
using ChangeId = Id<struct ChangeTag>;

/// Unsigned counter or number. Each Tag gives a distinct type, so that counters
/// of different kinds cannot be confused. Thread-compatible value type.
template <class Tag>
class Counter {
 public:
  constexpr Counter() = default;
  constexpr explicit Counter(uint64_t value) : m_value(value) {}

  constexpr uint64_t value() const { return m_value; }
  constexpr Counter Next() const { return Counter(m_value + 1); }

  friend bool operator==(Counter a, Counter b) {
    return a.m_value == b.m_value;
  }
  friend bool operator!=(Counter a, Counter b) { return !(a == b); }
  friend bool operator<(Counter a, Counter b) { return a.m_value < b.m_value; }
  friend bool operator>(Counter a, Counter b) { return b < a; }
  friend bool operator<=(Counter a, Counter b) { return !(b < a); }
  friend bool operator>=(Counter a, Counter b) { return !(a < b); }
  friend std::ostream& operator<<(std::ostream& os, Counter c) {
    return os << c.m_value;
  }

 private:
  uint64_t m_value = 0;
};

/// Position in the configuration log; 0 means that no change has been applied.
using ConfigVersion = Counter<struct ConfigVersionTag>;
/// Version of one row in the table service; 0 means that the row does not
/// exist.
using RowVersion = Counter<struct RowVersionTag>;
/// Identifies one incarnation (one run) of a host's processes.
using Incarnation = Counter<struct IncarnationTag>;
/// Index of one of the equal shares that every contract is divided into.
using ShareIndex = Counter<struct ShareIndexTag>;

}  // namespace applestand

namespace std {
template <class Tag>
struct hash<applestand::Id<Tag>> {
  size_t operator()(const applestand::Id<Tag>& id) const {
    return hash<string>()(id.value());
  }
};
template <class Tag>
struct hash<applestand::Counter<Tag>> {
  size_t operator()(applestand::Counter<Tag> counter) const {
    return hash<uint64_t>()(counter.value());
  }
};
}  // namespace std

#endif  // LIB_BASE_IDS_H_
