#include "lib/log/log.h"

#include <glog/logging.h>

namespace applestand {

namespace {

struct EventInfo {
  const char* name;
  int severity;
};

EventInfo InfoOf(Event event) {
  switch (event) {
#define APPLESTAND_EVENT(number, name, severity, text) \
  case Event::name:                                    \
    return {#name, google::GLOG_##severity};
#include "lib/log/events.def"
#undef APPLESTAND_EVENT
  }
  return {"unknown", google::GLOG_ERROR};
}

std::string Quoted(const std::string& value) {
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

}  // namespace

void InitLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void LogEvent(Event event, std::initializer_list<LogField> fields) {
  const EventInfo info = InfoOf(event);
  std::ostringstream line;
  // The leading "k" belongs to the constant, not to the event's name.
  line << 'E' << static_cast<int>(event) << ' ' << info.name + 1;
  for (const LogField& field : fields) {
    line << ' ' << field.name << '=' << Quoted(field.value);
  }
  google::LogMessage(__FILE__, __LINE__, info.severity).stream() << line.str();
}

}  // namespace applestand
