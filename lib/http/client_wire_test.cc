#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lib/http/client.h"
#include "lib/http/raw_server.h"

namespace applestand {

namespace {

using std::chrono::milliseconds;

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpCall Call(const RawServer& server, const std::string& method = "POST") {
  HttpCall call;
  call.address = server.address();
  call.request.method = method;
  call.request.target = "/";
  return call;
}

/// Returns the result of one call to a server that responds with `bytes` and
/// closes the connection.
HttpCallResult CallResultFor(const std::string& bytes,
                             const std::string& method = "GET") {
  RawServer server([&bytes](RawServer::Peer& peer, size_t) {
    peer.ReadRequest();
    peer.Send(bytes);
  });
  HttpClient client;
  HttpCall call = Call(server, method);
  call.max_response_bytes = 1000;
  return client.SendAndWait(std::move(call));
}

std::string WithContentLength(size_t announced, size_t sent) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced) +
         "\r\n\r\n" + std::string(sent, 'x');
}

/// Returns a response with the body `body`. `attempt` is the id that it names;
/// if empty, it names none.
std::string Named(const std::string& attempt, const std::string& body = "ok") {
  const std::string header =
      attempt.empty() ? "" : "Attempt-Id: " + attempt + "\r\n";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + header + "\r\n" + body;
}

HttpCall CallNamed(const RawServer& server, const std::string& attempt) {
  HttpCall call = Call(server);
  call.attempt_id = AttemptId(attempt);
  return call;
}

constexpr char kChunked[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

}  // namespace

TEST_CASE(
    "a request is sent again after a pooled connection closes only if "
    "allowed") {
  for (const bool may_repeat : {false, true}) {
    CAPTURE(may_repeat);
    std::atomic<int> received{0};
    RawServer server([&received](RawServer::Peer& peer, size_t index) {
      for (int i = 0; peer.ReadRequest(); ++i) {
        ++received;
        if (index == 0 && i == 1) {
          return;
        }
        peer.Send(kOk);
      }
    });
    HttpClient client;
    CHECK(client.SendAndWait(Call(server)).ran == Ran::kRan);
    HttpCall second = Call(server);
    second.may_repeat = may_repeat;
    const HttpCallResult result = client.SendAndWait(std::move(second));
    CHECK(result.ran == (may_repeat ? Ran::kRan : Ran::kMayHaveRun));
    CHECK(received == (may_repeat ? 3 : 2));
    CHECK(client.SendAndWait(Call(server)).ran == Ran::kRan);
  }
}

// A middlebox that loses the state of its connections makes all of them time
// out. After the first time-out, no other call may be sent on such a
// connection.
TEST_CASE("a timed-out call retires all connections without response since") {
  constexpr size_t kConnections = 4;
  std::atomic<size_t> first_requests{0};
  std::atomic<int> lost{0};
  RawServer server([&](RawServer::Peer& peer, size_t index) {
    if (index >= kConnections) {
      while (peer.ReadRequest()) {
        peer.Send(kOk);
      }
      return;
    }
    peer.ReadRequest();
    ++first_requests;
    while (first_requests < kConnections) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    peer.Send(kOk);
    // From here on the server neither responds nor closes the connection.
    while (peer.ReadRequest()) {
      ++lost;
    }
  });
  HttpClient client;
  std::vector<std::promise<HttpCallResult>> first_calls(kConnections);
  for (auto& promise : first_calls) {
    client.Send(Call(server), [&promise](HttpCallResult result) {
      promise.set_value(std::move(result));
    });
  }
  for (auto& promise : first_calls) {
    CHECK(promise.get_future().get().ran == Ran::kRan);
  }
  HttpCall call = Call(server);
  call.timeout = milliseconds(100);
  CHECK(client.SendAndWait(call).ran == Ran::kMayHaveRun);
  for (size_t i = 0; i < kConnections; ++i) {
    CHECK(client.SendAndWait(call).ran == Ran::kRan);
  }
  CHECK(lost == 1);
}

TEST_CASE(
    "a timed-out call does not retire connections that got a response since") {
  std::atomic<size_t> connections{0};
  std::promise<void> other_completed;
  std::shared_future<void> after_other = other_completed.get_future().share();
  RawServer server([&](RawServer::Peer& peer, size_t index) {
    ++connections;
    bool first = true;
    while (peer.ReadRequest()) {
      if (index == 0 && !first) {
        after_other.wait();
        std::this_thread::sleep_for(milliseconds(300));
        return;
      }
      first = false;
      peer.Send(kOk);
    }
  });
  HttpClient client;
  CHECK(client.SendAndWait(Call(server)).ran == Ran::kRan);
  std::promise<HttpCallResult> slow;
  HttpCall call = Call(server);
  call.timeout = milliseconds(150);
  client.Send(call, [&slow](HttpCallResult result) {
    slow.set_value(std::move(result));
  });
  CHECK(client.SendAndWait(Call(server)).ran == Ran::kRan);
  other_completed.set_value();
  CHECK(slow.get_future().get().ran == Ran::kMayHaveRun);
  CHECK(client.SendAndWait(Call(server)).ran == Ran::kRan);
  CHECK(connections == 2);
}

