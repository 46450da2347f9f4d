#ifndef LIB_LIMITS_PEER_SPARE_ESTIMATE_H_
#define LIB_LIMITS_PEER_SPARE_ESTIMATE_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "lib/base/clock.h"

namespace applestand {

/// Estimate of the tokens of one account that one peer can spare, based on the
/// peer's last reply to a loan request. Not thread-safe.
class PeerSpareEstimate {
 public:
  /// Called when a loan request for `amount` tokens was sent, of which
  /// `expected` are likely to be lent. Preconditions: no request is
  /// outstanding; `request_id` is not 0.
  void OnRequest(double amount, double expected, uint64_t request_id) {
    m_request_id = request_id;
    m_expected = std::min(amount, expected);
  }

  /// Called when the peer replied to `request_id`, possibly after its timeout.
  /// The peer can spare `spare` tokens now and `spare_rate` more per second.
  void OnReply(uint64_t request_id,
               double spare,
               double spare_rate,
               TimePoint now) {
    OnTimeout(request_id);
    m_spare = spare;
    m_spare_rate = spare_rate;
    m_updated_at = now;
  }

  /// Called when no reply to `request_id` is expected any more.
  void OnTimeout(uint64_t request_id) {
    if (request_id == m_request_id) {
      m_request_id = 0;
      m_expected = 0;
    }
  }

  bool outstanding() const { return m_request_id != 0; }
  /// Returns the tokens that the outstanding request is expected to yield.
  double expected() const { return m_expected; }

  /// Estimates the tokens that the peer can lend at `now`. If no recent reply
  /// is known, assumes `share_capacity`, the burst of one contract share.
  double Estimate(TimePoint now, double share_capacity) const {
    if (!m_updated_at || now - *m_updated_at > kMaxAge) {
      return share_capacity;
    }
    const double grown =
        m_spare + m_spare_rate * ToSeconds(now - *m_updated_at);
    return std::min(grown, std::max(m_spare, share_capacity));
  }

 private:
  static constexpr Duration kMaxAge = std::chrono::seconds(1);

  uint64_t m_request_id = 0;
  double m_expected = 0;
  double m_spare = 0;
  double m_spare_rate = 0;
  std::optional<TimePoint> m_updated_at;
};

}  // namespace applestand

#endif  // LIB_LIMITS_PEER_SPARE_ESTIMATE_H_
