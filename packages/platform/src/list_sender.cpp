#include <bilberrytrail/platform/list_sender.h>

namespace bilberrytrail {

ListSender::ListSender(ListSenderSettings aSettings)
  : mSettings(aSettings)
{
}

void
ListSender::SetReceivers(const std::vector<DaemonId>& aReceivers)
{
  std::map<DaemonId, Receiver> receivers;
  mUnderWay = 0;
  for (const auto& id : aReceivers) {
    const auto known = mReceivers.find(id);
    Receiver& receiver = receivers[id];
    if (known != mReceivers.end()) {
      receiver = std::move(known->second);
    }
    receiver.mKnown.mReceiver = id;
    mUnderWay += receiver.mIsUnderWay ? 1 : 0;
  }
  mReceivers = std::move(receivers);
}

std::vector<ListMessage>
ListSender::Due(const std::string& aDigest, Instant aNow)
{
  std::vector<ListMessage> due;
  for (auto& [id, receiver] : mReceivers) {
    if (mUnderWay >= mSettings.mMaxUnderWay) {
      break;
    }
    if (!IsDue(receiver, aDigest, aNow)) {
      continue;
    }
    receiver.mIsUnderWay = true;
    receiver.mWasSent = true;
    receiver.mSent = aDigest;
    receiver.mSentAt = aNow;
    ++mUnderWay;
    due.push_back(receiver.mKnown);
  }
  return due;
}

void
ListSender::OnAnswer(const DaemonId& aReceiver,
                     const std::string& aHeld,
                     std::uint64_t aClock,
                     Instant aNow)
{
  const auto it = mReceivers.find(aReceiver);
  if (it == mReceivers.end() || !it->second.mIsUnderWay) {
    return;
  }
  it->second.mIsUnderWay = false;
  --mUnderWay;
  it->second.mKnown = { aReceiver, aHeld, aClock, aNow };
}

void
ListSender::OnFailed(const DaemonId& aReceiver)
{
  const auto it = mReceivers.find(aReceiver);
  if (it == mReceivers.end() || !it->second.mIsUnderWay) {
    return;
  }
  it->second.mIsUnderWay = false;
  --mUnderWay;
  // The message may have been taken in.
  it->second.mKnown.mHeld.clear();
}

bool
ListSender::IsDue(const Receiver& aReceiver,
                  const std::string& aDigest,
                  Instant aNow) const
{
  if (aReceiver.mIsUnderWay) {
    return false;
  }
  if (!aReceiver.mWasSent || aReceiver.mSent != aDigest) {
    return true;
  }
  const bool isUpToDate = aReceiver.mKnown.mHeld == aDigest;
  const Duration pause =
    isUpToDate ? mSettings.mHeartbeatInterval : mSettings.mRetry;
  return aNow - aReceiver.mSentAt >= pause;
}

} // namespace bilberrytrail
