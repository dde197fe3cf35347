#include "engine/load_reports.h"

#include <doctest/doctest.h>

#include <vector>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr Instant kStart{ 100s };

} // namespace

TEST_CASE("load is reported on change and within the time that all readers ask "
          "for, else at each period")
{
  struct Row
  {
    std::vector<Duration> mReaders;
    Duration mLater;
    bool mIsChanged;
    bool mDue;
  };
  const Row rows[] = {
    { {}, 100ms, false, true },         { { 0s }, 100ms, false, true },
    { { 2s }, 100ms, false, false },    { { 2s }, 100ms, true, true },
    { { 2s }, 2s, false, true },        { { 2s, 1s }, 1s, false, true },
    { { 2s, 0s }, 100ms, false, true },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mReaders.size());
    CAPTURE(row.mIsChanged);
    LoadReports reports;
    EngineState state;
    for (const auto within : row.mReaders) {
      reports.AddReader(within);
    }
    CHECK(reports.IsDue(state, kStart));
    reports.OnReported(state, kStart);
    state.mRunning = 5;
    state.mTokensPerSecond = 7;
    if (row.mIsChanged) {
      state.mLeaving = true;
    }
    CHECK(reports.IsDue(state, kStart + row.mLater) == row.mDue);
    for (const auto within : row.mReaders) {
      reports.RemoveReader(within);
    }
    CHECK(reports.IsDue(state, kStart + 1us));
  }
}
