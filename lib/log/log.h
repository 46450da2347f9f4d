#ifndef LIB_LOG_LOG_H_
#define LIB_LOG_LOG_H_

#include <initializer_list>
#include <sstream>
#include <string>

namespace applestand {

/// Everything that is logged, by number. See events.def.
enum class Event {
// NOLINTNEXTLINE(bugprone-macro-parentheses): the name is not an expression.
#define APPLESTAND_EVENT(number, name, severity, text) name = number,
#include "lib/log/events.def"
#undef APPLESTAND_EVENT
};

/// One "name=value" pair of a log line.
struct LogField {
  template <class T>
  LogField(const char* field_name, const T& field_value) : name(field_name) {
    std::ostringstream out;
    out << field_value;
    value = out.str();
  }

  const char* name;
  std::string value;
};

/// Sends log lines to standard error. Call once, first in main.
void InitLogging(const char* program);

/// Sends log lines to standard output instead, through a buffer that never
/// waits and bounds their rate; FlushLog writes them. For programs whose log
/// lines all come from one thread. Call once, first in main.
void InitBufferedLogging();

/// Writes what standard output takes at once, and reports dropped lines.
void FlushLog();

/// Writes one line: "E<number> <name> field=value ...". Values with spaces are
/// quoted. Thread-safe.
void LogEvent(Event event, std::initializer_list<LogField> fields = {});

}  // namespace applestand

#endif  // LIB_LOG_LOG_H_
