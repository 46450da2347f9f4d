#ifndef LIB_DAEMON_VERSION_H_
#define LIB_DAEMON_VERSION_H_

namespace applestand {

constexpr const char* kVersion = "0.1.0";

}  // namespace applestand

#endif  // LIB_DAEMON_VERSION_H_
