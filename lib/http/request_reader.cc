#include "lib/http/request_reader.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstdint>
#include <utility>

namespace applestand {

namespace {

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Up to eight hexadecimal digits of a chunk size, and the line end.
constexpr size_t kMaxChunkLineBytes = 10;
// A body of known length that reaches this size gets all its memory at once.
constexpr size_t kReserveThresholdBytes = size_t{64} << 10;

// Requests of more than this leave a part of the budget to smaller ones, so
// that a few callers with long requests do not shut out all others.
constexpr size_t kSmallRequestBytes = size_t{16} << 10;
constexpr size_t kSmallRequestsDivisor = 8;

/// Returns whether a line feed at or after `from` follows no carriage return.
bool HasBareLineFeed(std::string_view text, size_t from) {
  for (size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at == 0 || text[at - 1] != '\r') {
      return true;
    }
  }
  return false;
}

}  // namespace

RequestReader::RequestReader(const RequestLimits& limits, ByteBudget& budget)
    : m_limits(limits), m_budget(budget), m_reservation(budget) {}

void RequestReader::Reset() {
  m_state = State::kHead;
  m_refusal = Refusal();
  // Released rather than cleared, since it may be long.
  m_head = std::string();
  m_blank_line_open = false;
  m_request = HttpRequest();
  m_keep_alive = true;
  m_expects_continue = false;
  m_framing = Framing::kNone;
  m_remaining = 0;
  m_chunk_line.clear();
  m_last_chunk = false;
  m_reservation = ByteReservation(m_budget);
}

HttpRequest RequestReader::TakeRequest(ByteReservation& reservation) {
  assert(m_state == State::kDone && "the request is not complete");
  reservation = std::move(m_reservation);
  m_reservation = ByteReservation(m_budget);
  return std::move(m_request);
}

std::vector<HttpHeader> RequestReader::headers() const {
  return m_state == State::kHead ? ReadableHeaders(m_head) : m_request.headers;
}

void RequestReader::Refuse(int status, std::string text) {
  m_request.headers = headers();
  m_state = State::kRefused;
  m_refusal = {status, std::move(text)};
  m_keep_alive = false;
  m_head = std::string();
  m_request.body = std::string();
  m_reservation = ByteReservation(m_budget);
}

size_t RequestReader::Read(std::string_view input) {
  size_t used = 0;
  while (used < input.size()) {
    const std::string_view rest = input.substr(used);
    if (m_state == State::kHead) {
      used += ReadHead(rest);
    } else if (m_state == State::kBody) {
      used += ReadBody(rest);
    } else {
      break;
    }
  }
  return used;
}

size_t RequestReader::ReadHead(std::string_view input) {
  if (m_head.empty()) {
    // Skips blank lines between requests.
    const bool line_feed = input.front() == '\n';
    const bool line_open = std::exchange(m_blank_line_open, false);
    if (line_feed) {
      return 1;
    }
    if (input.front() == '\r' && !line_open) {
      m_blank_line_open = true;
      return 1;
    }
    if (line_open || !CanStartRequest(input.front())) {
      Refuse(kBadRequest, "not an HTTP request");
      return 0;
    }
  }
  const size_t before = m_head.size();
  const size_t room = m_limits.max_head_bytes - before;
  m_head.append(input.substr(0, room));
  const size_t search_from =
      before < kHeadEnd.size() ? 0 : before - kHeadEnd.size() + 1;
  const size_t end = m_head.find(kHeadEnd, search_from);
  if (HasBareLineFeed(std::string_view(m_head).substr(0, end), search_from)) {
    Refuse(kBadRequest, "a line does not end with CRLF");
    return 0;
  }
  if (end == std::string::npos) {
    if (m_head.size() == m_limits.max_head_bytes) {
      Refuse(kHeadTooLarge, "the request's head is too large");
      return 0;
    }
    const size_t count = m_head.size() - before;
    return Reserve(count) ? count : 0;
  }
  const size_t used = end + kHeadEnd.size() - before;
  m_head.resize(end + kLineEnd.size());
  if (!Reserve(used)) {
    return 0;
  }
  ParseHead();
  return used;
}

