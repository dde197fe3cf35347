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
  mInFlight = 0;
  for (const auto& id : aReceivers) {
    const auto known = mReceivers.find(id);
    Receiver& receiver = receivers[id];
    if (known != mReceivers.end()) {
      receiver = std::move(known->second);
    }
    receiver.mKnown.mReceiver = id;
    mInFlight += receiver.mIsInFlight ? 1 : 0;
  }
  mReceivers = std::move(receivers);
}

std::vector<ListMessage>
ListSender::Due(const std::string& aDigest, Instant aNow)
{
  std::vector<ListMessage> due;
  for (auto& [id, receiver] : mReceivers) {
    if (mInFlight >= mSettings.mMaxInFlight) {
      break;
    }
    if (!IsDue(receiver, aDigest, aNow)) {
      continue;
    }
    receiver.mIsInFlight = true;
    receiver.mWasSent = true;
    receiver.mSentDigest = aDigest;
    receiver.mSentAt = aNow;
    ++mInFlight;
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
  if (it == mReceivers.end() || !it->second.mIsInFlight) {
    return;
  }
  it->second.mIsInFlight = false;
  --mInFlight;
  it->second.mKnown = { aReceiver, aHeld, aClock, aNow };
}

void
ListSender::OnFailed(const DaemonId& aReceiver)
{
  const auto it = mReceivers.find(aReceiver);
  if (it == mReceivers.end() || !it->second.mIsInFlight) {
    return;
  }
  it->second.mIsInFlight = false;
  --mInFlight;
  // The receiver may have applied the message.
  it->second.mKnown.mHeld.clear();
}

bool
ListSender::IsDue(const Receiver& aReceiver,
                  const std::string& aDigest,
                  Instant aNow) const
{
  if (aReceiver.mIsInFlight) {
    return false;
  }
  if (!aReceiver.mWasSent || aReceiver.mSentDigest != aDigest) {
    return true;
  }
  const bool isUpToDate = aReceiver.mKnown.mHeld == aDigest;
  const Duration pause =
    isUpToDate ? mSettings.mHeartbeatInterval : mSettings.mRetryDelay;
  return aNow - aReceiver.mSentAt >= pause;
}

} // namespace bilberrytrail
