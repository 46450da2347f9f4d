#include "lib/codec/deflate.h"

#include <doctest/doctest.h>

namespace applestand {

TEST_CASE("any data, also empty, is unchanged after Deflate and Inflate") {
  for (const std::string& plain :
       {std::string(), std::string("x"), std::string(100000, 'a'),
        std::string("\0\xff\x01", 3)}) {
    Reason reason;
    const auto inflated = Inflate(Deflate(plain), plain.size(), reason);
    REQUIRE(inflated.has_value());
    CHECK(*inflated == plain);
  }
}

TEST_CASE("Inflate rejects corrupt data and data above the size limit") {
  Reason reason;
  Deflated deflated = Deflate(std::string(1000, 'a'));
  CHECK_FALSE(Inflate(deflated, 999, reason).has_value());
  CHECK(reason.text ==
        "uncompressed size of 1000 bytes exceeds the limit of 999");
  deflated.uncompressed_size = 1001;
  CHECK_FALSE(Inflate(deflated, 2000, reason).has_value());
  deflated.uncompressed_size = 999;
  CHECK_FALSE(Inflate(deflated, 2000, reason).has_value());
  CHECK_FALSE(Inflate({5, "no zlib"}, 2000, reason).has_value());
  CHECK(reason.text == "inflate: data error");
}

}  // namespace applestand
