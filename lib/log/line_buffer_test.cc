#include "lib/log/line_buffer.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>

namespace applestand {

TEST_CASE(
    "lines that exceed the rate are dropped and counted, urgent ones later") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  LineBuffer::Options options;
  options.lines_per_second = 10;
  options.burst = 5;
  options.reserved_lines = 0;
  LineBuffer buffer(ends[1], options);
  ManualClock clock;
  int kept = 0;
  for (int i = 0; i < 20; ++i) {
    kept += buffer.Add("line", LineClass::kOrdinary, clock.Now()) ? 1 : 0;
  }
  CHECK(kept == 5);
  CHECK(buffer.Add("warning", LineClass::kUrgent, clock.Now()));
  CHECK(buffer.TakeDropped().total() == 15);
  CHECK(buffer.TakeDropped().total() == 0);
  clock.Advance(std::chrono::seconds(1));
  CHECK(buffer.Add("line", LineClass::kOrdinary, clock.Now()));
  close(ends[0]);
  close(ends[1]);
}

// Guards against blocking the event loop when the reader of the log falls
// behind: a pipe holds far less than the 1 MB written here, and the test hangs
// if Flush waits for room.
TEST_CASE("flushing into a full pipe does not block") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  LineBuffer::Options options;
  options.lines_per_second = 1e6;
  options.burst = 1e6;
  options.max_bytes = size_t{1} << 20;
  options.reserved_bytes = 0;
  LineBuffer buffer(ends[1], options);
  ManualClock clock;
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    buffer.Add(line, LineClass::kOrdinary, clock.Now());
  }
  buffer.Flush();
  buffer.Flush();
  std::array<char, 4096> bytes{};
  CHECK(read(ends[0], bytes.data(), bytes.size()) > 0);
  buffer.Flush();
  close(ends[0]);
  close(ends[1]);
}

// Adds `count` lines of the class and returns how many were kept.
int AddLines(LineBuffer& buffer,
             int count,
             LineClass line_class,
             TimePoint now) {
  int kept = 0;
  for (int i = 0; i < count; ++i) {
    kept += buffer.Add("line", line_class, now) ? 1 : 0;
  }
  return kept;
}

// Guards against refusals that nothing explains, because lines of served
// requests have used up the rate.
TEST_CASE("a burst of ordinary lines leaves room for evidence") {
  const LineBuffer::Options options;
  LineBuffer buffer(-1, options);
  ManualClock clock;
  CHECK(AddLines(buffer, 1000, LineClass::kOrdinary, clock.Now()) ==
        options.burst - options.reserved_lines);
  CHECK(AddLines(buffer, 1000, LineClass::kEvidence, clock.Now()) ==
        options.reserved_lines);
  CHECK(buffer.Add("warning", LineClass::kUrgent, clock.Now()));
  const DroppedLines dropped = buffer.TakeDropped();
  CHECK(dropped.ordinary == 600);
  CHECK(dropped.evidence == 800);
  CHECK(dropped.urgent == 0);
  CHECK(dropped.total() == 1400);
}

// Guards against a reserve that ordinary lines use up over time, as they take
// each token that is refilled.
TEST_CASE("a load of ordinary lines over the rate leaves room for evidence") {
  const LineBuffer::Options options;
  LineBuffer buffer(-1, options);
  ManualClock clock;
  int evidence = 0;
  for (int i = 0; i < 100; ++i) {
    clock.Advance(std::chrono::milliseconds(100));
    AddLines(buffer, 100, LineClass::kOrdinary, clock.Now());
    evidence += AddLines(buffer, 20, LineClass::kEvidence, clock.Now());
    buffer.Flush();
  }
  CHECK(evidence == 2000);
}

// Guards against log volume that grows with the number of classes.
TEST_CASE("lines of all classes together stay within the bound") {
  const LineBuffer::Options options;
  constexpr int kSeconds = 10;
  LineBuffer buffer(-1, options);
  ManualClock clock;
  int kept = 0;
  for (int second = 0; second <= kSeconds; ++second) {
    for (const LineClass line_class :
         {LineClass::kOrdinary, LineClass::kEvidence, LineClass::kUrgent}) {
      kept += AddLines(buffer, 2000, line_class, clock.Now());
    }
    clock.Advance(std::chrono::seconds(1));
  }
  CHECK(kept == 2 * options.burst + kSeconds * options.lines_per_second);
}

// Guards against a slow reader of the log, whose backlog of ordinary lines
// would leave no room for evidence.
TEST_CASE("a buffer that ordinary lines have filled has room for evidence") {
  LineBuffer::Options options;
  options.lines_per_second = 1e6;
  options.burst = 1e6;
  options.max_bytes = 1000;
  options.reserved_bytes = 200;
  LineBuffer buffer(-1, options);
  ManualClock clock;
  CHECK(AddLines(buffer, 1000, LineClass::kOrdinary, clock.Now()) == 160);
  CHECK(AddLines(buffer, 1000, LineClass::kEvidence, clock.Now()) == 40);
  CHECK(AddLines(buffer, 1000, LineClass::kUrgent, clock.Now()) == 0);
}

}  // namespace applestand
