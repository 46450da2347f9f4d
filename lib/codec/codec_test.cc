#include "lib/codec/codec.h"

#include <doctest/doctest.h>

namespace applestand {

namespace {

struct Sample {
  ClientAccountId account;
  ConfigVersion version;
  Duration wait{};
  Ran ran = Ran::kNotRun;
  MSGPACK_DEFINE(account, version, wait, ran)
};

}  // namespace

TEST_CASE("a message survives encoding") {
  const Sample sample{ClientAccountId("lenha"), ConfigVersion(7),
                      std::chrono::seconds(2), Ran::kMayHaveRun};
  Reason reason;
  const auto decoded = Decode<Sample>(Encode(sample), reason);
  REQUIRE(decoded.has_value());
  CHECK(decoded->account == sample.account);
  CHECK(decoded->version == sample.version);
  CHECK(decoded->wait == sample.wait);
  CHECK(decoded->ran == sample.ran);
}

TEST_CASE("garbage, a cut message and trailing bytes are refused") {
  const std::string whole = Encode(Sample{ClientAccountId("a"), {}, {}, {}});
  Reason reason;
  CHECK_FALSE(Decode<Sample>("\xc1garbage", reason).has_value());
  CHECK_FALSE(Decode<Sample>(whole.substr(0, whole.size() - 1), reason));
  CHECK_FALSE(Decode<Sample>(whole + "x", reason).has_value());
  CHECK(reason.text == "bytes after the end of the message");
}

}  // namespace applestand
