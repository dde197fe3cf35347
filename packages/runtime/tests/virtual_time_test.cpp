#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

#include <string>

namespace bilberrytrail {
namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;

TEST_CASE(
  "waits in virtual time end in order of their deadlines without real delay")
{
  const auto realStart = MonotonicNow();
  std::string order;
  Duration elapsed{};
  {
    Loop loop(LoopTime::Virtual);
    const auto start = MonotonicNow();
    Event event(loop);
    for (const int n : { 3, 1, 2 }) {
      loop.Spawn([&, n] {
        CHECK(loop.Sleep(n * 1h));
        order += std::to_string(n);
        CHECK(MonotonicNow() - start == n * 1h);
      });
    }
    loop.Spawn([&] {
      // Times out after 2.5 h; then woken by the notification at 4 h.
      CHECK_FALSE(event.Wait(150min));
      order += "t";
      CHECK(event.Wait(24h));
      order += "n";
      elapsed = MonotonicNow() - start;
      loop.Stop();
    });
    loop.Spawn([&] {
      CHECK(loop.Sleep(4h));
      event.Notify();
      // Ends early because the loop stops.
      CHECK_FALSE(loop.Sleep(24h));
    });
    loop.Run();
  }
  CHECK(order == "12t3n");
  CHECK(elapsed == 4h);
  CHECK(MonotonicNow() - realStart < 1h);
}

} // namespace
} // namespace bilberrytrail
