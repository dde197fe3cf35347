#pragma once

#include "table_follower.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bilberrytrail {

// A table service whose configuration changes, and of which the answers are
// read some time after they were written. Its connections are kept, and may
// fall silent.
class LateFeed final : public SiteFeed
{
public:
  explicit LateFeed(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void PutConfig()
  {
    ++mConfig;
    mPutAt = MonotonicNow();
  }

  CallResult<SiteRows> ReadAll(SiteTable aTable,
                               const AnswerLimits& aLimits) override
  {
    return ReadChanges(aTable, {}, 0ms, aLimits);
  }
  void Reconnect() override { mIdle.clear(); }
  CallResult<SiteRows> ReadChanges(SiteTable aTable,
                                   TableVersion aAfter,
                                   Duration aWait,
                                   const AnswerLimits& aLimits) override
  {
    ++mCalls;
    const auto openedIn = TakeConnection();
    const auto begin = MonotonicNow();
    if (mIsDown) {
      (void)mLoop.Sleep(100ms);
      return FailCall(CallDisposition::Unknown, ErrorCode::Unavailable, "down");
    }
    const auto end = MonotonicNow() + aWait;
    while (Answer(aTable, aAfter).mRows.empty() && MonotonicNow() < end &&
           mLoop.Sleep(10ms)) {
    }
    auto rows = Answer(aTable, aAfter);
    (void)mLoop.Sleep(mReadDelay);
    if (openedIn < mSilences) {
      (void)mLoop.Sleep(begin + aLimits.mBegin - MonotonicNow());
      return FailCall(
        CallDisposition::Unknown, ErrorCode::Timeout, "no answer");
    }
    mIdle.push_back(openedIn);
    return rows;
  }

  // Silences the connections that are open now.
  void Silence() { ++mSilences; }

  // Time between the writing and the reading of an answer.
  Duration mReadDelay{};
  // Bytes of a configuration's row beside its version.
  std::size_t mConfigBytes = 0;
  bool mIsDown = false;
  std::uint64_t mConfig = 1;
  Instant mPutAt;
  std::size_t mCalls = 0;
  // Idle connections, by the number of silences before they were opened.
  std::vector<std::size_t> mIdle;
  // Connections opened.
  std::size_t mOpened = 0;

private:
  [[nodiscard]] std::size_t TakeConnection()
  {
    if (mIdle.empty()) {
      ++mOpened;
      return mSilences;
    }
    const auto connection = mIdle.back();
    mIdle.pop_back();
    return connection;
  }
  [[nodiscard]] SiteRows Answer(SiteTable aTable, TableVersion aAfter) const
  {
    SiteRows rows{ {}, mConfig, std::nullopt };
    if (aTable == SiteTable::Operator && aAfter < TableVersion(mConfig)) {
      rows.mRows.push_back(
        { "config",
          std::to_string(mConfig) + std::string(mConfigBytes, ' '),
          mConfig });
    }
    return rows;
  }

  Loop& mLoop;
  std::size_t mSilences = 0;
};

class NumberReader final : public SiteReader
{
public:
  ParsedSiteRow Read(SiteTable /*aTable*/, const SiteRow& aRow) const override
  {
    SiteConfig config;
    config.mVersion = std::stoull(aRow.mValue);
    return config;
  }
};

// Holds the rows of other daemons.
class DaemonTable final : public TableService
{
public:
  std::vector<TableRow> mDaemons;

  CallResult<std::optional<TableRow>> Read(const std::string& /*aKey*/,
                                           Duration /*aTimeout*/) override
  {
    return std::optional<TableRow>();
  }
  CallResult<std::vector<TableRow>> Scan(const std::string& /*aPrefix*/,
                                         std::size_t /*aLimit*/,
                                         Duration /*aTimeout*/) override
  {
    return mDaemons;
  }
  CallResult<CommitOutcome> Commit(const std::vector<TableWrite>& /*aWrites*/,
                                   Duration /*aTimeout*/) override
  {
    return CommitOutcome{ true, {}, 1 };
  }
};

// Other daemons, which don't respond.
class SilentTransport final : public PeerTransport
{
public:
  explicit SilentTransport(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  Result<std::string> Call(const Endpoint& /*aDaemon*/,
                           const std::string& /*aPath*/,
                           std::string /*aBody*/,
                           const AnswerLimits& aLimits) override
  {
    (void)mLoop.Sleep(aLimits.mBegin);
    return Fail(ErrorCode::Timeout, "no response");
  }

private:
  Loop& mLoop;
};

// A daemon that follows the tables directly, in virtual time.
struct FollowedTables
{
  Loop mLoop{ LoopTime::Virtual };
  LateFeed mFeed{ mLoop };
  NumberReader mReader;
  DaemonTable mTable;
  SilentTransport mTransport{ mLoop };
  HistogramRegistry mTimes{ 8 };
  CounterRegistry mCounts{ 8 };
  SiteMetrics mMetrics{ mTimes, mCounts };
  SiteViewHolder mViews;
  SiteState mState{ mLoop, mReader, mViews, mMetrics };
  PeerDirectory mPeers{ mLoop, mTable, {}, 1 };
  LoadingNotifier mNotifier{ mLoop,
                             mPeers,
                             mTransport,
                             DaemonId("d"),
                             [](const auto&) {} };
  PeerSiteReader mPeerReader{ mLoop, mTransport, mState, mNotifier };
  TableFollower mTables{ mLoop, mFeed, mPeers, mPeerReader, mState };

  void Run(const std::function<void()>& aBody)
  {
    mLoop.Spawn([&] {
      mState.Start();
      mTables.SetDirect(true, false);
      mTables.Start();
      (void)mLoop.Sleep(1s);
      aBody();
      mLoop.Stop();
    });
    mLoop.Run();
  }
  [[nodiscard]] std::uint64_t Config() const
  {
    const auto view = mViews.Load();
    return view == nullptr || view->mConfig == nullptr
             ? 0
             : view->mConfig->mVersion;
  }
  [[nodiscard]] Duration Lag() const { return mState.Lag(SiteTable::Operator); }
};

} // namespace bilberrytrail
