#include "lib/http/request_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <utility>

#include "lib/http/grammar.h"

namespace applestand {

namespace {

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kExpectationFailed = 417;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;

constexpr std::string_view kLineEnd = "\r\n";

constexpr std::array<std::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

bool IsTargetChar(char c) {
  return c > ' ' && c < '\x7f' && c != '#';
}

class HeadParser {
 public:
  HeadParser(size_t max_body_bytes, Refusal& refusal)
      : m_max_body_bytes(max_body_bytes), m_refusal(refusal) {}

  std::optional<RequestHead> Parse(std::string_view text) {
    bool first = true;
    while (first || !text.empty()) {
      const std::string_view line = text.substr(0, text.find(kLineEnd));
      text.remove_prefix(std::min(text.size(), line.size() + kLineEnd.size()));
      if (first ? !ParseRequestLine(line) : !ParseHeaderLine(line)) {
        return std::nullopt;
      }
      first = false;
    }
    if (!CheckHeaders() || !CheckFraming()) {
      return std::nullopt;
    }
    return std::move(m_head);
  }

 private:
  bool ParseRequestLine(std::string_view line);
  bool ParseHeaderLine(std::string_view line);
  bool CheckHeaders();
  bool CheckFraming();
  bool CheckLength(const std::string& text);

  void Refuse(int status, std::string text) {
    m_refusal = {status, std::move(text)};
  }

  const size_t m_max_body_bytes;
  Refusal& m_refusal;
  RequestHead m_head;
  bool m_http_1_0 = false;
};

bool HeadParser::ParseRequestLine(std::string_view line) {
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
  m_head.http_1_0 = m_http_1_0;
  m_head.request.method = std::string(method);
  m_head.request.target = std::string(target);
  return true;
}

bool HeadParser::ParseHeaderLine(std::string_view line) {
  const size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || !IsToken(name)) {
    Refuse(kBadRequest, "malformed header");
    return false;
  }
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  if (!HasOnlyTextBytes(value)) {
    Refuse(kBadRequest, "control character in a header");
    return false;
  }
  m_head.request.headers.push_back({std::string(name), std::string(value)});
  return true;
}

bool HeadParser::CheckHeaders() {
  const auto& headers = m_head.request.headers;
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
    m_head.expects_continue = !m_http_1_0;
  }
  const bool close = ListContains(headers, "Connection", "close");
  const bool keep = ListContains(headers, "Connection", "keep-alive");
  m_head.keep_alive = !close && (keep || !m_http_1_0);
  return true;
}

bool HeadParser::CheckFraming() {
  const auto& headers = m_head.request.headers;
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
  m_head.chunked = true;
  return true;
}

bool HeadParser::CheckLength(const std::string& text) {
  uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, length);
  if (rest != end || error == std::errc::invalid_argument) {
    Refuse(kBadRequest, "malformed Content-Length");
    return false;
  }
  if (error != std::errc() || length > m_max_body_bytes) {
    Refuse(kTooLarge, "the body is too large");
    return false;
  }
  m_head.body_bytes = length;
  return true;
}

}  // namespace

bool CanStartRequest(char c) {
  return IsTokenChar(c);
}

std::optional<RequestHead> ParseRequestHead(std::string_view text,
                                            size_t max_body_bytes,
                                            Refusal& refusal) {
  return HeadParser(max_body_bytes, refusal).Parse(text);
}

std::vector<HttpHeader> ReadableHeaders(std::string_view head) {
  std::vector<HttpHeader> headers;
  for (size_t end = head.find(kLineEnd); end != std::string_view::npos;
       end = head.find(kLineEnd)) {
    // The request line is no header.
    if (auto header = ParseHeader(head.substr(0, end))) {
      headers.push_back(std::move(*header));
    }
    head.remove_prefix(end + kLineEnd.size());
  }
  return headers;
}

}  // namespace applestand
