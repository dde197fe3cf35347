#include "site_metrics.h"

#include <bilberrytrail/base/log.h>

#include <string>

namespace bilberrytrail {

namespace {

SeriesLabels
Labels(std::string_view aClass)
{
  return { {}, {}, std::string(aClass) };
}

} // namespace

void
SiteMetrics::OnConfig(SiteWay aWay, Duration aDelay)
{
  mTimes.Record(Labels(ToName(aWay)), Measure::ConfigDelay, aDelay);
}

void
SiteMetrics::OnEvidenceAge(SiteTable aTable, Duration aAge)
{
  mTimes.Record(Labels(ToName(aTable)), Measure::EvidenceAge, aAge);
}

void
SiteMetrics::OnLoopDelay(std::string_view aLoop, Duration aDelay)
{
  mTimes.Record(Labels(aLoop), Measure::LoopDelay, aDelay);
}

void
SiteMetrics::OnReply(RelayReplyKind aKind, std::size_t aBytes)
{
  const auto labels = Labels(ToName(aKind));
  mCounts.Add(labels, Counter::RelayReplies);
  mCounts.Add(labels, Counter::RelayReplyBytes, aBytes);
  const std::lock_guard lock(mMutex);
  auto& replies = RepliesOf(aKind);
  ++replies.mCount;
  replies.mBytes += aBytes;
}

void
SiteMetrics::OnBuilt(RelayReplyKind aKind, std::size_t aBytes, Duration aTime)
{
  const auto labels = Labels(ToName(aKind));
  mTimes.Record(labels, Measure::RelayBuild, aTime);
  mCounts.Add(labels, Counter::RelayBuiltBytes, aBytes);
  const std::lock_guard lock(mMutex);
  auto& replies = RepliesOf(aKind);
  ++replies.mBuilt;
  replies.mBuiltBytes += aBytes;
  replies.mBuildTime += aTime;
}

void
SiteMetrics::LogReplies()
{
  const std::lock_guard lock(mMutex);
  for (const auto kind : AllOf<RelayReplyKind>()) {
    auto& replies = RepliesOf(kind);
    if (replies.mCount > 0) {
      LogLine(LogEvent::RelayServed,
              { { "kind", kind },
                { "replies", replies.mCount },
                { "bytes", replies.mBytes },
                { "built", replies.mBuilt },
                { "built_bytes", replies.mBuiltBytes },
                { "build_time", replies.mBuildTime } });
      replies = Replies();
    }
  }
}

} // namespace bilberrytrail
