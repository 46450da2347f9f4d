#ifndef LIB_HTTP_RESPONSE_READER_H_
#define LIB_HTTP_RESPONSE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "lib/http/message.h"

namespace applestand {

/// Receives the body of a response with status 200 while it arrives. Not
/// thread-safe.
class BodySink {
 public:
  virtual ~BodySink() = default;
  /// Returns false if the rest of the body is of no use.
  [[nodiscard]] virtual bool OnBody(std::string_view bytes) = 0;
};

/// Reads one HTTP/1.x response from a stream of bytes and finds its end. A body
/// without a stated length or chunked coding ends with the connection.
/// Informational responses are skipped. A response with ambiguous framing, or
/// with far more bytes outside of its body than in it, is malformed.
///
/// Not thread-safe.
class ResponseReader {
 public:
  enum class State {
    kHead,
    kBody,
    /// TakeResponse may be called.
    kDone,
    /// error() states the reason, and nothing further can be read from the
    /// stream.
    kMalformed,
  };

  /// `head` is true if the response is to a HEAD request and so has no body.
  /// A response with a body of more than `max_bytes` is malformed. The body of
  /// a response with status 200 is passed to `sink`, if there is one, and the
  /// response has none then. The sink must outlive the reader.
  ResponseReader(bool head, size_t max_bytes, BodySink* sink = nullptr)
      : m_head_request(head), m_max_bytes(max_bytes), m_sink(sink) {}

  /// Reads from the front of `input` and returns the number of bytes consumed.
  /// Consumes all of `input` unless the response ends or is malformed.
  size_t Read(std::string_view input);

  /// Called when the stream has ended. `orderly` is true if the peer closed the
  /// connection normally, false if it was reset.
  void OnEnd(bool orderly);

  State state() const { return m_state; }
  const std::string& error() const { return m_error; }
  /// Returns whether any byte of the response was received.
  bool started() const { return !m_head.empty() || m_state != State::kHead; }
  /// Returns about how much memory the response takes so far.
  size_t held_bytes() const;
  /// Returns whether the connection can be reused after the response.
  bool keep_alive() const { return m_keep_alive; }

  /// Moves the response out; the reader must not be used afterwards.
  /// Precondition: state() is kDone.
  HttpResponse TakeResponse() { return std::move(m_response); }

 private:
  enum class Framing {
    kNone,
    kLength,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
    kUntilClose
  };

  size_t ReadHead(std::string_view input);
  size_t ReadBody(std::string_view input);
  size_t ReadLine(std::string_view input);
  void EndLine();
  void BeginChunk(std::string_view line);
  // Counts bytes that belong to no body. Fails if there are too many.
  void CountOverhead(size_t bytes);
  bool ParseHead(std::string_view head);
  bool ParseStatusLine(std::string_view line);
  void BeginBody();
  void AppendBody(std::string_view bytes);
  void Fail(const char* error);

  const bool m_head_request;
  const size_t m_max_bytes;
  BodySink* const m_sink;
  State m_state = State::kHead;
  Framing m_framing = Framing::kNone;
  std::string m_error;
  std::string m_head;
  std::string m_line;
  uint64_t m_remaining = 0;
  size_t m_body_bytes = 0;
  // Bytes read that belong to no body: of heads, chunk sizes and trailers.
  size_t m_overhead_bytes = 0;
  bool m_http_1_0 = false;
  bool m_keep_alive = true;
  HttpResponse m_response;
};

}  // namespace applestand

#endif  // LIB_HTTP_RESPONSE_READER_H_
