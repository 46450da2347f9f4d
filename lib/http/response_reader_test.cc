#include "lib/http/response_reader.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "lib/base/fixed_seed_check.h"

namespace applestand {

namespace {

using State = ResponseReader::State;

constexpr size_t kMaxBytes = 1000;
const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedHead =
    kStatusLine + "Transfer-Encoding: chunked\r\n\r\n";

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

/// Returns the state after `bytes`, read in pieces of `step` bytes, and an
/// orderly end of the connection.
State StateAfter(const std::string& bytes, size_t step) {
  ResponseReader reader(false, kMaxBytes);
  ReadAll(reader, bytes, step);
  reader.OnEnd(true);
  return reader.state();
}

/// Checks that each response is malformed, for small and large pieces, even if
/// the connection then ends normally.
void CheckMalformed(const std::vector<std::string>& responses) {
  for (const std::string& bytes : responses) {
    CAPTURE(bytes);
    CHECK(StateAfter(bytes, 1) == State::kMalformed);
    CHECK(StateAfter(bytes, bytes.size()) == State::kMalformed);
  }
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

// Guards against a success with a part of the body when a chunk's size and its
// data differ.
TEST_CASE(
    "chunks whose data does not end where their size says are malformed") {
  CheckMalformed({
      kChunkedHead + "3\r\nabc0\r\n\r\n",
      kChunkedHead + "3\r\nabc2\r\nde\r\n0\r\n\r\n",
      kChunkedHead + "4\r\nabcd\n0\r\n\r\n",
      kChunkedHead + "4\r\nabcd\r0\r\n\r\n",
      kChunkedHead + "4\r\nabcd\r\n\r\n0\r\n\r\n",
      kChunkedHead + "4\r\n0123\n0\r\n456\r\n0\r\n\r\n",
      kChunkedHead + "4\r\nabcd0\r\n\r\n456\r\n0\r\n\r\n",
  });
}

// Guards against a success with a part of the body when a chunk's size is
// spoilt to 0, and the rest of the body is taken for trailers.
TEST_CASE("trailers that are no headers are malformed") {
  CheckMalformed({
      kChunkedHead + "4\r\nabcd\r\n0\r\nsix mo\r\n0\r\n\r\n",
      kChunkedHead + "0\r\n0123456789\r\n0\r\n\r\n",
      kChunkedHead + "0\r\nX A: b\r\n\r\n",
      kChunkedHead + "0\r\nX-A : b\r\n\r\n",
      kChunkedHead + "0\r\n: b\r\n\r\n",
      kChunkedHead + "0\r\nX-A: b\x01\r\n\r\n",
      kChunkedHead + "0\r\nX-A: a\r\n folded: b\r\n\r\n",
      kChunkedHead + "0\r\n",
      kChunkedHead + "0\r\nX-A: b\r\n",
  });
}

TEST_CASE("chunk sizes and extensions outside of the grammar are malformed") {
  CheckMalformed({
      kChunkedHead + "\r\n3\r\nabc\r\n0\r\n\r\n",
      kChunkedHead + "0x3\r\nabc\r\n0\r\n\r\n",
      kChunkedHead + "+3\r\nabc\r\n0\r\n\r\n",
      kChunkedHead + "-3\r\nabc\r\n0\r\n\r\n",
      kChunkedHead + " 3\r\nabc\r\n0\r\n\r\n",
      kChunkedHead + ";x=y\r\nabc\r\n0\r\n\r\n",
      kChunkedHead + "3\nabc\r\n0\r\n\r\n",
      kChunkedHead + "3;x\ry\r\nabc\r\n0\r\n\r\n",
      kChunkedHead + "3;x\x01\r\nabc\r\n0\r\n\r\n",
      kChunkedHead + "10000000000000003\r\nabc\r\n0\r\n\r\n",
  });
}

// Guards against headers that are no headers in the protocol, and against
// header names that hide how the body is framed.
TEST_CASE("header names with other bytes than those of tokens are malformed") {
  for (int byte = 1; byte < 256; ++byte) {
    const char c = static_cast<char>(byte);
    constexpr std::string_view kToken =
        "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
        "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    if (c == ':') {
      continue;
    }
    CAPTURE(byte);
    const State expected = kToken.find(c) == std::string_view::npos
                               ? State::kMalformed
                               : State::kDone;
    for (const std::string& name :
         {std::string("X") + c + "A", std::string("X") + c,
          c + std::string("A")}) {
      std::string bytes = kStatusLine;
      bytes.append("Content-Length: 2\r\n")
          .append(name)
          .append(": b\r\n\r\nok");
      CHECK(StateAfter(bytes, bytes.size()) == expected);
    }
  }
  CheckMalformed({
      kStatusLine + "Content-Length : 9\r\n\r\npart",
      kStatusLine + "Content-Length: 2\r\nX: a\r\n folded: b\r\n\r\nok",
      kStatusLine + "Content-Length: 2\r\nX: a\r\n\tfolded: b\r\n\r\nok",
      kStatusLine + std::string("X\0: b\r\nContent-Length: 2\r\n\r\nok", 29),
  });
}

// Guards against a header in a header's value, and a value that ends early.
TEST_CASE("control bytes in header values are malformed, other bytes are not") {
  for (int byte = 0; byte < 256; ++byte) {
    CAPTURE(byte);
    const bool control = (byte < 32 && byte != '\t') || byte == 127;
    std::string value = "a.b";
    value[1] = static_cast<char>(byte);
    std::string bytes = kStatusLine;
    bytes.append("Content-Length: 2\r\nX: ").append(value).append("\r\n\r\nok");
    CHECK(StateAfter(bytes, bytes.size()) ==
          (control ? State::kMalformed : State::kDone));
  }
}

TEST_CASE("status lines outside of the grammar are malformed") {
  const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
  CheckMalformed({
      "HTTP/1.1  200 OK" + rest,
      "HTTP/1.1 20 OK" + rest,
      "HTTP/1.1 +20 OK" + rest,
      "HTTP/1.1 200OK" + rest,
      "HTTP/1.1 200\tOK" + rest,
      "HTTP/1.1 600 OK" + rest,
      "HTTP/1.10 200 OK" + rest,
      "HTTP/1.1 200 O\nK" + rest,
      "HTTP/1.1 200 O\rK" + rest,
      "HTTP/1.1 200 O\x7fK" + rest,
      "http/1.1 200 OK" + rest,
      " HTTP/1.1 200 OK" + rest,
  });
}

// Guards against a head that is cut and lends its status to the next response.
TEST_CASE("a status line within a head is malformed, other versions are not") {
  for (const std::string begin : {"HTTP/1.1 503 ", "HTTP/1.1 503 x\r\nDate: ",
                                  "HTTP/1.1 503 x\r\nDate: Sun"}) {
    CAPTURE(begin);
    ResponseReader reader(false, 1000);
    reader.Read(begin + kStatusLine + "Content-Length: 0\r\n\r\n");
    CHECK(reader.state() == ResponseReader::State::kMalformed);
  }
  ResponseReader reader(false, 1000);
  reader.Read(kStatusLine +
              "Upgrade: HTTP/1.1, HTTP/2.0\r\nVia: HTTP/1.1 7host\r\n"
              "Content-Length: 0\r\n\r\n");
  CHECK(reader.state() == ResponseReader::State::kDone);
}

// Guards against a call that waits for its time-out, since the blank line after
// the head never comes.
TEST_CASE("a line end that is not CRLF is malformed before the head ends") {
  for (const std::string& bytes : std::vector<std::string>{
           "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "HTTP/1.1 200 OK\r\n\rX",
           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\n",
           "HTTP/1.1 200 OK\rX-A: b", "HTTP/1.1 200 OK\r\r\n"}) {
    CAPTURE(bytes);
    for (const size_t step : {size_t{1}, bytes.size()}) {
      ResponseReader reader(false, kMaxBytes);
      ReadAll(reader, bytes, step);
      CHECK(reader.state() == State::kMalformed);
    }
  }
}

TEST_CASE("the length of a body is stated once, by digits or by chunks") {
  const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  CheckMalformed({
      kStatusLine + "Content-Length: 2\r\ncontent-length: 2\r\n\r\nok",
      kStatusLine + "Content-Length: 2, 2\r\n\r\nok",
      kStatusLine + "Content-Length: +2\r\n\r\nok",
      kStatusLine + "Content-Length: 2 2\r\n\r\nok",
      kStatusLine + "Content-Length:\r\n\r\nok",
      kStatusLine + "Content-Length: 0x2\r\n\r\nok",
      kStatusLine + "Content-Length: 18446744073709551618\r\n\r\nok",
      kStatusLine + chunked + chunked + chunks,
      kStatusLine + "Transfer-Encoding: chunked, chunked\r\n" + chunks,
      kStatusLine + "Transfer-Encoding: chunked, identity\r\n" + chunks,
      kStatusLine + "Transfer-Encoding: xchunked\r\n" + chunks,
      kStatusLine + "Transfer-Encoding:\r\n" + chunks,
      "HTTP/1.0 200 OK\r\n" + chunked + chunks,
  });
}

// Guards against an invalid length in the response to HEAD that is passed on.
TEST_CASE("an invalid Content-Length is malformed without a body too") {
  for (const std::string length : {"abc", "-1", "1, 1", ""}) {
    CAPTURE(length);
    ResponseReader to_head(true, kMaxBytes);
    std::string bytes = kStatusLine;
    bytes.append("Content-Length: ").append(length).append("\r\n\r\n");
    ReadAll(to_head, bytes, 9);
    CHECK(to_head.state() == State::kMalformed);
  }
}

// Guards against refusing what targets may send.
TEST_CASE("rare but valid responses are complete") {
  const std::string ok = "Content-Length: 2\r\n\r\nok";
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 \r\n" + ok,
      "HTTP/1.1 200\r\n" + ok,
      "HTTP/1.1 200 \xe9t\xe9 \t fine\r\n" + ok,
      kStatusLine + "X-A:\t b \xff c\t \r\nX-Empty:\r\n" + ok,
      kStatusLine + "!#$%&'*+-.^_`|~09azAZ: b\r\n" + ok,
      kStatusLine + "content-length:2\r\n\r\nok",
      kStatusLine + "Content-Length: 0002\r\n\r\nok",
      kStatusLine + "transfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      kChunkedHead + "0002;a;b=c;d=\"e \xe9 f\"\r\nok\r\n000;x\r\n\r\n",
      kChunkedHead + "1 ; a=b\r\no\r\n1\t;a\r\nk\r\n0\r\n\r\n",
      kChunkedHead + "2\r\nok\r\n0\r\nX-T: \xff t\r\nX-U:\r\n\r\n",
      "HTTP/1.0 200 OK\r\nX: y\r\n\r\nok",
  };
  for (const std::string& bytes : responses) {
    CAPTURE(bytes);
    for (const size_t step : {size_t{1}, bytes.size()}) {
      ResponseReader reader(false, kMaxBytes);
      ReadAll(reader, bytes, step);
      reader.OnEnd(true);
      REQUIRE(reader.state() == State::kDone);
      CHECK(reader.TakeResponse().body == "ok");
    }
  }
  ResponseReader empty(false, kMaxBytes);
  ReadAll(empty, kChunkedHead + "0\r\n\r\n", 3);
  CHECK(empty.state() == State::kDone);
}

// Guards against a success with another body when a byte outside of the body is
// spoilt. The body has lines that look like the end of the chunks.
TEST_CASE("a chunked response with one spoilt byte is never cut short") {
  const std::string body = "0123\r\n0\nab\n0\r\nxy";
  const size_t chunk = 9;
  std::string framed = kChunkedHead;
  std::vector<bool> framing(framed.size(), false);
  for (size_t at = 0; at < body.size(); at += chunk) {
    const std::string data = body.substr(at, chunk);
    framed += std::to_string(data.size()) + "\r\n" + data + "\r\n";
    framing.insert(framing.end(), 3, true);
    framing.insert(framing.end(), data.size(), false);
    framing.insert(framing.end(), 2, true);
  }
  framed += "0\r\n\r\n";
  framing.insert(framing.end(), 5, true);
  REQUIRE(framing.size() == framed.size());
  for (size_t at = 0; at < framed.size(); ++at) {
    for (int byte = 0; framing[at] && byte < 256; ++byte) {
      CAPTURE(at);
      CAPTURE(byte);
      std::string spoilt = framed;
      spoilt[at] = static_cast<char>(byte);
      ResponseReader reader(false, kMaxBytes);
      ReadAll(reader, spoilt, spoilt.size());
      reader.OnEnd(true);
      if (reader.state() == State::kDone) {
        CHECK(reader.TakeResponse().body == body);
      }
    }
  }
}

// Guards against a request on a connection that its server closes.
TEST_CASE("a connection is not kept if any Connection option says close") {
  for (const std::string connection :
       {"Connection: x, Close\r\n", "Connection: keep-alive , close\r\n",
        "Connection: close,\r\n",
        "Connection: keep-alive\r\nConnection: close\r\n"}) {
    CAPTURE(connection);
    ResponseReader reader(false, kMaxBytes);
    ReadAll(reader, kStatusLine + connection + "Content-Length: 0\r\n\r\n", 99);
    REQUIRE(reader.state() == State::kDone);
    CHECK_FALSE(reader.keep_alive());
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
