#ifndef LIB_DAEMON_DAEMON_H_
#define LIB_DAEMON_DAEMON_H_

#include <functional>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/event_loop.h"
#include "lib/base/ids.h"
#include "lib/settings/host_settings.h"

namespace applestand {

/// Exit codes of all programs. kExitUsage stands for invalid arguments or
/// settings.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// Main function of a host's daemon. Handles --help, --version, --check and
/// --settings, initializes logging, and calls `run` with the settings. Logs a
/// std::exception that `run` throws and returns kExitFailed. Returns the exit
/// code of the process.
int DaemonMain(int argc,
               char** argv,
               const std::string& program,
               const std::string& purpose,
               const std::function<int(const HostSettings&)>& run);

/// Returns an incarnation number that this host has not used before, made of
/// the wall-clock time and random bits.
Incarnation NewIncarnation();

/// Return the parts of an address. Precondition: `address` is a valid
/// "IP:port".
std::string IpOf(const std::string& address);
uint16_t PortOf(const std::string& address);

/// Handles SIGTERM and SIGINT. Must be constructed before any other thread is
/// started, so that all threads inherit the signal mask and only the thread of
/// RunLoop receives the signals.
class SignalWatcher {
 public:
  /// Blocks the signals in the calling thread and in all threads that it starts
  /// later.
  SignalWatcher();

  /// Runs `loop` on the calling thread until it is stopped. At the first
  /// signal, calls `on_stop` on the loop, which must lead to the loop's stop.
  /// At the second signal, exits the process with kExitFailed.
  void RunLoop(EventLoop& loop, const std::function<void()>& on_stop);
};

}  // namespace applestand

#endif  // LIB_DAEMON_DAEMON_H_
