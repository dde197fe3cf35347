#include "request_slots.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace bilberrytrail;

TEST_CASE("no more slots are held than there are, and all come back")
{
  RequestSlots slots(2);
  {
    const RequestSlots::Slot first(slots);
    const RequestSlots::Slot second(slots);
    const RequestSlots::Slot third(slots);
    CHECK(first);
    CHECK(second);
    CHECK_FALSE(third);
  }
  CHECK(slots.Taken() == 0);
  const RequestSlots::Slot again(slots);
  CHECK(again);
}

TEST_CASE("threads never hold more slots than there are")
{
  constexpr int kMost = 3;
  RequestSlots slots(kMost);
  std::atomic<int> held{ 0 };
  std::atomic<bool> isExceeded{ false };
  constexpr int kThreads = 8;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&] {
      for (int n = 0; n < 2000; ++n) {
        const RequestSlots::Slot slot(slots);
        if (slot) {
          isExceeded = isExceeded || ++held > kMost;
          --held;
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK_FALSE(isExceeded);
  CHECK(slots.Taken() == 0);
}
