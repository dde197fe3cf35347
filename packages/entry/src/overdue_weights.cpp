#include <bilberrytrail/entry/overdue_weights.h>

namespace bilberrytrail {

std::vector<OverdueServer>
OverdueWeights::Next(std::span<const ServerRecord> aServers,
                     const WeightHistory& aWeights,
                     Duration aWithin,
                     Instant aNow)
{
  std::vector<OverdueServer> overdue;
  bool hasOutdated = false;
  for (const auto& server : aServers) {
    for (const auto& it : server.mModels) {
      const auto due = aWeights.Due(it.mModel, it.mVersion, aWithin);
      if (!due || server.mIsLeaving) {
        continue;
      }
      hasOutdated = true;
      const auto newest = aWeights.Newest(it.mModel);
      if (aNow < *due || overdue.size() == kMaxAtOnce) {
        continue;
      }
      auto& returned = mReturned[{ server.mId, it.mModel }];
      if (returned < newest) {
        returned = newest;
        overdue.push_back(
          { server.mId, it.mModel, it.mVersion, newest, aNow - *due });
      }
    }
  }
  if (!hasOutdated) {
    mReturned.clear();
  }
  return overdue;
}

} // namespace bilberrytrail
