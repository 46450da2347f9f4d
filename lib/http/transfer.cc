#include "lib/http/transfer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lib/http/grammar.h"

namespace applestand {

namespace {

// curl's numeric options have the type long.
using CurlLong = long;  // NOLINT(google-runtime-int)

constexpr CurlLong kMaxIdleSeconds = 30;
constexpr CurlLong kKeepAliveIdleSeconds = 10;
constexpr CurlLong kKeepAliveIntervalSeconds = 5;
/// Time limit for a server to acknowledge bytes at the TCP level.
constexpr unsigned int kTcpUserTimeoutMs = 10000;
constexpr size_t kMaxHeaderBytes = size_t{64} << 10;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/// Headers that the client writes itself or leaves out: hop-by-hop headers,
/// Content-Length and Expect.
constexpr std::array<std::string_view, 9> kManagedHeaders = {
    "Connection", "Content-Length",    "Expect",  "Keep-Alive",      "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade", "Proxy-Connection"};

bool IsManagedHeader(std::string_view name) {
  return std::any_of(kManagedHeaders.begin(), kManagedHeaders.end(),
                     [name](std::string_view managed) {
                       return SameHeaderName(managed, name);
                     });
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
  });
}

bool IsBlankOrLineEnd(char c) {
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

bool HasControlOrBlank(std::string_view text) {
  return HasControl(text) ||
         text.find_first_of(" \t") != std::string_view::npos;
}

bool HasBody(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

/// Formats a header line for curl, which requires a semicolon in place of the
/// colon if the value is empty.
std::string HeaderLine(const HttpHeader& header) {
  return header.value.empty() ? header.name + ";"
                              : header.name + ": " + header.value;
}

}  // namespace

Transfer::Transfer(HttpCallId id,
                   HttpCall call,
                   HttpCallback done,
                   SocketTracker& sockets,
                   const Clock& clock)
    : m_id(id),
      m_call(std::move(call)),
      m_done(std::move(done)),
      m_sockets(sockets),
      m_clock(clock) {}

Transfer::~Transfer() {
  curl_slist_free_all(m_headers);
  curl_easy_cleanup(m_easy);
}

void Transfer::RunCallback() {
  m_done(std::move(m_result));
}

void Transfer::Fail(Ran ran, std::string reason) {
  m_result.ran = ran;
  m_result.attributed = false;
  m_result.response = HttpResponse();
  m_result.reason.text = std::move(reason);
}

bool Transfer::Prepare() {
  if (!CheckRequest()) {
    return false;
  }
  m_result = HttpCallResult();
  m_header_bytes = 0;
  m_in_head = false;
  m_connection_unusable = false;
  m_taken = false;
  m_rejection.clear();
  m_socket = SocketId();
  ++m_attempts;
  if (m_easy == nullptr) {
    m_easy = curl_easy_init();
    SetRequest();
    SetHeaders();
    SetCallbacks();
  }
  return true;
}

bool Transfer::CheckRequest() {
  const HttpRequest& request = m_call.request;
  if (m_call.timeout <= Duration::zero()) {
    Fail(Ran::kNotRun, "no time left");
    return false;
  }
  bool valid = !HasControlOrBlank(m_call.address) &&
               !HasControlOrBlank(m_call.attempt_id.value()) &&
               !request.method.empty() && !HasControlOrBlank(request.method) &&
               !HasControlOrBlank(request.target) &&
               request.target.substr(0, 1) == "/";
  for (const HttpHeader& header : request.headers) {
    valid = valid && !header.name.empty() && !HasControlOrBlank(header.name) &&
            header.name.find_first_of(":;") == std::string::npos &&
            !HasControl(header.value);
  }
  if (!valid) {
    Fail(Ran::kNotRun, "the request is malformed");
  }
  return valid;
}

void Transfer::SetRequest() {
  const HttpRequest& request = m_call.request;
  const std::string url = "http://" + m_call.address + request.target;
  curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION,
                   static_cast<CurlLong>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
  curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  curl_easy_setopt(m_easy, CURLOPT_TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  // curl takes 0 as no limit.
  const CurlLong millis = std::max<CurlLong>(ToMillis(m_call.timeout), 1);
  curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, millis);
  curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE,
                   m_call.own_connection ? 1L : 0L);
  curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (request.method == "HEAD") {
    curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
  } else if (HasBody(request)) {
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, request.body.data());
  }
}

void Transfer::SetHeaders() {
  const auto append = [this](const std::string& line) {
    m_headers = curl_slist_append(m_headers, line.c_str());
  };
  const bool identified = !m_call.attempt_id.empty();
  for (const HttpHeader& header : m_call.request.headers) {
    const bool replaced =
        identified && SameHeaderName(header.name, kAttemptIdHeader);
    if (!replaced && !IsManagedHeader(header.name)) {
      append(HeaderLine(header));
    }
  }
  if (identified) {
    append(HeaderLine({kAttemptIdHeader, m_call.attempt_id.value()}));
  }
  // Prevents curl from adding headers that the request does not have.
  for (const char* name : {"Accept", "Content-Type", "Expect"}) {
    if (CountHeaders(m_call.request.headers, name) == 0) {
      append(std::string(name) + ":");
    }
  }
  append("Connection: keep-alive");
  curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
}

void Transfer::SetCallbacks() {
  curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, OnPrerequest);
  curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(m_easy, CURLOPT_OPENSOCKETFUNCTION, OnOpenSocket);
  curl_easy_setopt(m_easy, CURLOPT_OPENSOCKETDATA, this);
  // Refers to the tracker, not to this object, because a pooled socket may
  // outlive the call.
  curl_easy_setopt(m_easy, CURLOPT_CLOSESOCKETFUNCTION, OnCloseSocket);
  curl_easy_setopt(m_easy, CURLOPT_CLOSESOCKETDATA, &m_sockets);
}

