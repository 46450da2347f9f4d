#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "lib/http/raw_server.h"
#include "lib/rpc/client.h"
#include "lib/rpc/frame.h"
#include "lib/rpc/server.h"

namespace applestand {

namespace {

RpcResult CallAndWait(RpcClient& client,
                      const std::string& payload,
                      Duration timeout) {
  std::promise<RpcResult> promise;
  client.Call(
      MessageKind::kForward, payload, timeout,
      [&promise](RpcResult result) { promise.set_value(std::move(result)); });
  return promise.get_future().get();
}

std::string AddressOf(const RpcServer& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

// The transport's wire: a greeting of each side, then messages, each with its
// length before it. A message holds the transport's request id, then the frame.
constexpr size_t kGreetingBytes = 8;
constexpr size_t kLengthBytes = 8;
constexpr size_t kRequestIdBytes = 4;
constexpr size_t kCorrelationBytes = 8;

std::string ReadMessage(RawServer::Peer& peer) {
  size_t length = 0;
  for (const char c : peer.ReadBytes(kLengthBytes)) {
    length = (length << 8) | static_cast<unsigned char>(c);
  }
  return peer.ReadBytes(length);
}

/// Returns the message of a reply with less than 256 bytes. `request` gives the
/// transport's request id, `call` the correlation id.
std::string Reply(const std::string& request,
                  const std::string& call,
                  const std::string& payload) {
  const std::string body = request.substr(0, kRequestIdBytes) +
                           call.substr(kRequestIdBytes, kCorrelationBytes) +
                           std::string(sizeof(kStatusReplied), '\0') + payload;
  return std::string(kLengthBytes - 1, '\0') + static_cast<char>(body.size()) +
         body;
}

constexpr Duration kLong = std::chrono::seconds(10);
constexpr Duration kShort = std::chrono::milliseconds(100);

}  // namespace

TEST_CASE("replies sent out of order are matched to their calls") {
  std::mutex mutex;
  std::vector<std::pair<std::string, RpcReply>> held;
  std::promise<void> all_held;
  RpcServer server({"127.0.0.1:0"},
                   [&](MessageKind, std::string payload, RpcReply reply) {
                     std::lock_guard<std::mutex> lock(mutex);
                     held.emplace_back(std::move(payload), std::move(reply));
                     if (held.size() == 3) {
                       all_held.set_value();
                     }
                   });
  RpcClient client(AddressOf(server));
  std::vector<std::promise<std::string>> answers(3);
  for (int i = 0; i < 3; ++i) {
    client.Call(MessageKind::kForward, std::to_string(i), kLong,
                [&answers, i](const RpcResult& result) {
                  answers[static_cast<size_t>(i)].set_value(result.payload);
                });
  }
  all_held.get_future().wait();
  while (!held.empty()) {
    held.back().second("answer " + held.back().first);
    held.pop_back();
  }
  for (int i = 0; i < 3; ++i) {
    CHECK(answers[static_cast<size_t>(i)].get_future().get() ==
          "answer " + std::to_string(i));
  }
}

TEST_CASE("a call that was not sent is reported as not run") {
  RpcClient client("127.0.0.1:1");
  CHECK(CallAndWait(client, "x", kShort).ran == Ran::kNotRun);
}

TEST_CASE(
    "a sent call without a reply is reported as possibly run and not resent") {
  std::vector<RpcReply> held;
  std::atomic<int> calls{0};
  auto server = std::make_unique<RpcServer>(
      RpcServerOptions{"127.0.0.1:0"},
      [&](MessageKind, const std::string&, RpcReply reply) {
        held.push_back(std::move(reply));
        ++calls;
      });
  const std::string address = AddressOf(*server);
  RpcClient client(address);
  CHECK(CallAndWait(client, "x", kShort).ran == Ran::kMayHaveRun);

  // The connection is closed and established again while a second call waits.
  std::promise<RpcResult> promise;
  client.Call(MessageKind::kForward, "y", kLong, [&promise](RpcResult result) {
    promise.set_value(std::move(result));
  });
  while (calls < 2) {
    std::this_thread::yield();
  }
  server.reset();
  server = std::make_unique<RpcServer>(
      RpcServerOptions{address},
      [&](MessageKind, const std::string&, const RpcReply& reply) {
        ++calls;
        reply("late");
      });
  CHECK(promise.get_future().get().ran == Ran::kMayHaveRun);
  CHECK(CallAndWait(client, "z", kLong).payload == "late");
  CHECK(calls == 3);
}

// Guards against a second copy of a reply that is taken for the reply to a
// later call, whose request may have run or not.
TEST_CASE("a second copy of a reply does not count for a later call") {
  bool has_later_id = false;
  SUBCASE("as it was") {}
  SUBCASE("with the transport's id of the later request") {
    has_later_id = true;
  }
  RawServer server([has_later_id](RawServer::Peer& peer, size_t) {
    constexpr char kGreeting[] = {'\0', 'S', 'P', '\0', '\0', '1', '\0', '\0'};
    peer.Send({kGreeting, kGreetingBytes});
    peer.ReadBytes(kGreetingBytes);
    const std::string first = ReadMessage(peer);
    peer.Send(Reply(first, first, "one"));
    const std::string second = ReadMessage(peer);
    peer.Send(Reply(has_later_id ? second : first, first, "one"));
    peer.Send(Reply(second, second, "two"));
    ReadMessage(peer);
  });
  RpcClient client(server.address());
  CHECK(CallAndWait(client, "a", kLong).payload == "one");
  const RpcResult second = CallAndWait(client, "b", kLong);
  CHECK(second.ran == (has_later_id ? Ran::kMayHaveRun : Ran::kRan));
  CHECK(second.payload == (has_later_id ? "" : "two"));
}

TEST_CASE("a snapshot of the largest configuration fits into one message") {
  constexpr size_t kSnapshotBytes = size_t{20} << 20;
  RpcServer server({"127.0.0.1:0"},
                   [](MessageKind, const std::string&, const RpcReply& reply) {
                     reply(std::string(kSnapshotBytes, 's'));
                   });
  RpcClient client(AddressOf(server));
  CHECK(CallAndWait(client, "x", kLong).payload.size() == kSnapshotBytes);
}

TEST_CASE("a call that the handler drops ends at once") {
  RpcServer server({"127.0.0.1:0"},
                   [](MessageKind, const std::string&, const RpcReply&) {});
  RpcClient client(AddressOf(server));
  CHECK(CallAndWait(client, "x", kLong).reason.text == "peer dropped the call");
}

}  // namespace applestand
