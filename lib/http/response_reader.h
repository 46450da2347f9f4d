#ifndef LIB_HTTP_RESPONSE_READER_H_
#define LIB_HTTP_RESPONSE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "lib/http/message.h"

namespace applestand {

/// Reads one HTTP/1.x response from a stream of bytes and says where it ends.
/// A body without length or chunks ends with the connection; informational
/// responses are passed over. What has not one meaning is malformed.
///
/// Not thread-safe.
class ResponseReader {
 public:
  enum class State {
    kHead,
    kBody,
    /// TakeResponse may be called.
    kDone,
    /// `error` tells why; the stream is of no further use.
    kMalformed,
  };

  /// `head`: the response answers a HEAD request and has no body.
  /// A response of more than `max_bytes` is malformed.
  ResponseReader(bool head, size_t max_bytes)
      : m_head_request(head), m_max_bytes(max_bytes) {}

  /// Reads from the front of `input` and returns the number of bytes used,
  /// which is less than its size only at the response's end or an error.
  size_t Read(std::string_view input);

  /// The stream has ended. `orderly`: after whole data, not by a reset.
  void OnEnd(bool orderly);

  State state() const { return m_state; }
  const std::string& error() const { return m_error; }
  /// Whether any byte of the response has come.
  bool started() const { return !m_head.empty() || m_state != State::kHead; }
  /// Whether the connection can carry another request after the response.
  bool keep_alive() const { return m_keep_alive; }

  /// Precondition: state() is kDone. The reader is of no further use.
  HttpResponse TakeResponse() { return std::move(m_response); }

 private:
  enum class Framing { kNone, kLength, kChunkSize, kChunkData, kTrailer, kEnd };

  size_t ReadHead(std::string_view input);
  size_t ReadBody(std::string_view input);
  size_t ReadLine(std::string_view input);
  void EndLine();
  bool ParseHead(std::string_view head);
  bool ParseStatusLine(std::string_view line);
  void BeginBody();
  void Fail(const char* error);

  const bool m_head_request;
  const size_t m_max_bytes;
  State m_state = State::kHead;
  Framing m_framing = Framing::kNone;
  std::string m_error;
  std::string m_head;
  std::string m_line;
  uint64_t m_left = 0;
  bool m_http_1_0 = false;
  bool m_keep_alive = true;
  HttpResponse m_response;
};

}  // namespace applestand

#endif  // LIB_HTTP_RESPONSE_READER_H_