void RequestReader::ParseHead() {
  auto head = ParseRequestHead(m_head, m_limits.max_body_bytes, m_refusal);
  if (!head) {
    Refuse(m_refusal.status, m_refusal.text);
    return;
  }
  if (!Reserve(head->request.headers.capacity() * sizeof(HttpHeader))) {
    return;
  }
  m_request = std::move(head->request);
  m_keep_alive = head->keep_alive;
  m_http_1_0 = head->http_1_0;
  m_expects_continue = head->expects_continue;
  m_remaining = head->body_bytes;
  if (head->chunked) {
    m_framing = Framing::kChunkSize;
  } else if (m_remaining > 0) {
    m_framing = Framing::kLength;
  }
  m_state = m_framing == Framing::kNone ? State::kDone : State::kBody;
}

size_t RequestReader::ReadBody(std::string_view input) {
  // A caller that has started to send the body no longer waits for 100
  // Continue.
  m_expects_continue = false;
  if (m_framing == Framing::kChunkSize || m_framing == Framing::kChunkEnd) {
    return ReadChunkLine(input);
  }
  const std::string_view bytes = input.substr(0, m_remaining);
  AppendBody(bytes);
  if (m_state == State::kRefused) {
    return 0;
  }
  m_remaining -= bytes.size();
  if (m_remaining == 0) {
    const bool chunked = m_framing == Framing::kChunkData;
    m_framing = chunked ? Framing::kChunkEnd : Framing::kNone;
    m_state = chunked ? State::kBody : State::kDone;
  }
  return bytes.size();
}

size_t RequestReader::ReadChunkLine(std::string_view input) {
  m_chunk_line.push_back(input.front());
  const size_t size = m_chunk_line.size();
  if (size >= kLineEnd.size() &&
      m_chunk_line.compare(size - kLineEnd.size(), kLineEnd.size(), kLineEnd) ==
          0) {
    m_chunk_line.resize(size - kLineEnd.size());
    EndChunkLine();
    m_chunk_line.clear();
  } else if (size >= kMaxChunkLineBytes) {
    Refuse(kBadRequest, "malformed chunk");
  }
  return 1;
}

void RequestReader::EndChunkLine() {
  if (m_framing == Framing::kChunkEnd) {
    if (!m_chunk_line.empty()) {
      Refuse(kBadRequest, "malformed chunk or trailers");
      return;
    }
    m_framing = m_last_chunk ? Framing::kNone : Framing::kChunkSize;
    m_state = m_last_chunk ? State::kDone : State::kBody;
    return;
  }
  uint32_t length = 0;
  const char* end = m_chunk_line.data() + m_chunk_line.size();
  const auto [rest, error] =
      std::from_chars(m_chunk_line.data(), end, length, 16);
  if (error != std::errc() || rest != end) {
    Refuse(kBadRequest, "malformed chunk size");
    return;
  }
  if (length > m_limits.max_body_bytes - m_request.body.size()) {
    Refuse(kTooLarge, "the body is too large");
    return;
  }
  m_remaining = length;
  m_last_chunk = length == 0;
  m_framing = m_last_chunk ? Framing::kChunkEnd : Framing::kChunkData;
}

bool RequestReader::Reserve(size_t bytes) {
  const bool small = m_reservation.bytes() + bytes <= kSmallRequestBytes;
  const size_t spare = small ? 0 : m_budget.limit() / kSmallRequestsDivisor;
  if (m_reservation.TryGrow(bytes, spare)) {
    return true;
  }
  Refuse(kUnavailable, "too many bytes of requests in flight");
  return false;
}

void RequestReader::AppendBody(std::string_view bytes) {
  if (!Reserve(bytes.size())) {
    return;
  }
  std::string& body = m_request.body;
  body.append(bytes);
  if (m_framing == Framing::kLength && body.size() >= kReserveThresholdBytes) {
    body.reserve(body.size() + m_remaining - bytes.size());
  }
}

}  // namespace applestand
