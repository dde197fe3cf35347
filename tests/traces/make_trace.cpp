#include "make_trace.h"

#include <bilberrytrail/base/random.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr std::uint64_t kAccounts = 10;
// Of ten requests, so many come from the two large accounts.
constexpr std::uint64_t kLargeShare = 6;
constexpr std::uint64_t kLargeAccounts = 2;

class Generator
{
public:
  Generator(const TraceSite& aSite, std::uint64_t aSeed)
    : mSite(aSite)
    , mRandom(aSeed)
  {
    mTrace.mSite = std::string(aSite.mName);
    mTrace.mEngines = aSite.mEngines;
    mTrace.mServices = aSite.mServices;
  }

  Trace Make(TraceTheme aTheme)
  {
    switch (aTheme) {
      case TraceTheme::Swing:
        Swing();
        break;
      case TraceTheme::Stragglers:
        Stragglers();
        break;
      case TraceTheme::ReturningPrompts:
        ReturningPrompts();
        break;
      case TraceTheme::Resends:
        Resends();
        break;
      case TraceTheme::RollingRelease:
        RollingRelease();
        break;
    }
    std::stable_sort(mTrace.mEvents.begin(),
                     mTrace.mEvents.end(),
                     [](const TraceEvent& aLeft, const TraceEvent& aRight) {
                       return aLeft.mAt < aRight.mAt;
                     });
    mTrace.mOutcome["max_runs_per_key"] = aTheme == TraceTheme::Resends ? 1 : 0;
    mTrace.mOutcome["wrong_version_runs"] = 0;
    mTrace.mOutcome["foreign_blocks"] = 0;
    return std::move(mTrace);
  }

private:
  std::string Account()
  {
    const bool isLarge = mRandom.Below(10) < kLargeShare;
    const auto n =
      isLarge ? mRandom.Below(kLargeAccounts)
              : kLargeAccounts + mRandom.Below(kAccounts - kLargeAccounts);
    return "a" + std::to_string(n);
  }

  TraceEvent& Request(Duration aAt, WorkClass aClass)
  {
    TraceEvent event;
    event.mAt = aAt;
    event.mAccount = Account();
    event.mClass = aClass;
    event.mPrompt = "p" + std::to_string(mNextPrompt++);
    if (aClass == WorkClass::Short) {
      event.mBlocks = 1;
      event.mAnswerTokens = 30;
    } else if (aClass == WorkClass::Draft) {
      event.mBlocks = 4 + static_cast<std::uint32_t>(mRandom.Below(8));
      event.mAnswerTokens = 300;
    }
    mTrace.mEvents.push_back(event);
    return mTrace.mEvents.back();
  }

  Duration Within(Duration aFrom, Duration aTo)
  {
    const auto length = static_cast<std::uint64_t>((aTo - aFrom).count());
    return aFrom + Duration(mRandom.Below(length) / 1000 * 1000);
  }

