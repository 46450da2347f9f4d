#ifndef LIB_HTTP_REQUEST_READER_H_
#define LIB_HTTP_REQUEST_READER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "lib/http/byte_budget.h"
#include "lib/http/message.h"
#include "lib/http/request_head.h"

namespace applestand {

struct RequestLimits {
  size_t max_head_bytes = 0;
  size_t max_body_bytes = 0;
};

/// Reads one HTTP/1.x request from a stream of bytes and finds its end.
///
/// Accepts only requests that every recipient interprets in the same way: CRLF
/// line ends, one Content-Length of digits or `Transfer-Encoding: chunked` but
/// not both, no folded headers, no chunk extensions, no trailers. Headers keep
/// their order, names and repetitions, and the target is kept as sent.
///
/// Pistache's own parser is not used because it reorders queries, returns only
/// the first of repeated headers, refuses common headers (a cookie without a
/// value, an unknown cache directive) and allocates a body before it checks any
/// limit.
///
/// Not thread-safe.
class RequestReader {
 public:
  enum class State {
    kHead,
    kBody,
    /// TakeRequest may be called.
    kDone,
    /// refusal() is set, and no further request can be read from the stream.
    kRefused,
  };

  /// Precondition: `budget` outlives the reader and all its reservations.
  RequestReader(const RequestLimits& limits, ByteBudget& budget);

  /// Reads from the front of `input` and returns the number of bytes consumed.
  /// Consumes all of `input` unless the request ends or is refused.
  size_t Read(std::string_view input);

  State state() const { return m_state; }
  /// Returns whether any byte of a request was received.
  bool started() const { return !m_head.empty() || m_state != State::kHead; }
  const Refusal& refusal() const { return m_refusal; }
  /// Returns the headers of the request that is being read or was refused, for
  /// log lines; those that were read if its head is incomplete or malformed.
  std::vector<HttpHeader> headers() const;
  /// The caller waits for `100 Continue` before it sends the body.
  bool expects_continue() const { return m_expects_continue; }
  /// The caller wants to send more requests on the connection.
  bool keep_alive() const { return m_keep_alive; }
  /// The caller knows interim responses, which HTTP/1.0 does not have.
  bool knows_interim_responses() const { return !m_http_1_0; }

  /// Moves the request out, and the bytes reserved for it into `reservation`.
  /// Precondition: state() is kDone.
  HttpRequest TakeRequest(ByteReservation& reservation);

  /// Prepares for the next request.
  void Reset();

 private:
  enum class Framing { kNone, kLength, kChunkSize, kChunkData, kChunkEnd };

  size_t ReadHead(std::string_view input);
  size_t ReadBody(std::string_view input);
  size_t ReadChunkLine(std::string_view input);
  void EndChunkLine();
  void ParseHead();
  void AppendBody(std::string_view bytes);
  // Reserves memory of the request. Refuses the request and returns false if
  // there is none left.
  bool Reserve(size_t bytes);
  void Refuse(int status, std::string text);

  const RequestLimits m_limits;
  ByteBudget& m_budget;
  State m_state = State::kHead;
  Refusal m_refusal;
  std::string m_head;
  // A carriage return was read before the head, and no line feed yet.
  bool m_blank_line_open = false;
  HttpRequest m_request;
  bool m_keep_alive = true;
  bool m_http_1_0 = false;
  bool m_expects_continue = false;
  Framing m_framing = Framing::kNone;
  // Bytes of the body or of the chunk that are not yet received.
  size_t m_remaining = 0;
  std::string m_chunk_line;
  bool m_last_chunk = false;
  ByteReservation m_reservation;
};

}  // namespace applestand

#endif  // LIB_HTTP_REQUEST_READER_H_
