#ifndef LIB_STANDIN_PROGRAM_H_
#define LIB_STANDIN_PROGRAM_H_

#include <functional>
#include <string>

#include <cxxopts.hpp>

namespace applestand {

/// The main function of a stand-in: handles --help and --version, which
/// `options` must have, then calls `serve`. Wrong arguments and a
/// std::exception that leaves `serve` are told on standard error. Returns the
/// exit code.
int RunStandin(int argc,
               char** argv,
               const std::string& name,
               cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult&)>& serve);

}  // namespace applestand

#endif  // LIB_STANDIN_PROGRAM_H_
