#ifndef LIB_CODEC_DEFLATE_H_
#define LIB_CODEC_DEFLATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "lib/base/verdict.h"
#include "lib/codec/codec.h"

namespace applestand {

/// Bytes in zlib's format.
struct Deflated {
  /// Size of the plain bytes; 0: there are none, and `bytes` is empty.
  uint64_t plain_size = 0;
  std::string bytes;

  MSGPACK_DEFINE(plain_size, bytes)
};

/// Thread-safe.
Deflated Deflate(std::string_view plain);

/// Nothing, with the reason, where the bytes are damaged or their plain form is
/// larger than `max_bytes`. Thread-safe.
[[nodiscard]] std::optional<std::string> Inflate(const Deflated& deflated,
                                                 size_t max_bytes,
                                                 Reason& reason);

}  // namespace applestand

#endif  // LIB_CODEC_DEFLATE_H_
