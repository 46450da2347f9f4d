#ifndef LIB_HTTP_BYTE_BUDGET_H_
#define LIB_HTTP_BYTE_BUDGET_H_

#include <algorithm>
#include <atomic>
#include <cassert>
#include <cstddef>
#include <utility>

namespace applestand {

/// Limits the number of bytes that are reserved at the same time. Thread-safe.
class ByteBudget {
 public:
  explicit ByteBudget(size_t limit) : m_limit(limit) {}

  /// Reserves `bytes` and returns true, or returns false if that would leave
  /// less than `spare` bytes.
  [[nodiscard]] bool TryReserve(size_t bytes, size_t spare = 0) {
    const size_t usable = m_limit - std::min(spare, m_limit);
    size_t held = m_held.load();
    do {
      if (held > usable || bytes > usable - held) {
        return false;
      }
    } while (!m_held.compare_exchange_weak(held, held + bytes));
    return true;
  }

  /// Precondition: at least `bytes` bytes are reserved.
  void Release(size_t bytes) {
    const size_t held = m_held.fetch_sub(bytes);
    assert(held >= bytes && "released more bytes than were reserved");
    static_cast<void>(held);
  }

  size_t held() const { return m_held; }
  size_t limit() const { return m_limit; }

 private:
  const size_t m_limit;
  std::atomic<size_t> m_held{0};
};

/// Bytes reserved in a budget, released on destruction. The budget must outlive
/// this object. Not thread-safe.
class ByteReservation {
 public:
  explicit ByteReservation(ByteBudget& budget) : m_budget(&budget) {}
  ByteReservation(ByteReservation&& other) noexcept
      : m_budget(other.m_budget), m_bytes(std::exchange(other.m_bytes, 0)) {}
  ByteReservation& operator=(ByteReservation&& other) noexcept {
    std::swap(m_budget, other.m_budget);
    std::swap(m_bytes, other.m_bytes);
    return *this;
  }
  ~ByteReservation() { m_budget->Release(m_bytes); }

  /// Changes the reservation to `bytes` and returns true, or returns false if
  /// that does not fit; then nothing changes.
  [[nodiscard]] bool TryResize(size_t bytes) {
    if (bytes > m_bytes) {
      return TryGrow(bytes - m_bytes);
    }
    m_budget->Release(m_bytes - bytes);
    m_bytes = bytes;
    return true;
  }

  /// Reserves `bytes` more and returns true, or returns false if that would
  /// leave less than `spare` bytes in the budget.
  [[nodiscard]] bool TryGrow(size_t bytes, size_t spare = 0) {
    if (!m_budget->TryReserve(bytes, spare)) {
      return false;
    }
    m_bytes += bytes;
    return true;
  }

  size_t bytes() const { return m_bytes; }

 private:
  ByteBudget* m_budget;
  size_t m_bytes = 0;
};

}  // namespace applestand

#endif  // LIB_HTTP_BYTE_BUDGET_H_
