#include "lib/log/log.h"

#include <glog/logging.h>
#include <unistd.h>

#include <chrono>
#include <memory>

namespace applestand {

namespace {

struct EventInfo {
  const char* name;
  int severity;
};

EventInfo GetEventInfo(Event event) {
  switch (event) {
#define APPLESTAND_EVENT(number, name, severity, text) \
  case Event::name:                                    \
    return {#name, google::GLOG_##severity};
#include "lib/log/events.def"
#undef APPLESTAND_EVENT
  }
  return {"unknown", google::GLOG_ERROR};
}

std::string QuoteIfNeeded(const std::string& value) {
  if (value.find_first_of(" \"=\n") == std::string::npos && !value.empty()) {
    return value;
  }
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
    }
    out.push_back(c == '\n' ? ' ' : c);
  }
  return out + "\"";
}

/// Set by InitBufferedLogging; null without it.
std::unique_ptr<LineBuffer>& Buffer() {
  static std::unique_ptr<LineBuffer> buffer;
  return buffer;
}

int64_t WallClockMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string FormatEvent(Event event, std::initializer_list<LogField> fields) {
  std::ostringstream line;
  // Skips the "k" of the enumerator, which is not part of the event name.
  line << 'E' << static_cast<int>(event) << ' ' << GetEventInfo(event).name + 1;
  for (const LogField& field : fields) {
    line << ' ' << field.name << '=' << QuoteIfNeeded(field.value);
  }
  return line.str();
}

/// Returns false if the line was dropped.
bool AddToBuffer(LineBuffer& buffer, Event event, const std::string& line) {
  return buffer.Add("ms=" + std::to_string(WallClockMillis()) + " " + line,
                    GetLineClass(event), BootClock().Now());
}

void ReportDropped(LineBuffer& buffer) {
  const DroppedLines dropped = buffer.TakeDropped();
  if (dropped.total() == 0) {
    return;
  }
  const std::string line =
      FormatEvent(Event::kLinesDropped, {{"count", dropped.total()},
                                         {"ordinary", dropped.ordinary},
                                         {"evidence", dropped.evidence},
                                         {"urgent", dropped.urgent}});
  if (!AddToBuffer(buffer, Event::kLinesDropped, line)) {
    buffer.RestoreDropped(dropped);
  }
}

}  // namespace

LineClass GetLineClass(Event event) {
  if (GetEventInfo(event).severity != google::GLOG_INFO) {
    return LineClass::kUrgent;
  }
  switch (event) {
    case Event::kRequestRefused:
    case Event::kAttemptFailed:
    case Event::kRequestRelayed:
    case Event::kResponseSkipped:
    case Event::kRequestUnread:
      return LineClass::kEvidence;
    default:
      return LineClass::kOrdinary;
  }
}

void InitBufferedLogging() {
  Buffer() = std::make_unique<LineBuffer>(STDOUT_FILENO, LineBuffer::Options());
}

void WriteLog() {
  if (LineBuffer* const buffer = Buffer().get()) {
    buffer->Flush();
  }
}

void FlushLog() {
  if (LineBuffer* const buffer = Buffer().get()) {
    ReportDropped(*buffer);
  }
  WriteLog();
}

void InitLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void LogEvent(Event event, std::initializer_list<LogField> fields) {
  const std::string line = FormatEvent(event, fields);
  if (LineBuffer* const buffer = Buffer().get()) {
    AddToBuffer(*buffer, event, line);
    return;
  }
  google::LogMessage(__FILE__, __LINE__, GetEventInfo(event).severity).stream()
      << line;
}

}  // namespace applestand
