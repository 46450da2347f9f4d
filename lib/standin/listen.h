#ifndef LIB_STANDIN_LISTEN_H_
#define LIB_STANDIN_LISTEN_H_

#include <cstdint>
#include <optional>
#include <string>

#include "lib/base/event_loop.h"
#include "lib/base/verdict.h"

namespace applestand {

/// An IP number and port to listen on.
struct ListenAddress {
  std::string ip;
  uint16_t port = 0;
};

/// Parses "IP:port"; nothing, with the reason, for anything else.
[[nodiscard]] std::optional<ListenAddress> ParseListenAddress(
    const std::string& text,
    Reason& reason);

/// Blocks SIGINT and SIGTERM in this thread and all that it starts later.
void BlockStopSignals();

/// Runs `loop` until SIGINT or SIGTERM arrives. Precondition:
/// BlockStopSignals was called before any thread was started.
void RunUntilStopSignal(EventLoop& loop);

}  // namespace applestand

#endif  // LIB_STANDIN_LISTEN_H_
