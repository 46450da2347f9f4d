#ifndef LIB_CTL_CTL_H_
#define LIB_CTL_CTL_H_

#include <ostream>

#include "lib/ctl/arguments.h"

namespace applestand {

// Exit codes of applestandctl in addition to those in lib/daemon/daemon.h.

/// The configuration is no longer at the expected version.
constexpr int kExitConflict = 3;
/// The request was rejected as invalid, or the requested item does not exist.
constexpr int kExitRefused = 4;
/// The store or the host is unavailable; the change was not made.
constexpr int kExitUnavailable = 5;
/// The outcome is unknown or not yet confirmed. The command can be repeated
/// safely with the same --change-id.
constexpr int kExitUnknown = 6;

/// Runs one command and returns its exit code. Writes the result to `out` and
/// errors to `err`.
int RunCtl(const CtlArguments& arguments, std::ostream& out, std::ostream& err);

}  // namespace applestand

#endif  // LIB_CTL_CTL_H_
