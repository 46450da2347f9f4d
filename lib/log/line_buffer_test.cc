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
  LineBuffer buffer(ends[1], options);
  ManualClock clock;
  int kept = 0;
  for (int i = 0; i < 20; ++i) {
    kept += buffer.Add("line", false, clock.Now()) ? 1 : 0;
  }
  CHECK(kept == 5);
  CHECK(buffer.Add("warning", true, clock.Now()));
  CHECK(buffer.TakeDropped() == 15);
  CHECK(buffer.TakeDropped() == 0);
  clock.Advance(std::chrono::seconds(1));
  CHECK(buffer.Add("line", false, clock.Now()));
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
  LineBuffer buffer(ends[1], options);
  ManualClock clock;
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) {
    buffer.Add(line, false, clock.Now());
  }
  buffer.Flush();
  buffer.Flush();
  std::array<char, 4096> bytes{};
  CHECK(read(ends[0], bytes.data(), bytes.size()) > 0);
  buffer.Flush();
  close(ends[0]);
  close(ends[1]);
}

}  // namespace applestand
