#ifndef LIB_CTL_CHANGES_H_
#define LIB_CTL_CHANGES_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/config/change.h"
#include "lib/ctl/arguments.h"

namespace applestand {

/// What a command that changes the configuration wants, before it has an id.
struct WantedChange {
  Operation operation;
  /// Shown once after the change was taken, for example a new key's secret.
  std::string note;
};

/// Builds the changes of "<noun> <verb> [operand]", for example
/// "account put lenha --rate 50 --burst 100". Empty, with the reason, where
/// the command is wrong. `state` is the configuration in force. Thread-safe.
std::vector<WantedChange> BuildChanges(const CtlArguments& arguments,
                                       const ConfigState& state,
                                       Reason& reason);

/// Whether the command changes the configuration.
bool IsChangeCommand(const CtlArguments& arguments);

/// One line a command.
std::string ChangeCommandsHelp();

}  // namespace applestand

#endif  // LIB_CTL_CHANGES_H_
