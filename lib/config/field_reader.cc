#include "lib/config/field_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace applestand {

namespace {

using nlohmann::json;

constexpr int64_t kMaxDurationMs = std::numeric_limits<uint32_t>::max();

bool Convert(const json& value, std::string& out) {
  if (!value.is_string()) {
    return false;
  }
  out = value.get<std::string>();
  return true;
}

bool Convert(const json& value, double& out) {
  if (!value.is_number()) {
    return false;
  }
  out = value.get<double>();
  return true;
}

bool Convert(const json& value, uint64_t& out) {
  if (!value.is_number_unsigned()) {
    return false;
  }
  out = value.get<uint64_t>();
  return true;
}

bool Convert(const json& value, uint32_t& out) {
  uint64_t wide = 0;
  if (!Convert(value, wide) || wide > std::numeric_limits<uint32_t>::max()) {
    return false;
  }
  out = static_cast<uint32_t>(wide);
  return true;
}

bool Convert(const json& value, bool& out) {
  if (!value.is_boolean()) {
    return false;
  }
  out = value.get<bool>();
  return true;
}

bool Convert(const json& value, std::vector<std::string>& out) {
  const auto is_string = [](const json& item) { return item.is_string(); };
  if (!value.is_array() ||
      !std::all_of(value.begin(), value.end(), is_string)) {
    return false;
  }
  out = value.get<std::vector<std::string>>();
  return true;
}

const char* DescribeType(const std::string& /*out*/) {
  return "a string";
}
const char* DescribeType(double /*out*/) {
  return "a number";
}
const char* DescribeType(uint64_t /*out*/) {
  return "a whole number, 0 or more";
}
const char* DescribeType(uint32_t /*out*/) {
  return "a whole number from 0 to 4294967295";
}
const char* DescribeType(bool /*out*/) {
  return "true or false";
}
const char* DescribeType(const std::vector<std::string>& /*out*/) {
  return "a list of strings";
}

}  // namespace

FieldReader::FieldReader(const json& object,
                         std::string object_name,
                         Reason& reason)
    : m_object(object),
      m_object_name(std::move(object_name)),
      m_reason(reason) {
  if (!object.is_object()) {
    m_ok = false;
    m_reason.text = m_object_name + " must be an object";
  }
}

template <class T>
void FieldReader::Read(const char* name, bool required, T& out) {
  const json* value = Find(name, required);
  if (value != nullptr && !Convert(*value, out)) {
    Fail(name, std::string("must be ") + DescribeType(out));
  }
}

template void FieldReader::Read(const char*, bool, std::string&);
template void FieldReader::Read(const char*, bool, double&);
template void FieldReader::Read(const char*, bool, uint64_t&);
template void FieldReader::Read(const char*, bool, uint32_t&);
template void FieldReader::Read(const char*, bool, bool&);
template void FieldReader::Read(const char*, bool, std::vector<std::string>&);

void FieldReader::Optional(const char* name, Duration& out) {
  uint64_t millis = ToMillis(out);
  Read(name, false, millis);
  if (millis > static_cast<uint64_t>(kMaxDurationMs)) {
    Fail(name, "must be at most 4294967295 milliseconds");
    return;
  }
  out = std::chrono::milliseconds(millis);
}

const json* FieldReader::RequiredObject(const char* name) {
  const json* value = Find(name, true);
  if (value != nullptr && !value->is_object()) {
    Fail(name, "must be an object");
    return nullptr;
  }
  return value;
}

bool FieldReader::Finish() {
  if (!m_ok) {
    return false;
  }
  for (const auto& [name, value] : m_object.items()) {
    if (m_read_names.count(name) == 0) {
      Fail(name, "is not a known field");
      return false;
    }
  }
  return true;
}

const json* FieldReader::Find(const char* name, bool required) {
  if (!m_ok) {
    return nullptr;
  }
  m_read_names.insert(name);
  const auto it = m_object.find(name);
  if (it != m_object.end()) {
    return &*it;
  }
  if (required) {
    Fail(name, "is missing");
  }
  return nullptr;
}

void FieldReader::Fail(const std::string& name, const std::string& error) {
  if (m_ok) {
    m_ok = false;
    m_reason.text = m_object_name + "." + name + " " + error;
  }
}

}  // namespace applestand
