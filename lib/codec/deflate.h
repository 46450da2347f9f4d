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

/// Data compressed in the zlib format (RFC 1950).
struct Deflated {
  /// Size of the uncompressed data in bytes. 0 means no data; `bytes` is then
  /// empty.
  uint64_t uncompressed_size = 0;
  std::string bytes;

  MSGPACK_DEFINE(uncompressed_size, bytes)
};

/// Compresses `plain`, which may be empty. Throws std::runtime_error if memory
/// runs out. Thread-safe.
Deflated Deflate(std::string_view plain);

/// Decompresses `deflated`. Returns std::nullopt and sets `reason` if the data
/// is corrupt or its uncompressed size exceeds `max_bytes`. Thread-safe.
[[nodiscard]] std::optional<std::string> Inflate(const Deflated& deflated,
                                                 size_t max_bytes,
                                                 Reason& reason);

}  // namespace applestand

#endif  // LIB_CODEC_DEFLATE_H_
