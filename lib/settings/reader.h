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

/// Reads the values of a TOML file by key. Collects all errors, each with file,
/// line, key and the allowed values, and reports keys of the file that were
/// never read as unknown. Keys are dotted, such as "entry.listen".
/// Not thread-safe.
class SettingsReader {
 public:
  /// Parses `text`, the content of `file`. The file name is used only in error
  /// messages.
  SettingsReader(std::string file, const std::string& text);
  ~SettingsReader();
  SettingsReader(const SettingsReader&) = delete;
  SettingsReader& operator=(const SettingsReader&) = delete;

  /// Validates a string. Returns std::nullopt if it is valid, otherwise a
  /// description of the allowed values.
  using Check = std::function<std::optional<std::string>(const std::string&)>;

  /// Returns a string that passes `check`. The key is required if `fallback` is
  /// std::nullopt.
  std::string String(const std::string& key,
                     const std::optional<std::string>& fallback,
                     const Check& check);
  /// Returns an integer in the closed range [min, max], or `fallback` if the
  /// key is absent or its value is invalid.
  int64_t Integer(const std::string& key,
                  int64_t fallback,
                  int64_t min,
                  int64_t max);
  /// Returns a number in the closed range [min, max], or `fallback` if the key
  /// is absent or its value is invalid.
  double Number(const std::string& key,
                double fallback,
                double min,
                double max);
  /// Like Integer, for a duration in milliseconds. By convention the name of
  /// such a key ends in "_ms".
  Duration Millis(const std::string& key,
                  Duration fallback,
                  Duration min,
                  Duration max);
  /// Returns a list of strings; empty if the key is absent.
  std::vector<std::string> Strings(const std::string& key, const Check& check);

  /// Returns all errors, including one for each key of the file that was never
  /// read. Call once, after all keys have been read: this moves the errors out.
  std::vector<std::string> Finish();

 private:
  class Document;

  void AddError(const std::string& key, const std::string& what);

  std::string m_file;
  std::unique_ptr<Document> m_document;
  std::set<std::string> m_known_keys;
  std::vector<std::string> m_errors;
};

/// Accepts "IPv4 address:port" with a numeric address.
std::optional<std::string> CheckAddress(const std::string& value);
/// Accepts 1 to 64 characters of a-z, 0-9, '-', '_' and '.'.
std::optional<std::string> CheckId(const std::string& value);
/// Accepts an empty string or what CheckAddress accepts.
std::optional<std::string> CheckOptionalAddress(const std::string& value);
/// Accepts 64 lower-case hexadecimal digits.
std::optional<std::string> CheckSha256(const std::string& value);

}  // namespace applestand

#endif  // LIB_SETTINGS_READER_H_
