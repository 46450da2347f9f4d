#ifndef LIB_CTL_ARGUMENTS_H_
#define LIB_CTL_ARGUMENTS_H_

#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"

namespace applestand {

/// The command line of one applestandctl run. Not thread-safe.
class CtlArguments {
 public:
  /// Throws cxxopts::exceptions::exception if the options are invalid.
  CtlArguments(int argc, const char* const* argv);

  /// The command and its operands, without the options.
  const std::vector<std::string>& positional_arguments() const {
    return m_positional_arguments;
  }

  bool Has(const std::string& option) const;
  /// Returns the option's value, or an empty string if it is not given.
  std::string GetString(const std::string& option) const;
  /// Returns the option's value as a number. Returns std::nullopt and sets
  /// `reason` if it is missing, malformed or outside [min, max].
  std::optional<double> ParseNumber(const std::string& option,
                                    double min,
                                    double max,
                                    Reason& reason) const;

  /// Returns the help text for the options.
  static std::string OptionsHelp();

 private:
  cxxopts::ParseResult m_result;
  std::vector<std::string> m_positional_arguments;
};

}  // namespace applestand

#endif  // LIB_CTL_ARGUMENTS_H_
