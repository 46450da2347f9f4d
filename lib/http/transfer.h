#ifndef LIB_HTTP_TRANSFER_H_
#define LIB_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <string>

#include "lib/http/client.h"
#include "lib/http/socket_tracker.h"

namespace applestand {

/// Runs one call of an HttpClient on a curl handle. Not thread-safe.
class Transfer {
 public:
  /// Precondition: `sockets` and `clock` outlive this object.
  Transfer(HttpCallId id,
           HttpCall call,
           HttpCallback done,
           SocketTracker& sockets,
           const Clock& clock);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  /// Sets the curl handle up. Returns false, with the result set, if the call
  /// cannot be sent.
  [[nodiscard]] bool Prepare();

  /// Sets the result from the outcome of the curl handle.
  void Finish(CURLcode code);

  /// Passes the result to the callback. Must be called exactly once, as the
  /// last call.
  void RunCallback();

  /// Returns whether the call should be prepared again on a new connection,
  /// because the pooled connection was unusable and nothing was sent.
  bool needs_new_connection() const {
    return m_connection_unusable && m_attempts == 1;
  }

  /// Returns whether the call must be started on a new connection.
  bool own_connection() const { return m_call.own_connection; }

  HttpCallId id() const { return m_id; }
  CURL* easy() const { return m_easy; }

 private:
  static size_t OnBody(char* data, size_t size, size_t count, void* user);
  static size_t OnHeader(char* data, size_t size, size_t count, void* user);
  static int OnPrerequest(void* user,
                          char* remote_ip,
                          char* local_ip,
                          int remote_port,
                          int local_port);
  static curl_socket_t OnOpenSocket(void* user,
                                    curlsocktype purpose,
                                    curl_sockaddr* address);
  static int OnCloseSocket(void* user, curl_socket_t fd);

  bool CheckRequest();
  void SetRequest();
  void SetHeaders();
  void SetCallbacks();
  // Returns whether curl may send the request on the connection from
  // `local_port`, and if so records that it was sent.
  bool MaySend(uint16_t local_port);
  // Decides whether the response, whose headers are complete, is taken for the
  // response to this call. Returns false if the call must be aborted.
  bool OnHeadersComplete();
  bool HasDefiniteLength() const;
  // Removes the header that only concerns this client from the response.
  void RemoveAttemptId();
  void Fail(Ran ran, std::string reason);

  const HttpCallId m_id;
  const HttpCall m_call;
  const HttpCallback m_done;
  SocketTracker& m_sockets;
  const Clock& m_clock;
  HttpCallResult m_result;
  CURL* m_easy = nullptr;
  curl_slist* m_headers = nullptr;
  size_t m_header_bytes = 0;
  // A status line has arrived, and the end of its head has not.
  bool m_in_head = false;
  // Number of times that all or part of the request may have been sent.
  int m_sends = 0;
  // The final response has been taken for the response to this call.
  bool m_taken = false;
  // Why the response was not taken; empty if it was.
  std::string m_rejection;
  bool m_connection_unusable = false;
  int m_attempts = 0;
  TimePoint m_sent_at;
  SocketId m_socket;
};

}  // namespace applestand

#endif  // LIB_HTTP_TRANSFER_H_
