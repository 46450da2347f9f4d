#ifndef LIB_HTTP_RESPONSE_ATTRIBUTION_H_
#define LIB_HTTP_RESPONSE_ATTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace applestand {

/// What a response says of the request that it belongs to.
enum class ResponseOwner : uint8_t {
  /// It bears the id of the request in progress.
  kThisRequest,
  /// It bears the id of another request, or cannot belong to the one in
  /// progress for another reason.
  kOtherRequest,
  /// It bears no id.
  kUnknown,
};

/// Returns "this", "another" or "unknown".
const char* ToString(ResponseOwner owner);

/// Decides which responses on one connection are taken for the response to the
/// request in progress, and whether the connection may carry a further request.
///
/// A faulty server may write a response a second time, also where the next one
/// is due. A response with an id is told apart by that, provided that the
/// connection carries no two requests with the same id. One without an id is
/// taken only as the first thing that arrives on a connection for its first
/// request, so that the call ends at once; it proves nothing about the request.
/// On any other connection it is skipped. The connection serves no
/// further request once something arrived that nobody asked for, or once a
/// response without an id was taken, whose second copy could not be told from
/// the next response, or after kMaxRememberedIds requests with an id.
///
/// Does no I/O and reads no clock. Not thread-safe.
class ResponseAttribution {
 public:
  /// Requests with an id that one connection carries at most.
  static constexpr size_t kMaxRememberedIds = 1000;

  /// Called when a request is about to be sent. `id` is what its response
  /// bears, empty if that is nothing or differs between all requests.
  /// Precondition: may_carry_request(id).
  void OnRequest(const std::string& id);
  /// Called when a complete response has arrived. Returns whether it is taken
  /// for the response to the request in progress; otherwise it is skipped.
  /// Precondition: OnRequest has been called, and no response has been taken
  /// since.
  [[nodiscard]] bool OnResponse(ResponseOwner owner);
  /// Called when bytes have arrived that belong to no request.
  void OnUnaskedBytes() { m_in_step = false; }

  /// Returns the number of requests that the connection has carried.
  uint64_t requests() const { return m_requests; }
  /// Returns whether the connection may carry a further request.
  bool may_carry_request() const {
    return m_in_step && m_identified && m_ids.size() < kMaxRememberedIds;
  }
  /// Returns whether the connection may carry a request with this id; see
  /// OnRequest.
  bool may_carry_request(const std::string& id) const;

 private:
  uint64_t m_requests = 0;
  // Hashes of the ids of all requests that had one. If those of two ids are
  // equal, the second request goes to another connection.
  std::vector<size_t> m_ids;
  // Nothing has arrived that belongs to no request of the connection.
  bool m_in_step = true;
  // All responses that were taken bore the id of their request.
  bool m_identified = true;
};

}  // namespace applestand

#endif  // LIB_HTTP_RESPONSE_ATTRIBUTION_H_
