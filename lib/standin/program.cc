#include "lib/standin/program.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace applestand {

namespace {

constexpr char kVersion[] = "0.1.0";

}  // namespace

int RunStandin(int argc,
               char** argv,
               const std::string& name,
               cxxopts::Options options,
               const std::function<int(const cxxopts::ParseResult&)>& serve) {
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return EXIT_SUCCESS;
    }
    if (arguments.count("version") > 0) {
      std::cout << name << " " << kVersion << "\n";
      return EXIT_SUCCESS;
    }
    return serve(arguments);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}

}  // namespace applestand
