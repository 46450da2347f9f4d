#include "lib/standin/listen.h"

#include <signal.h>

#include <charconv>
#include <thread>

namespace applestand {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

std::optional<ListenAddress> ParseListenAddress(const std::string& text,
                                                Reason& reason) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    reason.text = "'" + text + "' is not IP:port";
    return std::nullopt;
  }
  ListenAddress address;
  address.ip = text.substr(0, colon);
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(begin, end, address.port);
  if (error != std::errc() || rest != end) {
    reason.text = "'" + text + "' has no port from 0 to 65535";
    return std::nullopt;
  }
  return address;
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void RunUntilStopSignal(EventLoop& loop) {
  std::thread waiter([&loop] {
    const sigset_t signals = StopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    loop.Stop();
  });
  loop.Run();
  waiter.join();
}

}  // namespace applestand
