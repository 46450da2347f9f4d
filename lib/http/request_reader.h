#ifndef LIB_HTTP_REQUEST_READER_H_
#define LIB_HTTP_REQUEST_READER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "lib/http/byte_budget.h"
#include "lib/http/message.h"
#include "lib/http/request_head.h"

namespace applestand {

struct RequestLimits {
  size_t max_head_bytes = 0;
  size_t max_body_bytes = 0;
};

/// Reads one HTTP/1.x request from a stream of bytes and says where it ends.
///
/// It accepts only what has one meaning to every reader: CRLF line ends, one
/// Content-Length of digits or `Transfer-Encoding: chunked` but not both, no
/// folded headers, no chunk extensions, no trailers. Headers keep their order,
/// names and repeats, and the target stays as sent; Pistache's own parser
/// reorders queries, shows the first of repeated headers only, refuses common
/// headers (a cookie without value, a cache directive it does not know) and
/// reserves a body before it looks at any limit.
///
/// Not thread-safe.
class RequestReader {
 public:
  enum class State {
    kHead,
    kBody,
    /// TakeRequest may be called.
    kDone,
    /// `refusal` is set; the stream is of no further use.
    kRefused,
  };

  /// Precondition: `budget` outlives the reader and all reservations.
  RequestReader(const RequestLimits& limits, ByteBudget& budget);

  /// Reads from the front of `input` and returns the number of bytes used,
  /// which is less than its size only at the request's end or a refusal.
  size_t Read(std::string_view input);

  State state() const { return m_state; }
  /// Whether any byte of a request has come.
  bool started() const { return !m_head.empty() || m_state != State::kHead; }
  const Refusal& refusal() const { return m_refusal; }
  /// The caller waits for `100 Continue` before it sends the body.
  bool expects_continue() const { return m_expects_continue; }
  /// The caller wants to send more requests on the connection.
  bool keep_alive() const { return m_keep_alive; }

  /// Hands over the request, and the bytes reserved for its body.
  /// Precondition: state() is kDone.
  HttpRequest TakeRequest(ByteReservation& reservation);

  /// Makes ready for the next request.
  void Reset();

 private:
  enum class Framing { kNone, kLength, kChunkSize, kChunkData, kChunkEnd };

  size_t ReadHead(std::string_view input);
  size_t ReadBody(std::string_view input);
  size_t ReadChunkLine(std::string_view input);
  void EndChunkLine();
  void ParseHead();
  void AppendBody(std::string_view bytes);
  void Refuse(int status, std::string text);

  const RequestLimits m_limits;
  ByteBudget& m_budget;
  State m_state = State::kHead;
  Refusal m_refusal;
  std::string m_head;
  HttpRequest m_request;
  bool m_keep_alive = true;
  bool m_expects_continue = false;
  Framing m_framing = Framing::kNone;
  // Bytes of the body or chunk still to come.
  size_t m_left = 0;
  std::string m_chunk_line;
  bool m_last_chunk = false;
  ByteReservation m_reservation;
};

}  // namespace applestand

#endif  // LIB_HTTP_REQUEST_READER_H_
