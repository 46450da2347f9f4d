#include "lib/base/event_loop.h"

#include <doctest/doctest.h>

#include <vector>

namespace applestand {

TEST_CASE("tasks run in the order of their due times") {
  BootClock clock;
  EventLoop loop(clock);
  std::vector<int> order;
  loop.PostDelayed(std::chrono::milliseconds(20), [&] {
    order.push_back(2);
    loop.Stop();
  });
  loop.Post([&] { order.push_back(1); });
  loop.Run();
  CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("a periodic task runs again until the loop stops") {
  BootClock clock;
  EventLoop loop(clock);
  int runs = 0;
  loop.RunEvery(std::chrono::milliseconds(1), [&] {
    if (++runs == 3) {
      loop.Stop();
    }
  });
  loop.Run();
  CHECK(runs == 3);
}

}  // namespace applestand
