#ifndef LIB_FLEET_ROW_KEY_H_
#define LIB_FLEET_ROW_KEY_H_

#include <string>
#include <string_view>

namespace applestand {

/// Returns whether a row's key begins with `prefix`, which tells the kind of
/// the row.
inline bool HasKeyPrefix(const std::string& key, std::string_view prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace applestand

#endif  // LIB_FLEET_ROW_KEY_H_
