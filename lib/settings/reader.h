#ifndef LIB_SETTINGS_READER_H_
#define LIB_SETTINGS_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lib/base/clock.h"

namespace applestand {

/// Reads one TOML file key by key, collects every error with file, line, key
/// and what is allowed, and refuses keys that nobody asked for.
/// Keys are dotted: "entry.listen". Not thread-safe.
class SettingsReader {
 public:
  /// Parses `text`, which was read from `file` (used in errors only).
  SettingsReader(std::string file, const std::string& text);
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /// Checks a string; returns nothing where it is fine, else what is allowed.
  using Check = std::function<std::optional<std::string>(const std::string&)>;

  /// A required string, where `fallback` is absent.
  std::string String(const std::string& key,
                     const std::optional<std::string>& fallback,
                     const Check& check);
  /// A whole number between the bounds, both allowed.
  int64_t Integer(const std::string& key,
                  int64_t fallback,
                  int64_t min,
                  int64_t max);
  /// A number between the bounds, both allowed.
  double Number(const std::string& key,
                double fallback,
                double min,
                double max);
  /// Milliseconds, from a key whose name ends in "_ms".
  Duration Millis(const std::string& key,
                  Duration fallback,
                  Duration min,
                  Duration max);
  /// A list of strings; empty where the key is absent.
  std::vector<std::string> Strings(const std::string& key, const Check& check);

  /// Every error so far, and one for each key that was never read.
  std::vector<std::string> Finish();

 private:
  class Document;

  void AddError(const std::string& key, const std::string& what);

  std::string m_file;
  std::unique_ptr<Document> m_document;
  std::set<std::string> m_known;
  std::vector<std::string> m_errors;
};

/// Allows "IPv4 number:port".
std::optional<std::string> CheckAddress(const std::string& value);
/// Allows 1 to 64 characters of a-z, 0-9, '-', '_' and '.'.
std::optional<std::string> CheckId(const std::string& value);
/// Allows an empty string or an address.
std::optional<std::string> CheckOptionalAddress(const std::string& value);
/// Allows 64 lower-case hexadecimal digits.
std::optional<std::string> CheckSha256(const std::string& value);

}  // namespace applestand

#endif  // LIB_SETTINGS_READER_H_
