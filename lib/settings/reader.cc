#include "lib/settings/reader.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace applestand {

namespace {

void CollectKeys(const toml::table& table,
                 const std::string& prefix,
                 std::vector<std::pair<std::string, toml::source_index>>& out) {
  for (const auto& [key, node] : table) {
    const std::string path = prefix + std::string(key.str());
    if (const toml::table* child = node.as_table()) {
      CollectKeys(*child, path + ".", out);
    } else {
      out.emplace_back(path, node.source().begin.line);
    }
  }
}

template <class T>
std::string FormatRange(T min, T max) {
  std::ostringstream out;
  out << "from " << min << " to " << max;
  return out.str();
}

}  // namespace

class SettingsReader::Document {
 public:
  explicit Document(toml::table root) : m_root(std::move(root)) {}

  toml::node_view<const toml::node> At(const std::string& key) const {
    return toml::node_view<const toml::node>(m_root).at_path(key);
  }
  const toml::table& root() const { return m_root; }

 private:
  toml::table m_root;
};

SettingsReader::SettingsReader(std::string file, const std::string& text)
    : m_file(std::move(file)) {
  try {
    m_document = std::make_unique<Document>(toml::parse(text, m_file));
  } catch (const toml::parse_error& error) {
    std::ostringstream out;
    out << m_file << ":" << error.source().begin.line << ": "
        << error.description();
    m_errors.push_back(out.str());
    m_document = std::make_unique<Document>(toml::table());
  }
}

SettingsReader::~SettingsReader() = default;

void SettingsReader::AddError(const std::string& key, const std::string& what) {
  std::ostringstream out;
  out << m_file << ":";
  if (const toml::node* node = m_document->At(key).node()) {
    out << node->source().begin.line << ":";
  }
  out << " " << key << ": " << what;
  m_errors.push_back(out.str());
}

std::string SettingsReader::String(const std::string& key,
                                   const std::optional<std::string>& fallback,
                                   const Check& check) {
  m_known_keys.insert(key);
  const auto node = m_document->At(key);
  if (!node && fallback) {
    return *fallback;
  }
  if (!node) {
    AddError(key, "is missing; " + check("").value_or("allowed: a string"));
    return "";
  }
  const std::optional<std::string> value = node.value_exact<std::string>();
  if (!value) {
    AddError(key, "must be a string");
    return "";
  }
  if (const auto allowed = check(*value)) {
    AddError(key, "is \"" + *value + "\"; " + *allowed);
  }
  return *value;
}

int64_t SettingsReader::Integer(const std::string& key,
                                int64_t fallback,
                                int64_t min,
                                int64_t max) {
  m_known_keys.insert(key);
  const auto node = m_document->At(key);
  if (!node) {
    return fallback;
  }
  const std::optional<int64_t> value = node.value_exact<int64_t>();
  if (!value || *value < min || *value > max) {
    AddError(key, "allowed: a whole number " + FormatRange(min, max));
    return fallback;
  }
  return *value;
}

double SettingsReader::Number(const std::string& key,
                              double fallback,
                              double min,
                              double max) {
  m_known_keys.insert(key);
  const auto node = m_document->At(key);
  if (!node) {
    return fallback;
  }
  const std::optional<double> value = node.value<double>();
  if (!value || !(*value >= min && *value <= max)) {
    AddError(key, "allowed: a number " + FormatRange(min, max));
    return fallback;
  }
  return *value;
}

Duration SettingsReader::Millis(const std::string& key,
                                Duration fallback,
                                Duration min,
                                Duration max) {
  return std::chrono::milliseconds(
      Integer(key, ToMillis(fallback), ToMillis(min), ToMillis(max)));
}

std::vector<std::string> SettingsReader::Strings(const std::string& key,
                                                 const Check& check) {
  m_known_keys.insert(key);
  std::vector<std::string> out;
  const auto node = m_document->At(key);
  if (!node) {
    return out;
  }
  const toml::array* array = node.as_array();
  if (array == nullptr) {
    AddError(key, "must be a list of strings");
    return out;
  }
  for (const toml::node& element : *array) {
    const std::optional<std::string> value = element.value_exact<std::string>();
    if (!value) {
      AddError(key, "must be a list of strings");
      continue;
    }
    if (const auto allowed = check(*value)) {
      AddError(key, "has \"" + *value + "\"; " + *allowed);
    }
    out.push_back(*value);
  }
  return out;
}

std::vector<std::string> SettingsReader::Finish() {
  std::vector<std::pair<std::string, toml::source_index>> keys;
  CollectKeys(m_document->root(), "", keys);
  for (const auto& [key, line] : keys) {
    if (m_known_keys.count(key) == 0) {
      AddError(key, "is not a known setting");
    }
  }
  return std::move(m_errors);
}

std::optional<std::string> CheckAddress(const std::string& value) {
  const std::string allowed =
      "allowed: an IPv4 number and a port, as in 127.0.0.1:8080";
  const size_t colon = value.rfind(':');
  if (colon == std::string::npos) {
    return allowed;
  }
  in_addr address{};
  if (inet_pton(AF_INET, value.substr(0, colon).c_str(), &address) != 1) {
    return allowed;
  }
  const std::string port = value.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= 5 &&
                      std::all_of(port.begin(), port.end(),
                                  [](char c) { return c >= '0' && c <= '9'; });
  if (!digits || std::stoi(port) > 65535) {
    return allowed;
  }
  return std::nullopt;
}

std::optional<std::string> CheckOptionalAddress(const std::string& value) {
  return value.empty() ? std::nullopt : CheckAddress(value);
}

std::optional<std::string> CheckId(const std::string& value) {
  const bool valid = !value.empty() && value.size() <= 64 &&
                     std::all_of(value.begin(), value.end(), [](char c) {
                       return (c >= 'a' && c <= 'z') ||
                              (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                              c == '.';
                     });
  if (valid) {
    return std::nullopt;
  }
  return "allowed: 1 to 64 characters of a-z, 0-9, '-', '_' and '.'";
}

std::optional<std::string> CheckSha256(const std::string& value) {
  const bool valid =
      value.size() == 64 && std::all_of(value.begin(), value.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
      });
  if (valid) {
    return std::nullopt;
  }
  return "allowed: 64 lower-case hexadecimal digits (SHA-256)";
}

}  // namespace applestand
