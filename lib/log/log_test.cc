#include "lib/log/log.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>

namespace applestand {

namespace {

/// Standard output is a pipe as long as this exists.
class CapturedOutput {
 public:
  CapturedOutput() : m_output(dup(STDOUT_FILENO)) {
    REQUIRE(pipe(m_ends.data()) == 0);
    dup2(m_ends[1], STDOUT_FILENO);
  }
  ~CapturedOutput() {
    dup2(m_output, STDOUT_FILENO);
    for (const int fd : {m_output, m_ends[0], m_ends[1]}) {
      close(fd);
    }
  }

  /// Returns what has been written since the previous call, up to 1 MB.
  /// Precondition: something has been.
  std::string Read() {
    std::string bytes(size_t{1} << 20, '\0');
    const ssize_t count = read(m_ends[0], bytes.data(), bytes.size());
    bytes.resize(count > 0 ? static_cast<size_t>(count) : 0);
    return bytes;
  }

 private:
  const int m_output;
  std::array<int, 2> m_ends{};
};

}  // namespace

// Guards against a log that does not say how many lines it lacks, as the line
// that says so was dropped. Buffered logging cannot be undone: no other test of
// this program may log.
TEST_CASE("dropped lines are reported even if a report of them is dropped") {
  constexpr int kLines = 600;
  constexpr int kUrgentLines = 700;
  std::string text;
  {
    CapturedOutput output;
    InitBufferedLogging();
    for (int i = 0; i < kLines; ++i) {
      LogEvent(Event::kRequestServed);
    }
    // More than may exceed the rate, so that the first report does, too.
    for (int i = 0; i < kUrgentLines; ++i) {
      LogEvent(Event::kRequestFailed);
    }
    FlushLog();
    text = output.Read();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    FlushLog();
    text += output.Read();
  }
  int written = 0;
  int reported = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    constexpr std::string_view kReport = "LinesDropped count=";
    const size_t at = line.find(kReport);
    if (at == std::string::npos) {
      ++written;
    } else {
      reported += std::stoi(line.substr(at + kReport.size()));
    }
  }
  CHECK(written + reported == kLines + kUrgentLines);
}

}  // namespace applestand
