#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "lib/http/request_reader.h"

namespace applestand {

namespace {

constexpr char kSeed[] = "seed=20261203 max_success=2000";
constexpr size_t kBudgetBytes = 1 << 20;

/// What a reader returned for a stream.
struct Outcome {
  std::vector<std::string> requests;
  int refusal = 0;
  size_t held = 0;

  bool operator==(const Outcome& other) const {
    return requests == other.requests && refusal == other.refusal &&
           held == other.held;
  }
};

std::string Describe(const HttpRequest& request) {
  std::string text = request.method + " " + request.target;
  for (const HttpHeader& header : request.headers) {
    text += "|" + header.name + "=" + header.value;
  }
  return text + "|" + request.body;
}

/// Feeds a stream in pieces of at most `piece` bytes.
Outcome ReadAll(const std::string& stream, size_t piece) {
  ByteBudget budget(kBudgetBytes);
  RequestReader reader({256, 512}, budget);
  Outcome outcome;
  std::string pending;
  for (size_t at = 0; at < stream.size(); at += piece) {
    pending += stream.substr(at, piece);
    while (!pending.empty() && outcome.refusal == 0) {
      pending.erase(0, reader.Read(pending));
      if (reader.state() == RequestReader::State::kRefused) {
        outcome.refusal = reader.refusal().status;
      } else if (reader.state() == RequestReader::State::kDone) {
        ByteReservation reservation(budget);
        outcome.requests.push_back(Describe(reader.TakeRequest(reservation)));
        reader.Reset();
      }
    }
  }
  outcome.held = budget.held();
  return outcome;
}

/// Generates parts of streams that resemble requests.
rc::Gen<std::string> Fragment() {
  return rc::gen::element<std::string>(
      "GET / HTTP/1.1\r\n", "POST /a?b HTTP/1.1\r\n", "Host: h\r\n",
      "Content-Length: 3\r\n", "Content-Length: 700\r\n",
      "Transfer-Encoding: chunked\r\n", "Expect: 100-continue\r\n", "X-Key: k",
      "\r\n", "\r\n\r\n", "\n", "\r", "abc", "3\r\nabc\r\n", "0\r\n\r\n", "1F",
      ";", ":", " ", std::string(1, '\0'), std::string(100, 'x'));
}

}  // namespace

TEST_CASE("the pieces in which a stream arrives do not change what is read") {
  setenv("RC_PARAMS", kSeed, 1);
  CHECK(rc::check([] {
    const auto fragments =
        *rc::gen::container<std::vector<std::string>>(Fragment());
    std::string stream = "POST /a HTTP/1.1\r\nHost: h\r\n";
    for (const std::string& fragment : fragments) {
      stream += fragment;
    }
    const auto piece = *rc::gen::inRange<size_t>(1, 40);
    RC_ASSERT(ReadAll(stream, piece) == ReadAll(stream, stream.size()));
  }));
}

TEST_CASE("well-formed requests with arbitrary bodies are read one by one") {
  setenv("RC_PARAMS", kSeed, 1);
  CHECK(rc::check([] {
    const auto bodies = *rc::gen::container<std::vector<std::string>>(
        rc::gen::string<std::string>());
    std::string stream;
    for (const std::string& body : bodies) {
      stream += "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    const auto piece = *rc::gen::inRange<size_t>(1, 40);
    const Outcome outcome = ReadAll(stream, piece);
    RC_ASSERT(outcome.refusal == 0);
    RC_ASSERT(outcome.held == 0u);
    RC_ASSERT(outcome.requests.size() == bodies.size());
    for (size_t i = 0; i < bodies.size(); ++i) {
      const std::string& request = outcome.requests[i];
      RC_ASSERT(request.substr(request.size() - bodies[i].size()) == bodies[i]);
    }
  }));
}

}  // namespace applestand
