#include "lib/entry/home_service.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lib/http/raw_server.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;

constexpr char kHost[] = "host";
constexpr char kRegion[] = "norte";
constexpr char kService[] = "orders";
constexpr char kAccount[] = "account";
constexpr double kNoSampling = 0;
constexpr size_t kMaxSpans = 1;

/// Returns a response that `headers`, whole lines, are added to.
std::string Response(const std::string& status,
                     const std::string& body,
                     const std::string& headers) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
         headers + "\r\n" + body;
}

std::string Refusal(const std::string& headers) {
  return Response("503 Service Unavailable", "",
                  "Retry-After: 0\r\n" + headers);
}

bool IsHealthCheck(const std::string& head) {
  return head.rfind("GET /healthz ", 0) == 0;
}

/// The home host of one target.
class Home {
 public:
  explicit Home(const RawServer& target)
      : m_service({HostId(kHost), RegionId(kRegion), Incarnation(1)},
                  m_loop,
                  m_client,
                  m_attempt_ids,
                  m_tracer,
                  m_quarantine,
                  [](const TargetId&) {}) {
    Target record;
    record.id = TargetId("t");
    record.service = ServiceId(kService);
    record.region = RegionId(kRegion);
    record.address = target.address();
    record.slots = 4;
    m_service.SetHomeMap(
        HomeMap({{record.id, record}}, {{HostId(kHost), RegionId(kRegion)}}),
        {RegionId(kRegion)});
    m_thread = std::thread([this] { m_loop.Run(); });
  }
  ~Home() {
    m_loop.Stop();
    m_thread.join();
  }
  Home(const Home&) = delete;
  Home& operator=(const Home&) = delete;

  /// Runs a request that may run once at most.
  ForwardReply Run() {
    std::promise<ForwardReply> promise;
    ForwardRequest request;
    request.from = HostId(kHost);
    request.from_region = RegionId(kRegion);
    request.service = ServiceId(kService);
    request.account = ClientAccountId(kAccount);
    request.method = "GET";
    request.target = "/orders";
    request.time_left = std::chrono::seconds(5);
    m_loop.Post([&] {
      m_service.Run(std::move(request), [&promise](ForwardReply reply) {
        promise.set_value(std::move(reply));
      });
    });
    return promise.get_future().get();
  }

  /// Sends the health probes that are due, from now on.
  void StartProbes() {
    m_loop.RunEvery(milliseconds(10), [this] { m_service.Tick(); });
  }

 private:
  BootClock m_clock;
  EventLoop m_loop{m_clock};
  TraceIdGenerator m_trace_ids{1, kNoSampling};
  SpanRecorder m_spans{kMaxSpans};
  HopTracer m_tracer{HostId(kHost), m_trace_ids, m_spans};
  Quarantine m_quarantine{QuarantineOptions()};
  HttpClient m_client;
  AttemptIdGenerator m_attempt_ids{Incarnation(1)};
  HomeService m_service;
  std::thread m_thread;
};

}  // namespace

// Guards against a second copy of a refusal that counts for a later request,
// which then is said not to have run although it did.
TEST_CASE("a second copy of a refusal does not count for a later request") {
  for (const bool names_attempts : {false, true}) {
    CAPTURE(names_attempts);
    std::atomic<int> received{0};
    std::atomic<int> ran{0};
    RawServer target([&](RawServer::Peer& peer, size_t) {
      std::string refusal;
      while (peer.ReadRequest()) {
        const std::string id = names_attempts ? peer.AttemptIdLine() : "";
        if (++received == 1) {
          refusal = Refusal(id);
          peer.Send(refusal);
          continue;
        }
        ++ran;
        peer.Send(std::exchange(refusal, "") + Response("200 OK", "ok", id));
      }
    });
    Home home(target);
    CHECK(home.Run().ran == Ran::kNotRun);
    const ForwardReply second = home.Run();
    CHECK(ran == 1);
    CHECK(second.ran == (names_attempts ? Ran::kMayHaveRun : Ran::kRan));
    const ForwardReply third = home.Run();
    CHECK(third.ran == Ran::kRan);
    CHECK(third.body == "ok");
  }
}

// Guards against a second copy of a response that is returned to the caller of
// a later request.
TEST_CASE("a second copy of a response is not returned for a later request") {
  for (const bool names_attempts : {false, true}) {
    CAPTURE(names_attempts);
    std::atomic<int> received{0};
    RawServer target([&](RawServer::Peer& peer, size_t) {
      std::string last;
      while (peer.ReadRequest()) {
        const std::string id = names_attempts ? peer.AttemptIdLine() : "";
        const std::string response =
            Response("200 OK", std::to_string(++received), id);
        peer.Send(last + response);
        last = response;
      }
    });
    Home home(target);
    CHECK(home.Run().body == "1");
    CHECK(home.Run().body == std::string(names_attempts ? "" : "2"));
    CHECK(home.Run().body == "3");
  }
}

// Guards against distrust of refusals that certainly belong to their request.
TEST_CASE("a refusal that names the attempt or comes first is believed") {
  for (const bool names_attempts : {false, true}) {
    CAPTURE(names_attempts);
    std::atomic<size_t> connections{0};
    RawServer target([&](RawServer::Peer& peer, size_t) {
      ++connections;
      while (peer.ReadRequest()) {
        peer.Send(Refusal(names_attempts ? peer.AttemptIdLine() : ""));
      }
    });
    Home home(target);
    constexpr size_t kRequests = 3;
    for (size_t i = 0; i < kRequests; ++i) {
      CHECK(home.Run().ran == Ran::kNotRun);
    }
    CHECK(connections == (names_attempts ? 1 : kRequests));
  }
}

// Guards against a second copy of the response to a health probe that is
// returned to the caller of a request, and against health probes that fail on
// connections which requests have used, as not all health endpoints name the
// attempt.
TEST_CASE("a health probe shares its connection with no request") {
  std::promise<void> probed;
  std::atomic<int> probes{0};
  std::atomic<int> shared{0};
  const std::string healthy = Response("200 OK", R"({"state":"up"})", "");
  RawServer target([&](RawServer::Peer& peer, size_t) {
    std::string last;
    for (int i = 0; peer.ReadRequest(); ++i) {
      const bool is_probe = IsHealthCheck(peer.head());
      shared += i > 0 && (is_probe || !last.empty()) ? 1 : 0;
      if (!is_probe) {
        peer.Send(last + Response("200 OK", "ok", peer.AttemptIdLine()));
        continue;
      }
      last = healthy;
      peer.Send(healthy);
      if (++probes == 1) {
        probed.set_value();
      }
    }
  });
  Home home(target);
  home.StartProbes();
  probed.get_future().wait();
  // Lets the client receive the response and keep the connection.
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(home.Run().body == "ok");
  CHECK(shared == 0);
}

}  // namespace applestand
