#ifndef LIB_DAEMON_DAEMON_H_
#define LIB_DAEMON_DAEMON_H_

#include <functional>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/event_loop.h"
#include "lib/base/ids.h"
#include "lib/settings/host_settings.h"

namespace applestand {

/// Exit codes of all programs.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// The main function of a host's daemon: handles --help, --version, --check and
/// --settings, starts logging, then calls `run`. A std::exception that leaves
/// `run` becomes a log event. Returns the exit code.
int DaemonMain(int argc,
               char** argv,
               const std::string& program,
               const std::string& purpose,
               const std::function<int(const HostSettings&)>& run);

/// A number that this host never used before, from the wall clock and chance.
Incarnation NewIncarnation();

/// Splits "IP:port", which was checked before.
std::string IpOf(const std::string& address);
uint16_t PortOf(const std::string& address);

/// Runs `loop` on this thread until SIGTERM or SIGINT has led `on_stop` to
/// stop it. Call before any other thread is started, so that the signals reach
/// this function's own waiter; `start` begins the work.
class SignalWatcher {
 public:
  /// Blocks the signals in this thread and those it starts.
  SignalWatcher();

  /// Runs the loop; `on_stop` runs on it at the first signal. A second signal
  /// ends the process.
  void RunLoop(EventLoop& loop, const std::function<void()>& on_stop);
};

}  // namespace applestand

#endif  // LIB_DAEMON_DAEMON_H_
