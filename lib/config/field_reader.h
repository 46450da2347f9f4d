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

/// Reads the fields of one JSON object into typed values. The first fault is
/// kept as the reason; later calls then change nothing. A field read by an
/// Optional call keeps its default where it is absent.
///
/// Single-threaded; the object and the reason outlive the reader.
class FieldReader {
 public:
  FieldReader(const nlohmann::json& object, std::string where, Reason& reason);

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
  /// In whole milliseconds.
  void Optional(const char* name, Duration& out);
  template <class Tag>
  void Optional(const char* name, std::vector<Id<Tag>>& out) {
    std::vector<std::string> texts;
    Read(name, false, texts);
    out = ToIds<Tag>(texts);
  }

  /// The value of an object field; null where it is absent or no object.
  const nlohmann::json* RequiredObject(const char* name);

  /// Whether every read succeeded and the object has no other field.
  [[nodiscard]] bool Done();

 private:
  template <class T>
  void Read(const char* name, bool required, T& out);
  const nlohmann::json* Find(const char* name, bool required);
  void Fail(const std::string& name, const std::string& fault);

  template <class Tag>
  static std::vector<Id<Tag>> ToIds(const std::vector<std::string>& texts) {
    return std::vector<Id<Tag>>(texts.begin(), texts.end());
  }

  const nlohmann::json& m_object;
  std::string m_where;
  Reason& m_reason;
  bool m_ok = true;
  std::set<std::string> m_seen;
};

}  // namespace applestand

#endif  // LIB_CONFIG_FIELD_READER_H_
