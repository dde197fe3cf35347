#pragma once

#include "report.h"

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <cmath>
#include <functional>
#include <string>
#include <vector>

namespace bilberrytrail::bench {

// What a run of requests gave.
struct LoadResult
{
  // Times to the first token of answered requests in milliseconds.
  std::vector<double> mFirstTokens;
  std::size_t mFailed = 0;
  double mPerSecond = 0;
};

// Makes one request and returns the time to its first token, or nothing when
// it failed.
using TimedCall = std::function<std::optional<Duration>(HttpClient&)>;

// Sends requests at random times with the given rate on one loop.
[[nodiscard]] inline LoadResult
RunOpen(const TimedCall& aCall, double aPerSecond, Duration aLength)
{
  Loop loop;
  HttpClient client(loop);
  LoadResult result;
  std::size_t open = 0;
  loop.Spawn([&] {
    Random random(1);
    const auto start = MonotonicNow();
    auto due = start;
    while (due - start < aLength) {
      due += FromMillis(-std::log(1 - random.Unit()) * 1000 / aPerSecond);
      const auto wait = due - MonotonicNow();
      if (wait > Duration::zero()) {
        (void)loop.Sleep(wait);
      }
      ++open;
      loop.Spawn([&] {
        const auto first = aCall(client);
        --open;
        if (first) {
          result.mFirstTokens.push_back(ToMillis(*first));
        } else {
          ++result.mFailed;
        }
      });
    }
    while (open > 0) {
      (void)loop.Sleep(1ms);
    }
    loop.Stop();
  });
  loop.Run();
  result.mPerSecond = static_cast<double>(result.mFirstTokens.size()) /
                      (ToMillis(aLength) / 1000);
  return result;
}

// Keeps the given number of requests open at all times on one loop.
[[nodiscard]] inline LoadResult
RunClosed(const TimedCall& aCall, std::size_t aOpen, Duration aLength)
{
  Loop loop;
  HttpClient client(loop);
  LoadResult result;
  const auto end = MonotonicNow() + aLength;
  std::size_t running = aOpen;
  for (std::size_t n = 0; n < aOpen; ++n) {
    loop.Spawn([&] {
      while (MonotonicNow() < end) {
        const auto first = aCall(client);
        if (first) {
          result.mFirstTokens.push_back(ToMillis(*first));
        } else {
          ++result.mFailed;
        }
      }
      if (--running == 0) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  result.mPerSecond = static_cast<double>(result.mFirstTokens.size()) /
                      (ToMillis(aLength) / 1000);
  return result;
}

} // namespace bilberrytrail::bench
