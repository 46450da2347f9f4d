#include "lib/rpc/frame.h"

#include <stdexcept>

namespace applestand {

nng_msg* ToMessage(const Frame& frame) {
  nng_msg* message = nullptr;
  RequireOk(nng_msg_alloc(&message, 0), "allocate message");
  RequireOk(nng_msg_append_u64(message, frame.correlation), "append");
  RequireOk(nng_msg_append_u16(message, frame.code), "append");
  RequireOk(nng_msg_append(message, frame.payload.data(), frame.payload.size()),
            "append");
  return message;
}

std::optional<Frame> FromMessage(nng_msg* message) {
  Frame frame;
  const bool complete = nng_msg_trim_u64(message, &frame.correlation) == 0 &&
                        nng_msg_trim_u16(message, &frame.code) == 0;
  if (complete) {
    frame.payload.assign(static_cast<const char*>(nng_msg_body(message)),
                         nng_msg_len(message));
  }
  nng_msg_free(message);
  if (!complete) {
    return std::nullopt;
  }
  return frame;
}

void RequireOk(int code, const char* what) {
  if (code != 0) {
    throw std::runtime_error(std::string(what) + ": " + nng_strerror(code));
  }
}

}  // namespace applestand
