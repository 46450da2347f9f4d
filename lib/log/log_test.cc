#include "lib/log/log.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>

namespace applestand {

namespace {

// Sends standard output to a pipe until it is destroyed.
class CapturedOutput {
 public:
  CapturedOutput() : m_output(dup(STDOUT_FILENO)) {
    REQUIRE(pipe(m_ends.data()) == 0);
    dup2(m_ends[1], STDOUT_FILENO);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;
  ~CapturedOutput() {
    dup2(m_output, STDOUT_FILENO);
    for (const int fd : {m_output, m_ends[0], m_ends[1]}) {
      close(fd);
    }
  }

  // Reads what the log has written, and what it writes as there is room.
  std::string Drain() {
    std::string out;
    std::array<char, 4096> bytes{};
    for (pollfd entry{m_ends[0], POLLIN, 0}; poll(&entry, 1, 0) > 0;) {
      const ssize_t count = read(m_ends[0], bytes.data(), bytes.size());
      out.append(bytes.data(), static_cast<size_t>(count));
      WriteLog();
    }
    return out;
  }

 private:
  const int m_output;
  std::array<int, 2> m_ends{};
};

}  // namespace

// Guards against refusals that nothing explains, because their lines are
// dropped like those of served requests.
TEST_CASE("lines that explain a refusal go before ordinary ones") {
  for (const Event event :
       {Event::kRequestRefused, Event::kAttemptFailed, Event::kRequestRelayed,
        Event::kResponseSkipped, Event::kRequestUnread}) {
    CAPTURE(static_cast<int>(event));
    CHECK(GetLineClass(event) == LineClass::kEvidence);
  }
  CHECK(GetLineClass(Event::kRequestServed) == LineClass::kOrdinary);
}

// Guards against warnings that get no more than the reserve.
TEST_CASE("lines above INFO are urgent") {
  CHECK(GetLineClass(Event::kRequestCut) == LineClass::kUrgent);
  CHECK(GetLineClass(Event::kLinesDropped) == LineClass::kUrgent);
  CHECK(GetLineClass(Event::kStartFailed) == LineClass::kUrgent);
}

// Guards against dropped lines that are never reported, because the line that
// reports them was dropped as well.
TEST_CASE("lines dropped while nothing reads the log are reported later") {
  constexpr int kLines = 500;
  std::string log;
  {
    CapturedOutput output;
    InitBufferedLogging();
    const std::string text(1000, 'x');
    for (int i = 0; i < kLines; ++i) {
      LogEvent(Event::kRequestRefused, {{"text", text}});
      if (i % 10 == 0) {
        FlushLog();
      }
    }
    log = output.Drain();
    FlushLog();
    log += output.Drain();
  }
  uint64_t refusals = 0;
  uint64_t reported = 0;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    refusals += line.find(" RequestRefused ") != std::string::npos ? 1 : 0;
    constexpr std::string_view kField = " evidence=";
    if (const size_t at = line.find(kField); at != std::string::npos) {
      reported += std::stoull(line.substr(at + kField.size()));
    }
  }
  CHECK(refusals > 0);
  CHECK(refusals < kLines);
  CHECK(refusals + reported == kLines);
}

// Guards against a log that does not say how many lines it lacks, as the rate
// did not allow for the line that says so.
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
    text = output.Drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    FlushLog();
    text += output.Drain();
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
