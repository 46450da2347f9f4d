#ifndef LIB_LIMITS_PEER_SPARE_H_
#define LIB_LIMITS_PEER_SPARE_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "lib/base/clock.h"

namespace applestand {

/// What one peer could probably lend of one account, by its last reply.
/// Not thread-safe.
class PeerSpare {
 public:
  /// A loan request was sent. Precondition: none is outstanding.
  void OnRequest(double amount, double expected, uint64_t request_id) {
    m_request_id = request_id;
    m_expected = std::min(amount, expected);
  }

  /// The peer replied to `request_id`, perhaps after its time-out.
  void OnReply(uint64_t request_id,
               double spare,
               double spare_rate,
               TimePoint now) {
    OnTimeout(request_id);
    m_spare = spare;
    m_spare_rate = spare_rate;
    m_known_at = now;
  }

  /// `request_id` is not expected to be answered any more.
  void OnTimeout(uint64_t request_id) {
    if (request_id == m_request_id) {
      m_request_id = 0;
      m_expected = 0;
    }
  }

  bool outstanding() const { return m_request_id != 0; }
  /// Tokens that the outstanding request will probably bring.
  double expected() const { return m_expected; }

  /// Tokens the peer probably could lend now. `seat_capacity` is assumed of a
  /// peer about which nothing is known.
  double Estimate(TimePoint now, double seat_capacity) const {
    if (!m_known_at || now - *m_known_at > kForgetAfter) {
      return seat_capacity;
    }
    const double grown = m_spare + m_spare_rate * ToSeconds(now - *m_known_at);
    return std::min(grown, std::max(m_spare, seat_capacity));
  }

 private:
  static constexpr Duration kForgetAfter = std::chrono::seconds(1);

  uint64_t m_request_id = 0;
  double m_expected = 0;
  double m_spare = 0;
  double m_spare_rate = 0;
  std::optional<TimePoint> m_known_at;
};

}  // namespace applestand

#endif  // LIB_LIMITS_PEER_SPARE_H_
