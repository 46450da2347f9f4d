#ifndef LIB_STEERING_SERVICE_TIME_ESTIMATE_H_
#define LIB_STEERING_SERVICE_TIME_ESTIMATE_H_

namespace applestand {

/// What affects the response time of an attempt besides its target, as known
/// when it is sent.
struct AttemptConditions {
  /// Requests that are expected to wait for a slot before this one, per slot of
  /// the target.
  double queue_per_slot = 0;
  /// The target has probably handled the request's object recently. True for
  /// requests without object.
  bool warm = true;
};

/// Estimates the time that targets of one service work on a request for a warm
/// object, without the time that the request waits for a slot, from the times
/// until the responses. Not thread-safe.
class ServiceTimeEstimate {
 public:
  /// Returns the part of the response time that a target spent on a request, if
  /// its object was warm. `took_s` is the response time in seconds.
  static double WithoutQueue(double took_s,
                             const AttemptConditions& conditions);

  /// Called for each response to a request that was sent under `conditions` and
  /// took `took_s` seconds. Requests for cold objects are ignored.
  void OnResponse(double took_s, const AttemptConditions& conditions);

  /// Returns the estimate, in seconds. Positive; a constant before the first
  /// response.
  double seconds() const { return m_seconds; }

 private:
  // Assumed until a response has been observed.
  static constexpr double kAssumedSeconds = 0.1;

  double m_seconds = kAssumedSeconds;
  unsigned m_responses = 0;
};

}  // namespace applestand

#endif  // LIB_STEERING_SERVICE_TIME_ESTIMATE_H_
