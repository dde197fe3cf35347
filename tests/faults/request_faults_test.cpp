#include "cell_checker.h"

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace bilberrytrail {
namespace {

constexpr std::size_t kPairsPerPath = 150;
constexpr std::size_t kWorkers = 8;
// Half of the requests' deadline.
constexpr Duration kAtOnce = 1s;
// Of the requests of a world.
constexpr Duration kDeadline = 2s;
// Pause between two searches for a server.
constexpr Duration kLastPause = 50ms;

using FaultSet = std::vector<Cell>;

// Results of all runs of a test case.
struct Tally
{
  std::mutex mMutex;
  std::size_t mRun = 0;
  // Runs in which all armed faults took effect.
  std::size_t mAllFired = 0;
  std::vector<std::string> mFailures;
  // Longest time to the first request's final answer.
  Duration mFirstBound = Duration::max();
  Duration mLongest{};
};

std::string
NameOf(const Cell& aCell)
{
  return std::string(ToName(aCell.mPath)) + "/" +
         std::string(ToName(aCell.mStep)) + "/" +
         std::string(ToName(aCell.mFault));
}

std::string
NameOf(const FaultSet& aFaults)
{
  std::string name;
  for (const auto& it : aFaults) {
    name += (name.empty() ? "" : " + ") + NameOf(it);
  }
  return name;
}

void
RunOne(const FaultSet& aFaults, bool aMustFire, Tally& aTally)
{
  const CallPath path = aFaults.front().mPath;
  RequestWorld world(path, aFaults);
  world.Run();
  const auto found = CheckHistory(path, aFaults, world.Seen());
  const std::lock_guard lock(aTally.mMutex);
  ++aTally.mRun;
  const bool allFired = world.Fired() == aFaults.size();
  aTally.mAllFired += allFired ? 1 : 0;
  if (aMustFire && !allFired) {
    aTally.mFailures.push_back(NameOf(aFaults) + ": the fault was not reached");
  }
  const auto took = world.Seen().mCallers.front()->mTook;
  aTally.mLongest = std::max(aTally.mLongest, took);
  if (took > aTally.mFirstBound) {
    aTally.mFailures.push_back(NameOf(aFaults) + ": the final answer took " +
                               std::to_string(ToMillis(took)) + " ms");
  }
  for (const auto& it : found) {
    aTally.mFailures.push_back(NameOf(aFaults) + ": " + it);
  }
}

// Runs all sets on a few threads; each world has its own loop.
void
RunAll(const std::vector<FaultSet>& aSets, bool aMustFire, Tally& aTally)
{
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> workers;
  for (std::size_t n = 0; n < kWorkers; ++n) {
    workers.emplace_back([&] {
      for (std::size_t i = next++; i < aSets.size(); i = next++) {
        RunOne(aSets[i], aMustFire, aTally);
      }
    });
  }
  for (auto& it : workers) {
    it.join();
  }
}

std::vector<Cell>
PossibleCells(CallPath aPath)
{
  std::vector<Cell> cells;
  for (const Step step : AllOf<Step>()) {
    for (const Fault fault : AllOf<Fault>()) {
      const Cell cell{ aPath, step, fault };
      if (WhyImpossible(cell).empty()) {
        cells.push_back(cell);
      }
    }
  }
  return cells;
}

void
Report(const Tally& aTally)
{
  for (const auto& it : aTally.mFailures) {
    FAIL_CHECK(it);
  }
}

void
Quiet()
{
  REQUIRE(OpenLog({ LogLevel::Error, "" }));
}

TEST_CASE("every step of a request has faults")
{
  for (const Step step : AllOf<Step>()) {
    std::size_t n = 0;
    for (const CallPath path : AllOf<CallPath>()) {
      for (const Fault fault : AllOf<Fault>()) {
        n += WhyImpossible({ path, step, fault }).empty() ? 1 : 0;
      }
    }
    CHECK_MESSAGE(n > 0, ToName(step));
  }
}

TEST_CASE("a request under one fault at each step")
{
  Quiet();
  std::vector<FaultSet> sets;
  std::map<std::string_view, std::size_t> impossible;
  for (const CallPath path : AllOf<CallPath>()) {
    for (const Step step : AllOf<Step>()) {
      for (const Fault fault : AllOf<Fault>()) {
        const Cell cell{ path, step, fault };
        const auto reason = WhyImpossible(cell);
        if (reason.empty()) {
          sets.push_back({ cell });
        } else {
          ++impossible[reason];
        }
      }
    }
  }
  Tally tally;
  RunAll(sets, true, tally);
  Report(tally);
  std::string text = "cells run: " + std::to_string(tally.mRun);
  for (const auto& [reason, n] : impossible) {
    text +=
      "\nnot possible: " + std::to_string(n) + " (" + std::string(reason) + ")";
  }
  MESSAGE(text);
}

TEST_CASE("a request that every server refuses is refused at once")
{
  Quiet();
  std::vector<FaultSet> sets;
  for (const CallPath path : AllOf<CallPath>()) {
    const Cell cell{ path, Step::Granted, Fault::RefuseBeforeRunning };
    sets.push_back({ cell, cell });
  }
  Tally tally;
  tally.mFirstBound = kAtOnce;
  RunAll(sets, true, tally);
  Report(tally);
}

TEST_CASE("a request that finds no server ends at its deadline, to the pause")
{
  Quiet();
  const Cell cell{ CallPath::Completion,
                   Step::Authenticated,
                   Fault::ServersLeave };
  Tally tally;
  RunAll({ { cell, cell } }, true, tally);
  Report(tally);
  // In virtual time nothing but the request path's own waits takes time.
  CHECK(tally.mLongest >= kDeadline);
  CHECK(tally.mLongest <= kDeadline + kLastPause);
}

TEST_CASE("a kept prompt is imported when nothing fails")
{
  Quiet();
  RequestWorld world(CallPath::KeptPrompt, {});
  world.Run();
  CHECK(world.Seen().mImportedUsed > 0);
  CHECK(CheckHistory(CallPath::KeptPrompt, {}, world.Seen()).empty());
}

TEST_CASE("a request under pairs of faults")
{
  Quiet();
  Random random(kFaultSeed);
  std::vector<FaultSet> sets;
  for (const CallPath path : AllOf<CallPath>()) {
    const auto cells = PossibleCells(path);
    for (const auto& cell : cells) {
      sets.push_back({ cell, cell });
    }
    for (std::size_t n = 0; n < kPairsPerPath; ++n) {
      sets.push_back({ cells[random.Below(cells.size())],
                       cells[random.Below(cells.size())] });
    }
  }
  Tally tally;
  RunAll(sets, false, tally);
  Report(tally);
  MESSAGE("seed " << kFaultSeed << ", pairs run: " << tally.mRun
                  << ", both faults took effect in: " << tally.mAllFired
                  << ", longest: " << ToMillis(tally.mLongest) << " ms");
}

} // namespace
} // namespace bilberrytrail