curl_socket_t Transfer::OnOpenSocket(void* user,
                                     curlsocktype /*purpose*/,
                                     curl_sockaddr* address) {
  auto* transfer = static_cast<Transfer*>(user);
  const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                        address->protocol);
  if (fd < 0) {
    return CURL_SOCKET_BAD;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
             sizeof(kTcpUserTimeoutMs));
  transfer->m_sockets.OnSocketOpened(fd, transfer->m_call.address);
  return fd;
}

int Transfer::OnCloseSocket(void* user, curl_socket_t fd) {
  static_cast<SocketTracker*>(user)->OnSocketClosed(fd);
  return close(fd);
}

int Transfer::OnPrerequest(void* user,
                           char* /*remote_ip*/,
                           char* /*local_ip*/,
                           int /*remote_port*/,
                           int local_port) {
  const bool may_send =
      static_cast<Transfer*>(user)->MaySend(static_cast<uint16_t>(local_port));
  return may_send ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

bool Transfer::MaySend(uint16_t local_port) {
  if (m_sends > 0 && !m_call.may_repeat) {
    // curl is about to send the request again, as it does by itself if a pooled
    // connection is closed before a response arrives.
    return false;
  }
  m_socket = m_sockets.Acquire(m_call.address, local_port, m_clock.Now());
  if (!m_sockets.IsUsable(m_socket)) {
    m_connection_unusable = true;
    return false;
  }
  // No two calls have the same id.
  m_sockets.AttributionOf(m_socket).OnRequest("");
  ++m_sends;
  m_sent_at = m_clock.Now();
  return true;
}

size_t Transfer::OnBody(char* data, size_t size, size_t count, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  std::string& body = transfer->m_result.response.body;
  const size_t bytes = size * count;
  const size_t limit = transfer->m_call.max_response_bytes;
  if (body.size() + bytes > limit) {
    return 0;
  }
  body.append(data, bytes);
  return bytes;
}

size_t Transfer::OnHeader(char* data, size_t size, size_t count, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  auto& headers = transfer->m_result.response.headers;
  const size_t bytes = size * count;
  std::string_view line(data, bytes);
  transfer->m_header_bytes += bytes;
  if (transfer->m_header_bytes > kMaxHeaderBytes) {
    return 0;
  }
  const bool status_line = line.rfind("HTTP/", 0) == 0;
  if ((status_line && std::exchange(transfer->m_in_head, true)) ||
      HasFurtherStatusLine(line)) {
    transfer->m_rejection = "a response begins within the head of another one";
    return 0;
  }
  if (status_line) {
    headers.clear();
    return bytes;
  }
  if (line == "\r\n" || line == "\n") {
    transfer->m_in_head = false;
    return transfer->OnHeadersComplete() ? bytes : 0;
  }
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return bytes;
  }
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  while (!value.empty() && IsBlankOrLineEnd(value.back())) {
    value.remove_suffix(1);
  }
  headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  return bytes;
}

bool Transfer::OnHeadersComplete() {
  CurlLong status = 0;
  curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
  // The end of the headers of an interim response, or of trailers.
  if (status < kFirstFinalStatus || m_taken) {
    return true;
  }
  ResponseAttribution& attribution = m_sockets.AttributionOf(m_socket);
  const bool identified = !m_call.attempt_id.empty();
  const ResponseOwner owner =
      identified ? OwnerOf(m_result.response.headers, m_call.attempt_id)
                 : ResponseOwner::kThisRequest;
  m_taken = attribution.OnResponse(owner);
  if (!m_taken) {
    m_rejection = owner == ResponseOwner::kOtherRequest
                      ? "the response names another attempt"
                      : "the response names no attempt, and the connection "
                        "has carried another request";
    return false;
  }
  m_result.attributed =
      m_sends == 1 && (identified || attribution.requests() == 1);
  if (!attribution.may_carry_request()) {
    curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
  }
  return true;
}

bool Transfer::HasDefiniteLength() const {
  const HttpResponse& response = m_result.response;
  if (m_call.request.method == "HEAD" || response.status == kNoContent ||
      response.status == kNotModified) {
    return true;
  }
  return CountHeaders(response.headers, "Content-Length") +
             CountHeaders(response.headers, "Transfer-Encoding") ==
         1;
}

void Transfer::RemoveAttemptId() {
  if (m_call.attempt_id.empty()) {
    return;
  }
  std::vector<HttpHeader>& headers = m_result.response.headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const HttpHeader& header) {
                                 return SameHeaderName(header.name,
                                                       kAttemptIdHeader);
                               }),
                headers.end());
}

void Transfer::Finish(CURLcode code) {
  const TimePoint now = m_clock.Now();
  CurlLong status = 0;
  curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
  m_result.response.status = static_cast<int>(status);
  if (!m_rejection.empty()) {
    Fail(Ran::kMayHaveRun, m_rejection);
  } else if (code == CURLE_OK && !HasDefiniteLength()) {
    // Such a response could have been truncated without being noticed.
    m_sockets.ShutDown(m_socket);
    Fail(Ran::kMayHaveRun, "the answer does not state its length once");
  } else if (code == CURLE_OK) {
    m_result.ran = Ran::kRan;
    RemoveAttemptId();
  } else {
    Fail(m_sends > 0 ? Ran::kMayHaveRun : Ran::kNotRun,
         curl_easy_strerror(code));
  }
  m_sockets.Release(m_socket, m_result.ran == Ran::kRan, now);
  if (code == CURLE_OPERATION_TIMEDOUT && m_sends > 0) {
    m_sockets.OnCallTimeout(m_call.address, m_sent_at);
  }
}

}  // namespace applestand
