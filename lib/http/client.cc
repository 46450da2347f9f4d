#include "lib/http/client.h"

#include <curl/curl.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace applestand {

namespace {

constexpr int kPollTimeoutMs = 1000;
constexpr long kMaxIdleSeconds = 30;  // NOLINT(google-runtime-int)

struct GlobalCurl {
  GlobalCurl() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

/// State of one call from start to end.
struct Transfer {
  HttpCall call;
  HttpCallback done;
  HttpCallResult result;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;

  ~Transfer() {
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }
};

size_t OnBody(char* data, size_t size, size_t count, void* user) {
  static_cast<Transfer*>(user)->result.response.body.append(data, size * count);
  return size * count;
}

size_t OnHeader(char* data, size_t size, size_t count, void* user) {
  auto& headers = static_cast<Transfer*>(user)->result.response.headers;
  std::string_view line(data, size * count);
  if (line.rfind("HTTP/", 0) == 0) {
    headers.clear();
    return size * count;
  }
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return size * count;
  }
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
    value.remove_prefix(1);
  }
  while (!value.empty() && (value.back() == '\r' || value.back() == '\n')) {
    value.remove_suffix(1);
  }
  headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  return size * count;
}

bool HasBody(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

void SetUp(Transfer& transfer, bool fresh) {
  const HttpRequest& request = transfer.call.request;
  CURL* easy = curl_easy_init();
  transfer.easy = easy;
  const std::string url = "http://" + transfer.call.address + request.target;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(ToMillis(transfer.call.timeout)));
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  }
  if (HasBody(request)) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
  }
  for (const HttpHeader& header : request.headers) {
    const std::string line = header.name + ": " + header.value;
    transfer.headers = curl_slist_append(transfer.headers, line.c_str());
  }
  if (CountHeaders(request.headers, "Content-Type") == 0) {
    transfer.headers = curl_slist_append(transfer.headers, "Content-Type:");
  }
  transfer.headers = curl_slist_append(transfer.headers, "Expect:");
  transfer.headers =
      curl_slist_append(transfer.headers, "Connection: keep-alive");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  if (fresh) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  }
}

void Finish(Transfer& transfer, CURLcode code) {
  HttpCallResult& result = transfer.result;
  if (code == CURLE_OK) {
    long status = 0;  // NOLINT(google-runtime-int)
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    result.ran = Ran::kRan;
    result.response.status = static_cast<int>(status);
    return;
  }
  // Only a call that never got as far as a connection surely sent nothing.
  const bool sent_nothing = code == CURLE_COULDNT_CONNECT ||
                            code == CURLE_URL_MALFORMAT ||
                            code == CURLE_UNSUPPORTED_PROTOCOL;
  result.ran = sent_nothing ? Ran::kNotRun : Ran::kMayHaveRun;
  result.response = HttpResponse();
  result.reason.text = curl_easy_strerror(code);
}

}  // namespace

class HttpClient::Impl {
 public:
  Impl() {
    static GlobalCurl global;
    m_multi = curl_multi_init();
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

  void Send(HttpCall call, HttpCallback done) {
    auto transfer = std::make_unique<Transfer>();
    transfer->call = std::move(call);
    transfer->done = std::move(done);
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_incoming.push_back(std::move(transfer));
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
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      incoming.swap(m_incoming);
    }
    for (auto& transfer : incoming) {
      const bool fresh = m_suspect.erase(transfer->call.address) > 0;
      SetUp(*transfer, fresh);
      CURL* easy = transfer->easy;
      m_active[easy] = std::move(transfer);
      curl_multi_add_handle(m_multi, easy);
    }
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
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    m_active.erase(it);
    Finish(*transfer, code);
    curl_multi_remove_handle(m_multi, easy);
    if (code != CURLE_OK) {
      m_suspect[transfer->call.address] = true;
    }
    transfer->done(std::move(transfer->result));
  }

  CURLM* m_multi = nullptr;
  std::atomic<bool> m_stopped{false};
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Transfer>> m_incoming;
  std::map<CURL*, std::unique_ptr<Transfer>> m_active;
  // Servers whose kept connections may be dead.
  std::map<std::string, bool> m_suspect;
  std::thread m_thread;
};

HttpClient::HttpClient() : m_impl(std::make_unique<Impl>()) {}
HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpCall call, HttpCallback done) {
  m_impl->Send(std::move(call), std::move(done));
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
