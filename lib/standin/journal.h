#ifndef LIB_STANDIN_JOURNAL_H_
#define LIB_STANDIN_JOURNAL_H_

#include <fstream>
#include <string>
#include <vector>

#include "lib/base/clock.h"
#include "lib/http/message.h"

namespace applestand {

/// What a target knows about one request that it ran.
struct JournalEntry {
  std::string target;
  TimePoint start;
  /// Whether the target had been told to drain before.
  bool draining = false;
  HttpRequest request;
};

/// Lower-case hexadecimal SHA-256. Thread-safe.
std::string Sha256Hex(const std::string& bytes);

/// The requests that targets ran, in memory and, where a file is named, there
/// too, one JSON object a line:
///
///   {"target":"..","at_us":n,"draining":false,"method":"..","path":"..",
///    "headers":[["name","value"],..],"body_bytes":n,"body_sha256":"..",
///    "idempotency_key":".."|null}
///
/// `at_us` is the time since boot. Not thread-safe.
class Journal {
 public:
  /// Throws std::runtime_error where the file cannot be opened.
  explicit Journal(const std::string& file);

  /// Records a request; its line has left the process when this returns.
  void Record(const JournalEntry& entry);

  /// All lines as one JSON array.
  std::string ToJsonArray() const;

  size_t size() const { return m_lines.size(); }

 private:
  std::vector<std::string> m_lines;
  std::ofstream m_file;
};

}  // namespace applestand

#endif  // LIB_STANDIN_JOURNAL_H_
