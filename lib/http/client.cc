#include "lib/http/client.h"

#include <curl/curl.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "lib/http/socket_tracker.h"
#include "lib/http/transfer.h"

namespace applestand {

namespace {

constexpr int kPollTimeoutMs = 1000;
// curl closes idle connections above this number.
constexpr long kMaxPooledConnections = 4096;  // NOLINT(google-runtime-int)

struct GlobalCurl {
  GlobalCurl() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

}  // namespace

class HttpClient::Impl {
 public:
  Impl() {
    static GlobalCurl global;
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxPooledConnections);
    m_thread = std::thread([this] { Run(); });
  }

  ~Impl() {
    m_stopped = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    curl_multi_cleanup(m_multi);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  HttpCallId Send(HttpCall call, HttpCallback done) {
    const HttpCallId id(++m_last_id);
    auto transfer = std::make_unique<Transfer>(
        id, std::move(call), std::move(done), m_sockets, m_clock);
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_incoming.push_back(std::move(transfer));
    }
    curl_multi_wakeup(m_multi);
    return id;
  }

  void Cancel(HttpCallId id) {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_cancelled.push_back(id);
    }
    curl_multi_wakeup(m_multi);
  }

 private:
  void Run() {
    while (!m_stopped) {
      StartIncoming();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      CompleteFinished();
      curl_multi_poll(m_multi, nullptr, 0, kPollTimeoutMs, nullptr);
    }
    StartIncoming();
    while (!m_active.empty()) {
      Complete(m_active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    }
  }

  void StartIncoming() {
    std::vector<std::unique_ptr<Transfer>> incoming;
    std::vector<HttpCallId> cancelled;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      incoming.swap(m_incoming);
      cancelled.swap(m_cancelled);
    }
    for (auto& transfer : incoming) {
      const bool fresh = transfer->own_connection();
      Start(std::move(transfer), fresh);
    }
    for (const HttpCallId id : cancelled) {
      if (const auto it = m_active_ids.find(id); it != m_active_ids.end()) {
        Complete(it->second, CURLE_ABORTED_BY_CALLBACK);
      }
    }
  }

  void Start(std::unique_ptr<Transfer> transfer, bool fresh) {
    if (!transfer->Prepare()) {
      transfer->RunCallback();
      return;
    }
    CURL* easy = transfer->easy();
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
    m_active_ids[transfer->id()] = easy;
    m_active[easy] = std::move(transfer);
    curl_multi_add_handle(m_multi, easy);
  }

  void CompleteFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        Complete(message->easy_handle, message->data.result);
      }
    }
  }

  void Complete(CURL* easy, CURLcode code) {
    const auto it = m_active.find(easy);
    std::unique_ptr<Transfer> transfer = std::move(it->second);
    m_active.erase(it);
    m_active_ids.erase(transfer->id());
    transfer->Finish(code);
    curl_multi_remove_handle(m_multi, easy);
    if (transfer->needs_new_connection() && !m_stopped) {
      Start(std::move(transfer), /*fresh=*/true);
      return;
    }
    transfer->RunCallback();
  }

  const BootClock m_clock;
  CURLM* m_multi = nullptr;
  std::atomic<bool> m_stopped{false};
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Transfer>> m_incoming;
  std::vector<HttpCallId> m_cancelled;
  std::atomic<uint64_t> m_last_id{0};
  // The members below are used on m_thread only.
  SocketTracker m_sockets;
  std::map<CURL*, std::unique_ptr<Transfer>> m_active;
  std::map<HttpCallId, CURL*> m_active_ids;
  std::thread m_thread;
};

HttpClient::HttpClient() : m_impl(std::make_unique<Impl>()) {}
HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Send(HttpCall call, HttpCallback done) {
  return m_impl->Send(std::move(call), std::move(done));
}

void HttpClient::Cancel(HttpCallId id) {
  m_impl->Cancel(id);
}

HttpCallResult HttpClient::SendAndWait(HttpCall call) {
  std::promise<HttpCallResult> promise;
  std::future<HttpCallResult> future = promise.get_future();
  Send(std::move(call), [&promise](HttpCallResult result) {
    promise.set_value(std::move(result));
  });
  return future.get();
}

}  // namespace applestand
