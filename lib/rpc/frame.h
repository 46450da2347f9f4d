#ifndef LIB_RPC_FRAME_H_
#define LIB_RPC_FRAME_H_

#include <nng/nng.h>

#include <cstdint>
#include <optional>
#include <string>

namespace applestand {

/// What travels in one transport message: a correlation id, a code (the kind
/// of a call, or the status of an answer), and the payload.
struct Frame {
  uint64_t correlation = 0;
  uint16_t code = 0;
  std::string payload;
};

constexpr uint16_t kStatusAnswered = 0;
constexpr uint16_t kStatusRefused = 1;

/// Makes a transport message; the caller owns it.
nng_msg* ToMessage(const Frame& frame);

/// Parses and frees a transport message; nothing where it is too short.
std::optional<Frame> FromMessage(nng_msg* message);

/// Throws std::runtime_error naming `what` where `code` is an nng error.
void RequireOk(int code, const char* what);

}  // namespace applestand

#endif  // LIB_RPC_FRAME_H_
