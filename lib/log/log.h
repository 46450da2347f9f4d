#ifndef LIB_LOG_LOG_H_
#define LIB_LOG_LOG_H_

#include <initializer_list>
#include <sstream>
#include <string>

#include "lib/log/line_buffer.h"

namespace applestand {

/// The events that can be logged; each value is the event's number. See
/// events.def.
enum class Event {
// NOLINTNEXTLINE(bugprone-macro-parentheses): the name is not an expression.
#define APPLESTAND_EVENT(number, name, severity, text) name = number,
#include "lib/log/events.def"
#undef APPLESTAND_EVENT
};

/// Returns the class of an event's lines: urgent above INFO; evidence if they
/// tell what a caller was told, or why. Thread-safe.
LineClass GetLineClass(Event event);

/// One "name=value" field of a log line. `field_name` must outlive the field.
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

/// Sends log lines to standard error. Must be called once, first in main,
/// unless InitBufferedLogging is called.
void InitLogging(const char* program);

/// Sends log lines to standard output through a LineBuffer, which never blocks
/// and limits their rate. FlushLog writes the buffered lines. Only for programs
/// that log from a single thread. Must be called once, first in main.
void InitBufferedLogging();

/// Writes as much of the buffer as standard output accepts without blocking.
/// Has no effect without InitBufferedLogging. Must be called on the thread that
/// logs.
void WriteLog();

/// Logs the numbers of dropped lines, if any, and calls WriteLog.
void FlushLog();

/// Logs one line "E<number> <name> field=value ...". Values that are empty or
/// contain a space, quote, '=' or line break are quoted, with line breaks
/// replaced by spaces. Thread-safe unless InitBufferedLogging has been called.
void LogEvent(Event event, std::initializer_list<LogField> fields = {});

}  // namespace applestand

#endif  // LIB_LOG_LOG_H_
