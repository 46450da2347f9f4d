#include "lib/http/request_reader.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cstdint>
#include <utility>

namespace applestand {

namespace {

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kExpectationFailed = 417;
constexpr int kHeadTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kUnavailable = 503;
constexpr int kVersionNotSupported = 505;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// Hexadecimal digits of a chunk's size and its line end.
constexpr size_t kMaxChunkLineBytes = 10;
// A body that has grown this large gets its whole memory at once.
constexpr size_t kReserveFromBytes = size_t{64} << 10;

constexpr std::array<std::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

bool IsTokenChar(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || kPunctuation.find(c) != std::string::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenChar);
}

bool IsTargetChar(char c) {
  return c > ' ' && c < '\x7f' && c != '#';
}

/// Field values hold anything but control characters; tabs are allowed.
bool IsValueChar(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

/// Whether a comma-separated header holds `word`, in any case.
bool ListHolds(const std::vector<HttpHeader>& headers,
               std::string_view name,
               std::string_view word) {
  for (const HttpHeader& header : headers) {
    if (!SameHeaderName(header.name, name)) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::string_view item = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(rest.size(), item.size() + 1));
      if (SameHeaderName(Trim(item), word)) {
        return true;
      }
    }
  }
  return false;
}

/// Position of a line feed without carriage return before it.
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
  m_head.clear();
  m_request = HttpRequest();
  m_http_1_0 = false;
  m_keep_alive = true;
  m_expects_continue = false;
  m_framing = Framing::kNone;
  m_left = 0;
  m_chunk_line.clear();
  m_last_chunk = false;
  m_reservation = ByteReservation(m_budget);
}

HttpRequest RequestReader::TakeRequest(ByteReservation& reservation) {
  assert(m_state == State::kDone && "the request is not whole");
  reservation = std::move(m_reservation);
  m_reservation = ByteReservation(m_budget);
  return std::move(m_request);
}

void RequestReader::Refuse(int status, std::string text) {
  m_state = State::kRefused;
  m_refusal = {status, std::move(text)};
  m_keep_alive = false;
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
    if (input.front() == '\r' || input.front() == '\n') {
      // Blank lines between requests are skipped.
      return 1;
    }
    if (!IsTokenChar(input.front())) {
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
    }
    return m_head.size() - before;
  }
  const size_t used = end + kHeadEnd.size() - before;
  m_head.resize(end);
  ParseHead();
  return used;
}

void RequestReader::ParseHead() {
  std::string_view rest = m_head;
  bool first = true;
  while (m_state == State::kHead && (first || !rest.empty())) {
    const std::string_view line = rest.substr(0, rest.find(kLineEnd));
    rest.remove_prefix(std::min(rest.size(), line.size() + kLineEnd.size()));
    if (first ? !ParseRequestLine(line) : !ParseHeaderLine(line)) {
      return;
    }
    first = false;
  }
  if (!CheckHeaders() || !CheckFraming()) {
    return;
  }
  m_state = m_framing == Framing::kNone ? State::kDone : State::kBody;
}

bool RequestReader::ParseRequestLine(std::string_view line) {
  const size_t first = line.find(' ');
  const size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    Refuse(kBadRequest, "malformed request line");
    return false;
  }
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  const bool target_ok =
      !target.empty() && target.front() == '/' &&
      std::all_of(target.begin(), target.end(), IsTargetChar);
  if (!IsToken(method) || !target_ok) {
    Refuse(kBadRequest, "malformed request line");
    return false;
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    const bool http = version.substr(0, 5) == "HTTP/";
    Refuse(http ? kVersionNotSupported : kBadRequest,
           "only HTTP/1.1 and HTTP/1.0 are spoken here");
    return false;
  }
  if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
    Refuse(kNotImplemented, "unknown method");
    return false;
  }
  m_http_1_0 = version == "HTTP/1.0";
  m_request.method = std::string(method);
  m_request.target = std::string(target);
  return true;
}

bool RequestReader::ParseHeaderLine(std::string_view line) {
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || !IsToken(name)) {
    Refuse(kBadRequest, "malformed header");
    return false;
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  if (!std::all_of(value.begin(), value.end(), IsValueChar)) {
    Refuse(kBadRequest, "control character in a header");
    return false;
  }
  m_request.headers.push_back({std::string(name), std::string(value)});
  return true;
}

bool RequestReader::CheckHeaders() {
  const auto& headers = m_request.headers;
  const size_t hosts = CountHeaders(headers, "Host");
  if (hosts > 1 || (hosts == 0 && !m_http_1_0)) {
    Refuse(kBadRequest, "not exactly one Host header");
    return false;
  }
  if (CountHeaders(headers, "Expect") > 0) {
    const auto expect = FindHeader(headers, "Expect");
    if (!expect || !SameHeaderName(*expect, "100-continue")) {
      Refuse(kExpectationFailed, "unknown expectation");
      return false;
    }
    m_expects_continue = !m_http_1_0;
  }
  const bool close = ListHolds(headers, "Connection", "close");
  const bool keep = ListHolds(headers, "Connection", "keep-alive");
  m_keep_alive = !close && (keep || !m_http_1_0);
  return true;
}

bool RequestReader::CheckFraming() {
  const auto& headers = m_request.headers;
  const size_t lengths = CountHeaders(headers, "Content-Length");
  const size_t encodings = CountHeaders(headers, "Transfer-Encoding");
  if (lengths > 1 || encodings > 1 || lengths + encodings > 1) {
    Refuse(kBadRequest, "more than one statement of the body's length");
    return false;
  }
  if (lengths == 1) {
    return CheckLength(*FindHeader(headers, "Content-Length"));
  }
  if (encodings == 0) {
    return true;
  }
  if (m_http_1_0) {
    Refuse(kBadRequest, "Transfer-Encoding in HTTP/1.0");
    return false;
  }
  if (!SameHeaderName(*FindHeader(headers, "Transfer-Encoding"), "chunked")) {
    Refuse(kNotImplemented, "unknown transfer encoding");
    return false;
  }
  m_framing = Framing::kChunkSize;
  return true;
}

bool RequestReader::CheckLength(const std::string& text) {
  uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, length);
  if (rest != end || error == std::errc::invalid_argument) {
    Refuse(kBadRequest, "malformed Content-Length");
    return false;
  }
  if (error != std::errc() || length > m_limits.max_body_bytes) {
    Refuse(kTooLarge, "the body is too large");
    return false;
  }
  m_left = length;
  m_framing = length == 0 ? Framing::kNone : Framing::kLength;
  return true;
}

size_t RequestReader::ReadBody(std::string_view input) {
  // A caller that has begun its body does not wait any more.
  m_expects_continue = false;
  if (m_framing == Framing::kChunkSize || m_framing == Framing::kChunkEnd) {
    return ReadChunkLine(input);
  }
  const std::string_view bytes = input.substr(0, m_left);
  AppendBody(bytes);
  if (m_state == State::kRefused) {
    return 0;
  }
  m_left -= bytes.size();
  if (m_left == 0) {
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
  m_left = length;
  m_last_chunk = length == 0;
  m_framing = m_last_chunk ? Framing::kChunkEnd : Framing::kChunkData;
}

void RequestReader::AppendBody(std::string_view bytes) {
  if (!m_reservation.TryGrow(bytes.size())) {
    Refuse(kUnavailable, "too many bytes of request bodies in flight");
    return;
  }
  std::string& body = m_request.body;
  body.append(bytes);
  if (m_framing == Framing::kLength && body.size() >= kReserveFromBytes) {
    body.reserve(body.size() + m_left - bytes.size());
  }
}

}  // namespace applestand