  void Fill(std::size_t aCount, Duration aFrom, Duration aTo, WorkClass aClass)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      Request(Within(aFrom, aTo), aClass);
    }
  }

  // Demand rises to ten times within a second and falls again.
  void Swing()
  {
    Fill(20, 0s, 10s, WorkClass::Short);
    Fill(10, 0s, 10s, WorkClass::Draft);
    Fill(60, 4s, 5s, WorkClass::Short);
    Fill(20, 4s, 5s, WorkClass::Read);
    mTrace.mOutcome["requests"] = 110;
    mTrace.mOutcome["completed"] = 110;
    mTrace.mOutcome["short_wait_p99_ms_max"] = 500;
  }

  void Stragglers()
  {
    Fill(60, 0s, 10s, WorkClass::Draft);
    Fill(40, 0s, 10s, WorkClass::Short);
    for (std::size_t n = 0; n < 60; n += 12) {
      mTrace.mEvents[n].mSlowdown = 10;
    }
    mTrace.mOutcome["requests"] = 100;
    mTrace.mOutcome["completed"] = 100;
    mTrace.mOutcome["short_wait_p99_ms_max"] = 500;
  }

  // Each prompt returns after its eviction from all engines.
  void ReturningPrompts()
  {
    constexpr std::size_t kPrompts = 30;
    Fill(kPrompts, 0s, 10s, WorkClass::Draft);
    for (std::size_t n = 0; n < kPrompts; ++n) {
      TraceEvent again = mTrace.mEvents[n];
      again.mAt += 900s;
      TraceEvent evict = again;
      evict.mKind = TraceKind::Evict;
      evict.mAt -= 300s;
      mTrace.mEvents.push_back(evict);
      mTrace.mEvents.push_back(again);
    }
    mTrace.mOutcome["requests"] = 2 * kPrompts;
    mTrace.mOutcome["completed"] = 2 * kPrompts;
    // Half of the requests return; nearly all their blocks are imported.
    mTrace.mOutcome["reused_share_min"] = 0.45;
  }

  void Booking(std::size_t aNumber, TraceFate aFate)
  {
    TraceEvent& first = Request(Within(0s, 10s), WorkClass::Read);
    first.mKey = "k" + std::to_string(aNumber);
    first.mFate = aFate;
    TraceEvent again = first;
    again.mFate = TraceFate::Normal;
    for (const Duration after : { 2s, 4s }) {
      again.mAt = mTrace.mEvents[mTrace.mEvents.size() - 1].mAt + after;
      mTrace.mEvents.push_back(again);
    }
  }

  // Bookings sent three times, some with a lost reply, and one request that
  // crashes each server that runs it, sent five times.
  void Resends()
  {
    constexpr std::size_t kBookings = 30;
    constexpr std::size_t kLost = 6;
    for (std::size_t n = 0; n < kBookings; ++n) {
      Booking(n, n < kLost ? TraceFate::LostReply : TraceFate::Normal);
    }
    TraceEvent crash = Request(12s, WorkClass::Short);
    crash.mFate = TraceFate::Crash;
    mTrace.mEvents.back() = crash;
    for (int n = 1; n < 5; ++n) {
      crash.mAt += 3s;
      mTrace.mEvents.push_back(crash);
    }
    Fill(20, 0s, 25s, WorkClass::Short);
    mTrace.mOutcome["requests"] = 3.0 * kBookings + 25;
    mTrace.mOutcome["recorded_answers"] = 2.0 * (kBookings - kLost);
    mTrace.mOutcome["unknown"] = 3.0 * kLost;
    mTrace.mOutcome["servers_lost"] = 2;
    mTrace.mOutcome["quarantined"] = 3;
    mTrace.mOutcome["completed"] = (kBookings - kLost) + 20.0;
  }

  // Servers load the new version two at a time; it comes into force when the
  // first two have it.
  void RollingRelease()
  {
    Duration at = 3s;
    for (std::uint32_t n = 0; n < mSite.mEngines; n += 2) {
      for (std::uint32_t i = n; i < std::min(n + 2, mSite.mEngines); ++i) {
        TraceEvent load;
        load.mKind = TraceKind::Load;
        load.mAt = at;
        load.mServer = i;
        load.mLength = mSite.mLoadTime;
        mTrace.mEvents.push_back(load);
      }
      at += mSite.mLoadTime;
      if (n == 0) {
        TraceEvent release;
        release.mKind = TraceKind::Release;
        release.mAt = at;
        mTrace.mEvents.push_back(release);
      }
    }
    Fill(60, 0s, 20s, WorkClass::Short);
    Fill(20, 0s, 20s, WorkClass::Draft);
    mTrace.mOutcome["requests"] = 80;
    mTrace.mOutcome["completed"] = 80;
    mTrace.mOutcome["short_wait_p99_ms_max"] = 500;
  }

  TraceSite mSite;
  Random mRandom;
  Trace mTrace;
  std::size_t mNextPrompt = 0;
};

} // namespace

Trace
MakeTrace(const TraceSite& aSite, TraceTheme aTheme, std::uint64_t aSeed)
{
  return Generator(aSite, aSeed).Make(aTheme);
}

} // namespace bilberrytrail
