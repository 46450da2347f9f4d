#include "lib/http/response_reader.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "lib/base/fixed_seed_check.h"

namespace applestand {

namespace {

using State = ResponseReader::State;

constexpr size_t kMaxBytes = 1000;

/// Reads `bytes` in pieces of `step` bytes and returns how many were consumed.
size_t ReadAll(ResponseReader& reader, std::string_view bytes, size_t step) {
  size_t used = 0;
  while (used < bytes.size()) {
    const size_t count = reader.Read(bytes.substr(used, step));
    used += count;
    if (count == 0 || reader.state() == State::kDone ||
        reader.state() == State::kMalformed) {
      break;
    }
  }
  return used;
}

}  // namespace

TEST_CASE("the end of a response is found for input pieces of any size") {
  const std::string rest = "HTTP/1.1 200 OK\r\n";
  for (size_t step = 1; step < 60; ++step) {
    CAPTURE(step);
    ResponseReader length(false, kMaxBytes);
    const std::string by_length =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    CHECK(ReadAll(length, by_length + rest, step) == by_length.size());
    REQUIRE(length.state() == State::kDone);
    CHECK(length.keep_alive());
    CHECK(length.TakeResponse().body == "hello");

    ResponseReader chunked(false, kMaxBytes);
    const std::string by_chunks =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nTrailer: t\r\n\r\n";
    CHECK(ReadAll(chunked, by_chunks + rest, step) == by_chunks.size());
    REQUIRE(chunked.state() == State::kDone);
    CHECK(chunked.TakeResponse().body == "hello");
  }
}

TEST_CASE(
    "a response without framing is complete only if the connection is not "
    "reset") {
  for (const bool orderly : {true, false}) {
    CAPTURE(orderly);
    ResponseReader reader(false, kMaxBytes);
    ReadAll(reader, "HTTP/1.1 200 OK\r\n\r\nsome bytes", 7);
    CHECK(reader.state() == State::kBody);
    reader.OnEnd(orderly);
    CHECK(reader.state() == (orderly ? State::kDone : State::kMalformed));
    CHECK_FALSE(reader.keep_alive());
  }
}

// Guards against a success with an empty or short body when a server stops
// within the head of its response and closes the connection.
TEST_CASE("a response that ends anywhere within its head is malformed") {
  for (const std::string framing :
       {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\n" + framing + "\r\n";
    for (size_t size = 0; size < head.size(); ++size) {
      CAPTURE(head.substr(0, size));
      ResponseReader reader(false, kMaxBytes);
      ReadAll(reader, head.substr(0, size), head.size());
      reader.OnEnd(true);
      CHECK(reader.state() == State::kMalformed);
    }
  }
}

TEST_CASE("a response that ends before its Content-Length is malformed") {
  ResponseReader reader(false, kMaxBytes);
  ReadAll(reader, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart", 9);
  reader.OnEnd(true);
  CHECK(reader.state() == State::kMalformed);
}

TEST_CASE("responses without a body end with their head") {
  for (const char* head :
       {"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
    ResponseReader reader(false, kMaxBytes);
    ReadAll(reader, head, 5);
    CHECK(reader.state() == State::kDone);
  }
  ResponseReader to_head(true, kMaxBytes);
  ReadAll(to_head, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n", 11);
  CHECK(to_head.state() == State::kDone);
}

TEST_CASE("informational responses are skipped") {
  ResponseReader reader(false, kMaxBytes);
  ReadAll(reader,
          "HTTP/1.1 100 Continue\r\n\r\n"
          "HTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\nx",
          13);
  REQUIRE(reader.state() == State::kDone);
  CHECK(reader.TakeResponse().status == 201);
}

TEST_CASE("invalid or ambiguous responses are malformed") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> malformed = {
      "garbage that is no response at all",
      "HTTP/2 200\r\n\r\n",
      "HTTP/1.1 99 Low\r\n\r\n",
      "HTTP/1.1 2000 High\r\n\r\n",
      ok + "no colon\r\n\r\n",
      ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
      ok + "Content-Length: -1\r\n\r\n",
      ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
      ok + "Transfer-Encoding: gzip\r\n\r\n",
      ok + "Content-Length: 1001\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
      "HTTP/1.1 101 Switching Protocols\r\n\r\n"};
  for (const std::string& bytes : malformed) {
    CAPTURE(bytes);
    ResponseReader reader(false, kMaxBytes);
    ReadAll(reader, bytes, 1000);
    CHECK(reader.state() == State::kMalformed);
    CHECK_FALSE(reader.error().empty());
  }
}

TEST_CASE("keep-alive depends on the HTTP version and the Connection header") {
  const auto keeps = [](const std::string& head) {
    ResponseReader reader(false, kMaxBytes);
    ReadAll(reader, head + "Content-Length: 0\r\n\r\n", 100);
    return reader.keep_alive();
  };
  CHECK(keeps("HTTP/1.1 200 OK\r\n"));
  CHECK_FALSE(keeps("HTTP/1.1 200 OK\r\nConnection: close\r\n"));
  CHECK_FALSE(keeps("HTTP/1.0 200 OK\r\n"));
  CHECK(keeps("HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"));
}

TEST_CASE(
    "arbitrary bytes neither crash the reader nor make it read past its "
    "input") {
  constexpr uint64_t kSeed = 20261204;
  CHECK(FixedSeedCheck(kSeed, 300, 200,
                       [](const std::string& tail, unsigned char step) {
                         const std::string bytes = "HTTP/1.1 200 OK\r\n" + tail;
                         ResponseReader reader(false, kMaxBytes);
                         const size_t used = ReadAll(reader, bytes, step + 1U);
                         RC_ASSERT(used <= bytes.size());
                         reader.OnEnd(false);
                         RC_ASSERT(reader.state() != State::kHead);
                       }));
}

}  // namespace applestand
