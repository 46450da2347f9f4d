#include "lib/http/response_reader.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "lib/http/grammar.h"

namespace applestand {

namespace {

// No correct server sends a longer head.
constexpr size_t kMaxHeadBytes = size_t{64} << 10;
constexpr size_t kMaxLineBytes = 256;
// Maximum number of bytes outside of the body, beyond those of one head, for
// each byte of the body: chunks of a single byte take 5.
constexpr size_t kMaxOverheadFactor = 8;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

constexpr int kSwitchingProtocols = 101;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/// Returns whether `text`, from `from` on, has a line feed that follows no
/// carriage return, or a carriage return that another byte follows.
bool HasBareLineEnd(std::string_view text, size_t from) {
  for (size_t at = from; at < text.size(); ++at) {
    const bool after_return = at > 0 && text[at - 1] == '\r';
    if (after_return != (text[at] == '\n')) {
      return true;
    }
  }
  return false;
}

std::optional<uint64_t> ParseNumber(std::string_view text, int base) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value, base);
  if (rest != end || error != std::errc() || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

void ResponseReader::Fail(const char* error) {
  m_state = State::kMalformed;
  m_error = error;
  m_keep_alive = false;
}

size_t ResponseReader::Read(std::string_view input) {
  size_t used = 0;
  while (used < input.size()) {
    const std::string_view rest = input.substr(used);
    if (m_state == State::kHead) {
      const size_t count = ReadHead(rest);
      CountOverhead(count);
      used += count;
    } else if (m_state == State::kBody) {
      used += ReadBody(rest);
    } else {
      break;
    }
  }
  return used;
}

void ResponseReader::CountOverhead(size_t bytes) {
  m_overhead_bytes += bytes;
  const bool open = m_state == State::kHead || m_state == State::kBody;
  if (open && m_overhead_bytes >
                  2 * kMaxHeadBytes + kMaxOverheadFactor * m_body_bytes) {
    Fail("too many bytes outside of the body");
  }
}

size_t ResponseReader::held_bytes() const {
  return m_head.capacity() + m_response.body.capacity() +
         m_response.headers.capacity() * sizeof(HttpHeader);
}

size_t ResponseReader::ReadHead(std::string_view input) {
  const size_t before = m_head.size();
  const size_t from = before < kHeadEnd.size() ? 0 : before - kHeadEnd.size();
  m_head.append(input.substr(0, kMaxHeadBytes));
  const size_t end = m_head.find(kHeadEnd, from);
  if (end == std::string::npos) {
    constexpr std::string_view kStart = "HTTP/1.";
    const size_t known = std::min(kStart.size(), m_head.size());
    if (std::string_view(m_head).substr(0, known) != kStart.substr(0, known)) {
      Fail("not an HTTP response");
    } else if (m_head.size() > kMaxHeadBytes) {
      Fail("head too long");
    } else if (HasBareLineEnd(m_head, before)) {
      Fail("a line of the head does not end with CRLF");
    }
    return std::min(input.size(), kMaxHeadBytes);
  }
  const std::string head = m_head.substr(0, end);
  const size_t used = end + kHeadEnd.size() - before;
  if (!ParseHead(head)) {
    return used;
  }
  if (m_response.status < kOk) {
    if (m_response.status == kSwitchingProtocols) {
      Fail("unexpected change of protocol");
      return used;
    }
    m_head.clear();
    m_response = HttpResponse();
    return used;
  }
  BeginBody();
  return used;
}

bool ResponseReader::ParseStatusLine(std::string_view line) {
  constexpr std::string_view kVersion11 = "HTTP/1.1 ";
  constexpr std::string_view kVersion10 = "HTTP/1.0 ";
  constexpr size_t kStatusDigits = 3;
  m_http_1_0 = line.substr(0, kVersion10.size()) == kVersion10;
  if (!m_http_1_0 && line.substr(0, kVersion11.size()) != kVersion11) {
    return false;
  }
  line.remove_prefix(kVersion11.size());
  const auto status = ParseNumber(line.substr(0, kStatusDigits), 10);
  constexpr uint64_t kMinStatus = 100;
  constexpr uint64_t kMaxStatus = 599;
  const bool ends = line.size() == kStatusDigits ||
                    (line.size() > kStatusDigits && line[kStatusDigits] == ' ');
  // Not all servers send the blank before an empty reason phrase.
  if (!status || *status < kMinStatus || *status > kMaxStatus || !ends ||
      !HasOnlyTextBytes(line)) {
    return false;
  }
  m_response.status = static_cast<int>(*status);
  return true;
}

bool ResponseReader::ParseHead(std::string_view head) {
  if (HasFurtherStatusLine(head)) {
    Fail("a response begins within the head of another one");
    return false;
  }
  const std::string_view status_line = head.substr(0, head.find(kLineEnd));
  if (!ParseStatusLine(status_line)) {
    Fail("malformed status line");
    return false;
  }
  head.remove_prefix(std::min(head.size(), status_line.size() + 2));
  while (!head.empty()) {
    const std::string_view line = head.substr(0, head.find(kLineEnd));
    head.remove_prefix(std::min(head.size(), line.size() + kLineEnd.size()));
    auto header = ParseHeader(line);
    if (!header) {
      Fail("malformed header");
      return false;
    }
    m_response.headers.push_back(std::move(*header));
  }
  return true;
}

void ResponseReader::BeginBody() {
  const auto& headers = m_response.headers;
  const size_t lengths = CountHeaders(headers, "Content-Length");
  const size_t encodings = CountHeaders(headers, "Transfer-Encoding");
  const bool close = ListContains(headers, "Connection", "close");
  const bool keep = ListContains(headers, "Connection", "keep-alive");
  m_keep_alive = !close && (keep || !m_http_1_0);
  m_state = State::kBody;
  if (lengths + encodings > 1) {
    Fail("more than one statement of the body's length");
    return;
  }
  std::optional<uint64_t> length;
  if (lengths == 1) {
    length = ParseNumber(*FindHeader(headers, "Content-Length"), 10);
    if (!length) {
      Fail("malformed Content-Length");
      return;
    }
  }
  if (encodings == 1 && m_http_1_0) {
    Fail("Transfer-Encoding in HTTP/1.0");
    return;
  }
  if (m_head_request || m_response.status == kNoContent ||
      m_response.status == kNotModified) {
    m_state = State::kDone;
    return;
  }
  if (encodings == 1) {
    if (!SameHeaderName(*FindHeader(headers, "Transfer-Encoding"), "chunked")) {
      Fail("unknown transfer encoding");
      return;
    }
    m_framing = Framing::kChunkSize;
    return;
  }
  if (!length) {
    m_framing = Framing::kUntilClose;
    m_keep_alive = false;
    return;
  }
  if (*length > m_max_bytes) {
    Fail("body too long");
    return;
  }
  m_framing = Framing::kLength;
  m_remaining = *length;
  if (m_remaining == 0) {
    m_state = State::kDone;
  }
}

size_t ResponseReader::ReadBody(std::string_view input) {
  if (m_framing == Framing::kChunkSize || m_framing == Framing::kChunkEnd ||
      m_framing == Framing::kTrailer) {
    return ReadLine(input);
  }
  const size_t count =
      m_framing == Framing::kUntilClose
          ? input.size()
          : static_cast<size_t>(std::min<uint64_t>(m_remaining, input.size()));
  AppendBody(input.substr(0, count));
  if (m_state == State::kMalformed) {
    return count;
  }
  if (m_framing == Framing::kUntilClose) {
    return count;
  }
  m_remaining -= count;
  if (m_remaining > 0) {
    return count;
  }
  if (m_framing == Framing::kLength) {
    m_state = State::kDone;
  } else {
    m_framing = Framing::kChunkEnd;
  }
  return count;
}

void ResponseReader::AppendBody(std::string_view bytes) {
  m_body_bytes += bytes.size();
  if (m_body_bytes > m_max_bytes) {
    Fail("body too long");
  } else if (m_sink == nullptr || m_response.status != kOk) {
    m_response.body.append(bytes);
  } else if (!m_sink->OnBody(bytes)) {
    Fail("body unusable");
  }
}

size_t ResponseReader::ReadLine(std::string_view input) {
  const size_t end = input.find('\n');
  const size_t count = end == std::string_view::npos ? input.size() : end + 1;
  CountOverhead(count);
  if (m_state == State::kMalformed) {
    return count;
  }
  m_line.append(input.substr(0, count));
  if (m_line.size() > kMaxLineBytes) {
    Fail("malformed chunk");
  } else if (end != std::string_view::npos) {
    EndLine();
  }
  return count;
}

void ResponseReader::EndLine() {
  const bool has_crlf = m_line.size() >= kLineEnd.size() &&
                        m_line[m_line.size() - kLineEnd.size()] == '\r';
  const std::string line =
      has_crlf ? m_line.substr(0, m_line.size() - kLineEnd.size()) : "";
  m_line.clear();
  if (!has_crlf) {
    Fail("malformed chunk");
    return;
  }
  if (m_framing == Framing::kChunkEnd) {
    if (!line.empty()) {
      Fail("a chunk does not end where its size says");
      return;
    }
    m_framing = Framing::kChunkSize;
  } else if (m_framing == Framing::kTrailer) {
    if (line.empty()) {
      m_state = State::kDone;
    } else if (!ParseHeader(line)) {
      Fail("malformed trailer");
    }
  } else {
    BeginChunk(line);
  }
}

void ResponseReader::BeginChunk(std::string_view line) {
  constexpr int kHex = 16;
  const size_t extensions = line.find(';');
  std::string_view digits = line.substr(0, extensions);
  if (extensions != std::string_view::npos) {
    // Blanks are allowed between the size and its extensions.
    digits = digits.substr(0, digits.find_last_not_of(" \t") + 1);
  }
  const auto size = ParseNumber(digits, kHex);
  if (!size || !HasOnlyTextBytes(line)) {
    Fail("malformed chunk size");
    return;
  }
  m_remaining = *size;
  m_framing = *size == 0 ? Framing::kTrailer : Framing::kChunkData;
}

void ResponseReader::OnEnd(bool orderly) {
  if (m_state != State::kHead && m_state != State::kBody) {
    return;
  }
  if (m_state == State::kBody && m_framing == Framing::kUntilClose && orderly) {
    m_state = State::kDone;
    return;
  }
  Fail("the connection ended within the response");
}

}  // namespace applestand
