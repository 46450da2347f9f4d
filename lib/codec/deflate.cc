#include "lib/codec/deflate.h"

#include <zlib.h>

#include <stdexcept>

namespace applestand {

namespace {

const Bytef* Input(std::string_view bytes) {
  return reinterpret_cast<const Bytef*>(bytes.data());
}

Bytef* Output(std::string& bytes) {
  return reinterpret_cast<Bytef*>(bytes.data());
}

}  // namespace

Deflated Deflate(std::string_view plain) {
  Deflated out;
  if (plain.empty()) {
    return out;
  }
  out.uncompressed_size = plain.size();
  uLongf size = compressBound(plain.size());
  out.bytes.resize(size);
  const int result = compress2(Output(out.bytes), &size, Input(plain),
                               plain.size(), Z_BEST_SPEED);
  if (result != Z_OK) {
    // compressBound() makes the buffer large enough for any input, so the only
    // possible error is lack of memory.
    throw std::runtime_error(std::string("deflate: ") + zError(result));
  }
  out.bytes.resize(size);
  return out;
}

std::optional<std::string> Inflate(const Deflated& deflated,
                                   size_t max_bytes,
                                   Reason& reason) {
  if (deflated.uncompressed_size > max_bytes) {
    reason.text = "uncompressed size of " +
                  std::to_string(deflated.uncompressed_size) +
                  " bytes exceeds the limit of " + std::to_string(max_bytes);
    return std::nullopt;
  }
  std::string plain(deflated.uncompressed_size, '\0');
  if (deflated.uncompressed_size == 0) {
    return plain;
  }
  uLongf size = plain.size();
  const int result = uncompress(Output(plain), &size, Input(deflated.bytes),
                                deflated.bytes.size());
  if (result != Z_OK || size != plain.size()) {
    reason.text = std::string("inflate: ") + zError(result);
    return std::nullopt;
  }
  return plain;
}

}  // namespace applestand
