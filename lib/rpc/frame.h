#ifndef LIB_RPC_FRAME_H_
#define LIB_RPC_FRAME_H_

#include <nng/nng.h>

#include <cstdint>
#include <optional>
#include <string>

namespace applestand {

/// The content of one transport message: a correlation id, a code (the
/// MessageKind of a call, or the status of a reply) and the payload.
struct Frame {
  uint64_t correlation = 0;
  uint16_t code = 0;
  std::string payload;
};

constexpr uint16_t kStatusReplied = 0;
/// The handler dropped the call without a reply.
constexpr uint16_t kStatusDropped = 1;

/// Creates a transport message, which the caller owns. Throws
/// std::runtime_error if it cannot be allocated.
nng_msg* ToMessage(const Frame& frame);

/// Parses and frees a transport message. Returns std::nullopt if it is too
/// short.
std::optional<Frame> FromMessage(nng_msg* message);

/// Throws std::runtime_error with `what` in its text if `code` is an nng error.
void RequireOk(int code, const char* what);

}  // namespace applestand

#endif  // LIB_RPC_FRAME_H_
