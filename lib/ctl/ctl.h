#ifndef LIB_CTL_CTL_H_
#define LIB_CTL_CTL_H_

#include <ostream>

#include "lib/ctl/arguments.h"

namespace applestand {

/// Exit codes of applestandctl besides those of all programs.
constexpr int kExitConflict = 3;
constexpr int kExitRefused = 4;
constexpr int kExitUnavailable = 5;
constexpr int kExitUnknown = 6;

/// Runs one command; `out` gets its result, `err` its errors.
int RunCtl(const CtlArguments& arguments, std::ostream& out, std::ostream& err);

}  // namespace applestand

#endif  // LIB_CTL_CTL_H_
