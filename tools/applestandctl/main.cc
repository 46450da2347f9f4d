#include <iostream>

#include "lib/ctl/ctl.h"
#include "lib/daemon/daemon.h"

int main(int argc, char** argv) {
  try {
    const applestand::CtlArguments arguments(argc, argv);
    return applestand::RunCtl(arguments, std::cout, std::cerr);
  } catch (const std::exception& error) {
    std::cerr << "applestandctl: " << error.what() << "; see --help\n";
    return applestand::kExitUsage;
  }
}