TEST_CASE("a response that is truncated or of unknown length is not complete") {
  CHECK(CallResultFor(WithContentLength(5, 5)).ran == Ran::kRan);
  CHECK(CallResultFor(WithContentLength(5, 4)).ran == Ran::kMayHaveRun);
  CHECK(CallResultFor(WithContentLength(5, 0)).ran == Ran::kMayHaveRun);
  CHECK(CallResultFor("HTTP/1.1 200 OK\r\nContent-Le").ran == Ran::kMayHaveRun);
  CHECK(CallResultFor("HTTP/1.1 200 OK\r\n\r\nall of it?").ran ==
        Ran::kMayHaveRun);
  CHECK(CallResultFor("").ran == Ran::kMayHaveRun);
  CHECK(CallResultFor("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                      "Content-Length: 2\r\n\r\nab")
            .ran == Ran::kMayHaveRun);
  const std::string chunked = std::string(kChunked) + "\r\n3\r\nabc\r\n";
  CHECK(CallResultFor(chunked + "0\r\n\r\n").response.body == "abc");
  CHECK(CallResultFor(chunked).ran == Ran::kMayHaveRun);
  CHECK(CallResultFor(chunked + "5\r\nab").ran == Ran::kMayHaveRun);
  CHECK(CallResultFor("HTTP/1.1 204 No Content\r\n\r\n").ran == Ran::kRan);
  CHECK(CallResultFor("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", "HEAD")
            .ran == Ran::kRan);
}

TEST_CASE("a response over the size limit is not accepted") {
  CHECK(CallResultFor(WithContentLength(1000, 1000)).ran == Ran::kRan);
  const HttpCallResult large = CallResultFor(WithContentLength(1001, 1001));
  CHECK(large.ran == Ran::kMayHaveRun);
  CHECK(large.response.body.empty());
  CHECK(
      CallResultFor("HTTP/1.1 200 OK\r\nX: " + std::string(1 << 20, 'x')).ran ==
      Ran::kMayHaveRun);
}

TEST_CASE(
    "unsolicited bytes are never read as the response to a later request") {
  std::promise<void> first_completed;
  std::promise<void> sent;
  RawServer server([&](RawServer::Peer& peer, size_t index) {
    peer.ReadRequest();
    peer.Send(kOk);
    if (index == 0) {
      first_completed.get_future().wait();
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ncross");
      sent.set_value();
    }
    while (peer.ReadRequest()) {
      peer.Send(kOk);
    }
  });
  HttpClient client;
  CHECK(client.SendAndWait(Call(server)).response.body == "ok");
  first_completed.set_value();
  sent.get_future().wait();
  CHECK(client.SendAndWait(Call(server)).response.body == "ok");
}

// Guards against a second copy of a response that is taken for the response to
// a later call, and against further calls on the connection that carried it.
TEST_CASE("a response that names another attempt ends the call") {
  std::atomic<size_t> connections{0};
  RawServer server([&](RawServer::Peer& peer, size_t index) {
    ++connections;
    if (index == 0) {
      peer.ReadRequest();
      peer.Send(Named("a-1", "one"));
      peer.ReadRequest();
      peer.Send(Named("a-1", "one") + Named("a-2", "two"));
    }
    while (peer.ReadRequest()) {
      peer.Send(Named("a-3", "three"));
    }
  });
  HttpClient client;
  const HttpCallResult first = client.SendAndWait(CallNamed(server, "a-1"));
  CHECK(first.response.body == "one");
  CHECK(first.attributed);
  const HttpCallResult second = client.SendAndWait(CallNamed(server, "a-2"));
  CHECK(second.ran == Ran::kMayHaveRun);
  CHECK_FALSE(second.attributed);
  CHECK(second.response.body.empty());
  CHECK(client.SendAndWait(CallNamed(server, "a-3")).response.body == "three");
  CHECK(connections == 2);
}

// Guards against a second copy that is taken because it names no attempt.
TEST_CASE(
    "a response that names no attempt is not taken on a used connection") {
  RawServer server([](RawServer::Peer& peer, size_t) {
    peer.ReadRequest();
    peer.Send(Named("a-1"));
    peer.ReadRequest();
    peer.Send(Named(""));
  });
  HttpClient client;
  CHECK(client.SendAndWait(CallNamed(server, "a-1")).ran == Ran::kRan);
  CHECK(client.SendAndWait(CallNamed(server, "a-2")).ran == Ran::kMayHaveRun);
}

// Guards against a further call on a connection whose responses cannot be told
// apart.
TEST_CASE("a response that names no attempt is taken on a new connection") {
  std::atomic<size_t> connections{0};
  RawServer server([&](RawServer::Peer& peer, size_t) {
    ++connections;
    while (peer.ReadRequest()) {
      peer.Send(Named(""));
    }
  });
  HttpClient client;
  for (const char* id : {"a-1", "a-2", "a-3"}) {
    const HttpCallResult result = client.SendAndWait(CallNamed(server, id));
    CHECK(result.ran == Ran::kRan);
    CHECK(result.attributed);
  }
  CHECK(connections == 3);
}

// Guards against connections that are used once only, and against a call that
// gets the connection of one whose end has not been processed yet.
TEST_CASE("a server that names attempts keeps its connections") {
  constexpr size_t kThreads = 4;
  constexpr size_t kCalls = 200;
  std::atomic<size_t> connections{0};
  RawServer server([&](RawServer::Peer& peer, size_t) {
    ++connections;
    while (peer.ReadRequest()) {
      const std::string header = "Attempt-Id: ";
      const size_t begin = peer.head().find(header) + header.size();
      peer.Send(Named(
          peer.head().substr(begin, peer.head().find("\r\n", begin) - begin)));
    }
  });
  HttpClient client;
  std::atomic<size_t> taken{0};
  std::vector<std::thread> threads;
  for (size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      for (size_t j = 0; j < kCalls; ++j) {
        const std::string id = std::to_string(i) + "-" + std::to_string(j);
        const HttpCallResult result = client.SendAndWait(CallNamed(server, id));
        taken += result.ran == Ran::kRan && result.attributed ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(taken == kThreads * kCalls);
  CHECK(connections <= kThreads);
}

// Guards against a copy that comes while the next call begins on the connection
// before the end of the one that it answered has been processed.
TEST_CASE("servers that name no attempts and repeat responses mix no calls") {
  constexpr size_t kThreads = 4;
  constexpr size_t kCalls = 200;
  std::atomic<size_t> received{0};
  RawServer server([&](RawServer::Peer& peer, size_t) {
    while (peer.ReadRequest()) {
      ++received;
      const size_t begin = peer.head().find(' ') + 1;
      const std::string response = Named(
          "", peer.head().substr(begin, peer.head().find(' ', begin) - begin));
      peer.Send(response);
      peer.Send(response);
    }
  });
  HttpClient client;
  std::atomic<size_t> own{0};
  std::atomic<size_t> other{0};
  std::vector<std::thread> threads;
  for (size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      for (size_t j = 0; j < kCalls; ++j) {
        const std::string id = std::to_string(i) + "-" + std::to_string(j);
        HttpCall call = CallNamed(server, id);
        call.request.target = "/" + id;
        const HttpCallResult result = client.SendAndWait(std::move(call));
        (result.response.body == "/" + id ? own : other) += 1;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(own == kThreads * kCalls);
  CHECK(other == 0);
  CHECK(received == kThreads * kCalls);
}

// Guards against "not run" being believed of a request that was sent twice.
TEST_CASE("a response to a request that was sent twice is not attributed") {
  RawServer server([](RawServer::Peer& peer, size_t index) {
    for (int i = 0; peer.ReadRequest(); ++i) {
      if (index == 0 && i == 1) {
        return;
      }
      peer.Send(Named(index == 0 ? "a-1" : "a-2"));
    }
  });
  HttpClient client;
  CHECK(client.SendAndWait(CallNamed(server, "a-1")).attributed);
  HttpCall second = CallNamed(server, "a-2");
  second.may_repeat = true;
  const HttpCallResult result = client.SendAndWait(std::move(second));
  CHECK(result.ran == Ran::kRan);
  CHECK_FALSE(result.attributed);
}

// Guards against ids of callers that reach a server, or of this client that
// reach callers.
TEST_CASE("the attempt id stays between client and server") {
  std::string head;
  RawServer server([&head](RawServer::Peer& peer, size_t) {
    peer.ReadRequest();
    head = peer.head();
    peer.Send(Named("a-1 "));
  });
  HttpClient client;
  HttpCall call = CallNamed(server, "a-1");
  call.request.headers = {{"attempt-id", "b-1"}};
  const HttpCallResult result = client.SendAndWait(std::move(call));
  CHECK(head.find("Attempt-Id: a-1\r\n") != std::string::npos);
  CHECK(head.find("b-1") == std::string::npos);
  CHECK(result.ran == Ran::kRan);
  CHECK(CountHeaders(result.response.headers, "Attempt-Id") == 0);
  HttpCall malformed = CallNamed(server, "a\r\nX: y");
  CHECK(client.SendAndWait(std::move(malformed)).ran == Ran::kNotRun);
}

TEST_CASE("an interim response is not taken for the response") {
  RawServer server([](RawServer::Peer& peer, size_t) {
    for (const char* id : {"a-1", "a-2"}) {
      peer.ReadRequest();
      peer.Send("HTTP/1.1 103 Early Hints\r\nAttempt-Id: a-0\r\n\r\n" +
                Named(id, id));
    }
  });
  HttpClient client;
  for (const char* id : {"a-1", "a-2"}) {
    CHECK(client.SendAndWait(CallNamed(server, id)).response.body == id);
  }
}

TEST_CASE("a response that names several attempts is not taken") {
  RawServer server([](RawServer::Peer& peer, size_t) {
    peer.ReadRequest();
    peer.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nAttempt-Id: a-1\r\n"
        "Attempt-Id: a-2\r\n\r\nok");
    peer.ReadRequest();
  });
  HttpClient client;
  CHECK(client.SendAndWait(CallNamed(server, "a-1")).ran == Ran::kMayHaveRun);
}

// Guards against the beginning of a refusal, written before the response to the
// next request, that lends its status to that response: as the id is the
// response's own, the request would count as not run.
TEST_CASE("a response that is cut does not merge with the next one") {
  for (const std::string& cut : std::vector<std::string>{
           "HTTP/1.1 429 x\r\n", "HTTP/1.1 429 Too", "HTTP/1.1 429 x\r\nDate",
           "HTTP/1.1 429 x\r\nDate: Sun"}) {
    CAPTURE(cut);
    RawServer server([&cut](RawServer::Peer& peer, size_t) {
      peer.ReadRequest();
      peer.Send(Named("a-1"));
      peer.ReadRequest();
      peer.Send(cut + Named("a-2"));
      peer.ReadRequest();
    });
    HttpClient client;
    CHECK(client.SendAndWait(CallNamed(server, "a-1")).response.status == 200);
    CHECK(client.SendAndWait(CallNamed(server, "a-2")).ran == Ran::kMayHaveRun);
  }
}

TEST_CASE("a call with a connection of its own shares it with no other") {
  std::atomic<size_t> connections{0};
  RawServer server([&](RawServer::Peer& peer, size_t) {
    ++connections;
    while (peer.ReadRequest()) {
      peer.Send(kOk);
    }
  });
  HttpClient client;
  HttpCall own = Call(server);
  own.own_connection = true;
  for (const HttpCall& call : {Call(server), own, Call(server), own}) {
    CHECK(client.SendAndWait(call).ran == Ran::kRan);
  }
  CHECK(connections == 3);
}

TEST_CASE("cancelling a call ends it and closes its connection") {
  std::promise<void> received;
  std::promise<void> closed;
  RawServer server([&](RawServer::Peer& peer, size_t) {
    peer.ReadRequest();
    received.set_value();
    peer.ReadRequest();
    closed.set_value();
  });
  HttpClient client;
  std::promise<HttpCallResult> ended;
  const HttpCallId id = client.Send(
      Call(server),
      [&ended](HttpCallResult result) { ended.set_value(std::move(result)); });
  received.get_future().wait();
  client.Cancel(id);
  CHECK(ended.get_future().get().ran == Ran::kMayHaveRun);
  closed.get_future().wait();
  client.Cancel(id);
}

TEST_CASE("a malformed request is not sent") {
  std::atomic<int> received{0};
  RawServer server([&received](RawServer::Peer& peer, size_t) {
    while (peer.ReadRequest()) {
      ++received;
      peer.Send(kOk);
    }
  });
  HttpClient client;
  HttpCall header = Call(server);
  header.request.headers = {{"X-A", "a\r\nX-B: b"}};
  CHECK(client.SendAndWait(header).ran == Ran::kNotRun);
  HttpCall target = Call(server);
  target.request.target = "/ HTTP/1.1\r\nX: y\r\n\r\nGET /";
  CHECK(client.SendAndWait(target).ran == Ran::kNotRun);
  HttpCall late = Call(server);
  late.timeout = Duration::zero();
  CHECK(client.SendAndWait(late).ran == Ran::kNotRun);
  CHECK(received == 0);
}

}  // namespace applestand
