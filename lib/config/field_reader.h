#ifndef LIB_CONFIG_FIELD_READER_H_
#define LIB_CONFIG_FIELD_READER_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "lib/base/clock.h"
#include "lib/base/ids.h"
#include "lib/base/verdict.h"

namespace applestand {

/// Reads the fields of one JSON object into typed variables. The first error is
/// stored in `reason`; later calls then neither read fields nor report errors.
/// If a field read with Optional is absent, the variable keeps its value; a
/// list becomes empty.
///
/// Not thread-safe. The object and the reason must outlive the reader.
class FieldReader {
 public:
  /// `object_name` precedes the field names in error messages.
  FieldReader(const nlohmann::json& object,
              std::string object_name,
              Reason& reason);

  void Required(const char* name, std::string& out) { Read(name, true, out); }
  void Required(const char* name, double& out) { Read(name, true, out); }
  void Required(const char* name, uint32_t& out) { Read(name, true, out); }
  void Required(const char* name, std::vector<std::string>& out) {
    Read(name, true, out);
  }
  template <class Tag>
  void Required(const char* name, Id<Tag>& out) {
    std::string text;
    Required(name, text);
    out = Id<Tag>(text);
  }
  template <class Tag>
  void Required(const char* name, std::vector<Id<Tag>>& out) {
    std::vector<std::string> texts;
    Required(name, texts);
    out = ToIds<Tag>(texts);
  }

  void Optional(const char* name, std::string& out) { Read(name, false, out); }
  void Optional(const char* name, double& out) { Read(name, false, out); }
  void Optional(const char* name, uint32_t& out) { Read(name, false, out); }
  void Optional(const char* name, uint64_t& out) { Read(name, false, out); }
  void Optional(const char* name, bool& out) { Read(name, false, out); }
  /// The JSON value is a whole number of milliseconds.
  void Optional(const char* name, Duration& out);
  template <class Tag>
  void Optional(const char* name, std::vector<Id<Tag>>& out) {
    std::vector<std::string> texts;
    Read(name, false, texts);
    out = ToIds<Tag>(texts);
  }

  /// Returns the value of an object field. Fails and returns nullptr if the
  /// field is absent or is not an object.
  const nlohmann::json* RequiredObject(const char* name);

  /// Returns whether every read succeeded and the object has no field that was
  /// not read. Called after all reads; an unknown field is reported as an
  /// error.
  [[nodiscard]] bool Finish();

 private:
  template <class T>
  void Read(const char* name, bool required, T& out);
  const nlohmann::json* Find(const char* name, bool required);
  void Fail(const std::string& name, const std::string& error);

  template <class Tag>
  static std::vector<Id<Tag>> ToIds(const std::vector<std::string>& texts) {
    return std::vector<Id<Tag>>(texts.begin(), texts.end());
  }

  const nlohmann::json& m_object;
  std::string m_object_name;
  Reason& m_reason;
  bool m_ok = true;
  std::set<std::string> m_read_names;
};

}  // namespace applestand

#endif  // LIB_CONFIG_FIELD_READER_H_
