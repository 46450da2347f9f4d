#ifndef LIB_CTL_ARGUMENTS_H_
#define LIB_CTL_ARGUMENTS_H_

#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"

namespace applestand {

/// The words and options of one applestandctl call. Not thread-safe.
class CtlArguments {
 public:
  /// Throws cxxopts::exceptions::exception on wrong use.
  CtlArguments(int argc, const char* const* argv);

  /// Words that are not options: the command and its operands.
  const std::vector<std::string>& words() const { return m_words; }

  bool Has(const std::string& option) const;
  std::string Text(const std::string& option) const;
  /// A number between the bounds; nothing, with the reason, otherwise.
  std::optional<double> Number(const std::string& option,
                               double min,
                               double max,
                               Reason& reason) const;

  /// Description of the options.
  static std::string OptionsHelp();

 private:
  cxxopts::ParseResult m_result;
  std::vector<std::string> m_words;
};

}  // namespace applestand

#endif  // LIB_CTL_ARGUMENTS_H_
