#pragma once

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/traffic/server_choice.h>
#include <bilberrytrail/traffic/server_health.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Parameters of a simulation of short reads on servers with one slot each, of
// which the first mSlowServers are slow from 10 s to 20 s.
struct SlowServerTrial
{
  std::size_t mServers = 9;
  std::size_t mSlowServers = 1;
  int mSlowdown = 10;
  Duration mService = 20ms;
  // Maximum time between two requests; the mean is half of it.
  Duration mLongestGap = 10ms;
  // Delay of load reports; nullopt for no reports.
  std::optional<Duration> mReportLag{};
  std::uint64_t mSeed = 1;
};

// Runs the simulation in virtual time.
class SlowServerDriver
{
public:
  static constexpr Instant kSlowFrom{ 10s };
  static constexpr Instant kSlowTo{ 20s };
  static constexpr Instant kEnd{ 30s };
  static constexpr Duration kReportPeriod = 100ms;

  SlowServerDriver(const SlowServerTrial& aTrial,
                   ServerChooser& aChooser,
                   ServerHealth& aHealth)
    : mTrial(aTrial)
    , mChooser(aChooser)
    , mHealth(aHealth)
    , mRandom(aTrial.mSeed)
    , mFreeAt(aTrial.mServers)
  {
  }

  // Returns the 0.99 quantile of the latencies, in milliseconds, of the
  // requests sent in the slow period; nullopt when no server could be chosen
  // for a request.
  std::optional<double> Run()
  {
    const auto gap = static_cast<std::uint64_t>(mTrial.mLongestGap.count());
    while (mNow < kEnd) {
      Report();
      if (!SendOne()) {
        return std::nullopt;
      }
      mNow += Duration(static_cast<std::int64_t>(mRandom.Below(gap)));
    }
    std::sort(mMillis.begin(), mMillis.end());
    return mMillis[mMillis.size() * 99 / 100];
  }

private:
  struct Pending
  {
    std::size_t mServer;
    Instant mEnd;
    Duration mTook;
    // Last multiple of the predicted time that was reported as overdue.
    std::int64_t mReported = 1;
  };

  static ServerId IdOf(std::size_t aServer)
  {
    return ServerId("s" + std::to_string(aServer));
  }

  [[nodiscard]] bool IsSlow(std::size_t aServer, Instant aAt) const
  {
    return aServer < mTrial.mSlowServers && aAt >= kSlowFrom && aAt < kSlowTo;
  }

  // Each server reports its slowdown as of mReportLag earlier.
  void Report()
  {
    if (!mTrial.mReportLag) {
      return;
    }
    for (; mNextReport <= mNow; mNextReport += kReportPeriod) {
      for (std::size_t n = 0; n < mTrial.mServers; ++n) {
        const bool wasSlow = IsSlow(n, mNextReport - *mTrial.mReportLag);
        mHealth.AddReport(
          IdOf(n), { wasSlow ? double(mTrial.mSlowdown) : 1.0 }, mNextReport);
      }
    }
  }

  void Observe(std::size_t aServer)
  {
    for (auto& run : mPending) {
      if (run.mServer != aServer) {
        continue;
      }
      const auto since = mNow - (run.mEnd - run.mTook);
      if (run.mEnd <= mNow) {
        mHealth.AddSample(
          IdOf(aServer), { mTrial.mService, run.mTook }, run.mEnd);
      } else if (since / mTrial.mService > run.mReported) {
        run.mReported = since / mTrial.mService;
        mHealth.AddOverdue(IdOf(aServer), { mTrial.mService, since }, mNow);
      }
    }
  }

  ServerCandidate MakeCandidate(std::size_t aServer)
  {
    const ServerId id = IdOf(aServer);
    const auto queued = std::max(Duration(), mFreeAt[aServer] - mNow);
    // The estimate does not account for the slowdown.
    const auto estimated =
      IsSlow(aServer, mNow) ? queued / mTrial.mSlowdown : queued;
    ServerCandidate candidate{
      id, mHealth.Weight(id, mNow), estimated, mTrial.mService, false
    };
    if (mHealth.TakeProbe(id, mNow)) {
      candidate.mPreferred = true;
      candidate.mWeight = 1;
    }
    return candidate;
  }

  bool SendOne()
  {
    std::vector<ServerCandidate> candidates;
    for (std::size_t n = 0; n < mTrial.mServers; ++n) {
      Observe(n);
      candidates.push_back(MakeCandidate(n));
    }
    std::erase_if(mPending,
                  [&](const Pending& aRun) { return aRun.mEnd <= mNow; });
    const auto chosen = mChooser.Choose(candidates, mRandom);
    if (!chosen) {
      return false;
    }
    const auto took = IsSlow(*chosen, mNow) ? mTrial.mSlowdown * mTrial.mService
                                            : mTrial.mService;
    const auto end = std::max(mNow, mFreeAt[*chosen]) + took;
    mFreeAt[*chosen] = end;
    mPending.push_back({ *chosen, end, took });
    if (mNow >= kSlowFrom && mNow < kSlowTo) {
      mMillis.push_back(ToMillis(end - mNow));
    }
    return true;
  }

  SlowServerTrial mTrial;
  ServerChooser& mChooser;
  ServerHealth& mHealth;
  Random mRandom;
  std::vector<Instant> mFreeAt;
  std::vector<Pending> mPending;
  std::vector<double> mMillis;
  Instant mNow{};
  Instant mNextReport{};
};

} // namespace bilberrytrail
