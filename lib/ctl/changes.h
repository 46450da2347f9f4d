#ifndef LIB_CTL_CHANGES_H_
#define LIB_CTL_CHANGES_H_

#include <optional>
#include <string>
#include <vector>

#include "lib/config/change.h"
#include "lib/ctl/arguments.h"

namespace applestand {

/// A configuration change requested by a command, without its change id and
/// author.
struct ChangeRequest {
  Operation operation;
  /// A newly issued key in the form "ID.SECRET", otherwise empty. The
  /// configuration stores only a hash of the secret, so the key must be printed
  /// when the change has been accepted; it cannot be shown later.
  std::string new_key;
};

/// Builds the changes of the command "<noun> <verb> <operand>", for example
/// "account put lenha --rate 50 --burst 100". `state` is the current
/// configuration. Returns an empty vector and sets `reason` if the command is
/// invalid. Thread-safe.
std::vector<ChangeRequest> BuildChanges(const CtlArguments& arguments,
                                        const ConfigState& state,
                                        Reason& reason);

/// Returns whether the command changes the configuration.
bool IsChangeCommand(const CtlArguments& arguments);

/// Returns the usage of all commands that change the configuration, one per
/// line.
std::string ChangeCommandsHelp();

}  // namespace applestand

#endif  // LIB_CTL_CHANGES_H_
