#include "version_choice.h"

#include <doctest/doctest.h>

#include <vector>

using namespace bilberrytrail;

namespace {

ServerEstimate
Instead(const std::string& aVersion)
{
  ServerEstimate estimate;
  estimate.mServedInstead = VersionId(aVersion);
  return estimate;
}

ServerChoice
StartingAfter(Duration aTime)
{
  ServerChoice choice;
  choice.mPlan.mTimeToFirstToken = aTime;
  return choice;
}

} // namespace

TEST_CASE("The version served instead is the one of most servers")
{
  struct Row
  {
    std::vector<std::string> mServed;
    std::string mExpected;
  };
  const std::vector<Row> rows = {
    { {}, "" },
    { { "", "" }, "" },
    { { "", "v1" }, "v1" },
    { { "v1", "v2", "v2" }, "v2" },
    { { "v2", "v1" }, "v1" },
  };
  for (const auto& row : rows) {
    std::vector<ServerEstimate> estimates;
    for (const auto& it : row.mServed) {
      estimates.push_back(Instead(it));
    }
    CAPTURE(row.mServed.size());
    CHECK(MostServedInstead(estimates).Text() == row.mExpected);
  }
}

TEST_CASE("A request takes another version only when it starts much sooner")
{
  struct Row
  {
    Duration mInForce;
    Duration mInstead;
    bool mIsSlow;
    bool mIsWorth;
  };
  const std::vector<Row> rows = {
    { 100ms, 0ms, false, false },
    { kVersionPatience, 0ms, false, false },
    { kVersionPatience + 1ms, 0ms, true, true },
    { 2s, 1600ms, true, false },
    { 2s, 1400ms, true, true },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mInForce.count());
    CHECK(IsSlowStart(StartingAfter(row.mInForce)) == row.mIsSlow);
    CHECK(IsWorthOldVersion(StartingAfter(row.mInForce),
                            StartingAfter(row.mInstead)) == row.mIsWorth);
  }
}
