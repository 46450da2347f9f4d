#ifndef LIB_HTTP_TRANSFER_H_
#define LIB_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include "lib/http/client.h"
#include "lib/http/kept_sockets.h"

namespace applestand {

/// One call from start to end. Not thread-safe.
class Transfer {
 public:
  /// Precondition: `sockets` and `clock` outlive it.
  Transfer(HttpCallId id,
           HttpCall call,
           HttpCallback done,
           KeptSockets& sockets,
           const Clock& clock);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  /// Makes the handle ready; false, with the result set, where the call cannot
  /// be sent.
  [[nodiscard]] bool Prepare();

  /// Reads the outcome from the handle.
  void Finish(CURLcode code);

  /// Runs the callback. Call once, last.
  void Report();

  /// Nothing was sent, since the kept connection was found unfit: the call may
  /// be prepared again.
  bool wants_other_connection() const {
    return m_found_unfit && m_attempts == 1;
  }

  HttpCallId id() const { return m_id; }
  CURL* easy() const { return m_easy; }

 private:
  static size_t OnBody(char* data, size_t size, size_t count, void* user);
  static size_t OnHeader(char* data, size_t size, size_t count, void* user);
  static int OnConnected(void* user,
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
  bool MaySend(uint16_t local_port);
  bool LengthIsKnown() const;
  void Fail(Ran ran, std::string reason);

  const HttpCallId m_id;
  const HttpCall m_call;
  const HttpCallback m_done;
  KeptSockets& m_sockets;
  const Clock& m_clock;
  HttpCallResult m_result;
  CURL* m_easy = nullptr;
  curl_slist* m_headers = nullptr;
  size_t m_header_bytes = 0;
  // The request, or a part of it, has left.
  bool m_sent = false;
  bool m_found_unfit = false;
  int m_attempts = 0;
  TimePoint m_sent_at;
  int m_socket = -1;
};

}  // namespace applestand

#endif  // LIB_HTTP_TRANSFER_H_
