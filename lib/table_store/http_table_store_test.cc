#include "lib/table_store/http_table_store.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "lib/http/raw_server.h"
#include "lib/table_store/wire.h"

namespace applestand {

namespace {

/// Responds to the first request with the body `first`, to all others with
/// `other`, and writes each response again when the next request has arrived on
/// its connection.
class RepeatingPlatform {
 public:
  RepeatingPlatform(bool names_attempts,
                    const std::string& first,
                    const std::string& other)
      : m_server([=](RawServer::Peer& peer, size_t index) {
          std::string last;
          for (int i = 0; peer.ReadRequest(); ++i) {
            const std::string& body = index == 0 && i == 0 ? first : other;
            const std::string response =
                "HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n" +
                (names_attempts ? peer.AttemptIdLine() : "") + "\r\n" + body;
            peer.Send(last + response);
            last = response;
          }
        }) {}

  PlatformEndpoint endpoint() const { return {m_server.address()}; }

 private:
  RawServer m_server;
};

RowWrite Write(const std::string& key) {
  return {key, RowVersion(0), "value"};
}

}  // namespace

// Guards against a transaction that is taken to have been applied because an
// earlier one was.
TEST_CASE("a second copy of a response does not count for a later write") {
  for (const bool names_attempts : {false, true}) {
    CAPTURE(names_attempts);
    RepeatingPlatform platform(names_attempts, EncodeStatus(TableStatus::kOk),
                               EncodeStatus(TableStatus::kConflict));
    HttpClient client;
    AttemptIdGenerator attempt_ids{Incarnation(1)};
    HttpTableService table(client, attempt_ids, platform.endpoint());
    CHECK(table.Transact({Write("a")}) == TableStatus::kOk);
    const TableStatus second = table.Transact({Write("b")});
    CHECK(second ==
          (names_attempts ? TableStatus::kUnknown : TableStatus::kConflict));
    CHECK(table.Transact({Write("c")}) == TableStatus::kConflict);
  }
}

// Guards against rows that an earlier read has asked for.
TEST_CASE("a second copy of a response does not count for a later read") {
  for (const bool names_attempts : {false, true}) {
    CAPTURE(names_attempts);
    RepeatingPlatform platform(names_attempts,
                               EncodeRows({{"a", "value", RowVersion(1)}}),
                               EncodeRows({}));
    HttpClient client;
    AttemptIdGenerator attempt_ids{Incarnation(1)};
    HttpTableService table(client, attempt_ids, platform.endpoint());
    CHECK(table.Read({"a"}).rows.size() == 1);
    const ReadResult second = table.Read({"b"});
    CHECK(second.rows.empty());
    CHECK(second.status ==
          (names_attempts ? TableStatus::kUnavailable : TableStatus::kOk));
    CHECK(table.Read({"b"}).status == TableStatus::kOk);
  }
}

// Guards against the content of an object that was read before.
TEST_CASE("a second copy of a response does not count for a later object") {
  for (const bool names_attempts : {false, true}) {
    CAPTURE(names_attempts);
    RepeatingPlatform platform(names_attempts, "one", "two");
    HttpClient client;
    AttemptIdGenerator attempt_ids{Incarnation(1)};
    HttpObjectStore objects(client, attempt_ids, platform.endpoint());
    CHECK(objects.Get("one").bytes == "one");
    CHECK(objects.Get("two").bytes != "one");
    CHECK(objects.Get("two").bytes == "two");
  }
}

}  // namespace applestand
