#pragma once

#include <bilberrytrail/base/counter_registry.h>
#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/histogram_registry.h>
#include <bilberrytrail/entry/site_evidence.h>
#include <bilberrytrail/entry/site_feed.h>

#include <array>
#include <mutex>
#include <string_view>

namespace bilberrytrail {

// Kinds of replies to the daemons that follow this one.
enum class RelayReplyKind : unsigned char
{
  // Answers of RPC methods, which are small.
  Rpc,
  // Rows of the tables.
  Rows,
  // Cache changes of the stores.
  Cache
};

template<>
struct EnumNames<RelayReplyKind>
{
  static constexpr std::array<std::string_view, 3> kNames{ "rpc",
                                                           "rows",
                                                           "cache" };
};

// Records how the state of the site gets to this daemon and on from it.
// Thread-safe.
class SiteMetrics
{
public:
  SiteMetrics(HistogramRegistry& aTimes, CounterRegistry& aCounts)
    : mTimes(aTimes)
    , mCounts(aCounts)
  {
  }

  // Records the time from a change of the configuration until it was in force.
  void OnConfig(SiteWay aWay, Duration aDelay);
  // Records the time since the newest evidence about a table.
  void OnEvidenceAge(SiteTable aTable, Duration aAge);
  void OnLoopDelay(std::string_view aLoop, Duration aDelay);
  // Records a reply of so many bytes that was sent.
  void OnReply(RelayReplyKind aKind, std::size_t aBytes);
  // Records that such bytes were built, in a time, for one or more replies.
  void OnBuilt(RelayReplyKind aKind, std::size_t aBytes, Duration aTime);

  // Logs the replies since the last call, if there were any.
  void LogReplies();

private:
  struct Replies
  {
    std::size_t mCount = 0;
    std::size_t mBytes = 0;
    std::size_t mBuilt = 0;
    std::size_t mBuiltBytes = 0;
    Duration mBuildTime{};
  };

  [[nodiscard]] Replies& RepliesOf(RelayReplyKind aKind)
  {
    return mReplies[static_cast<std::size_t>(aKind)];
  }

  HistogramRegistry& mTimes;
  CounterRegistry& mCounts;
  std::mutex mMutex;
  // Since the last LogReplies.
  std::array<Replies, EnumCount<RelayReplyKind>()> mReplies;
};

} // namespace bilberrytrail
