#include <bilberrytrail/platform/list_follower.h>

namespace bilberrytrail {

ListFollower::ListFollower(ListTimes aTimes)
  : mTimes(aTimes)
{
}

void
ListFollower::SetReader(bool aIsReader)
{
  mIsReader = aIsReader;
}

bool
ListFollower::MustRead(Instant aNow) const
{
  if (mReadAt && aNow - *mReadAt < mTimes.mPollInterval) {
    return false;
  }
  if (mIsReader || mIsDoubted || mDigest.empty()) {
    return true;
  }
  return aNow - mSpan.mTo >= mTimes.mSilenceTimeout || !mCheckedAt ||
         aNow - *mCheckedAt >= mTimes.mCheckInterval;
}

ListAction
ListFollower::OnRead(const VmListAnswer& aAnswer, const ReadSpan& aSpan)
{
  mReadAt = aSpan.mFrom;
  if (aAnswer.mIsUnchanged) {
    if (aAnswer.mTag == mTag) {
      Refresh(aSpan);
      mCheckedAt = aSpan.mTo;
      mIsDoubted = false;
    }
    return {};
  }
  std::vector<VmEntry> vms = aAnswer.mVms;
  SortByName(vms);
  std::string digest = DigestOf(vms);
  ListAction action = Take(std::move(vms), digest, aAnswer.mTag, aSpan);
  if (mDigest == digest) {
    mTag = aAnswer.mTag;
    mCheckedAt = aSpan.mTo;
    mIsDoubted = false;
  }
  return action;
}

void
ListFollower::OnReadFailed(Instant aNow)
{
  mReadAt = aNow;
}

ListAction
ListFollower::OnUpdate(const ListUpdate& aNews, Instant aNow)
{
  if (aNews.mDigest == mDigest) {
    Refresh(aNews.mSpan);
    mTag = aNews.mTag.empty() ? mTag : aNews.mTag;
    return {};
  }
  if (!mDigest.empty() && !aNews.mSpan.IsAfter(mSpan)) {
    return {};
  }
  if (aNews.mFrom == mDigest && !mDigest.empty()) {
    auto vms = Apply(mVms, aNews.mChange);
    if (DigestOf(vms) == aNews.mDigest) {
      return Take(std::move(vms), aNews.mDigest, aNews.mTag, aNews.mSpan);
    }
  }
  if (mWholeAskedAt && aNow - *mWholeAskedAt < mTimes.mDistrust) {
    mIsDoubted = true;
    return {};
  }
  mWholeAskedAt = aNow;
  return FetchWholeList{ aNews.mReader };
}

ListAction
ListFollower::OnWholeList(std::vector<VmEntry> aVms,
                          const std::string& aTag,
                          const ReadSpan& aSpan)
{
  SortByName(aVms);
  std::string digest = DigestOf(aVms);
  return Take(std::move(aVms), std::move(digest), aTag, aSpan);
}

void
ListFollower::OnSameList(const std::string& aDigest, const ReadSpan& aSpan)
{
  if (aDigest == mDigest && !mDigest.empty()) {
    Refresh(aSpan);
  }
}

ListAction
ListFollower::Take(std::vector<VmEntry> aVms,
                   std::string aDigest,
                   const std::string& aTag,
                   const ReadSpan& aSpan)
{
  if (aDigest == mDigest) {
    Refresh(aSpan);
    return {};
  }
  if (!mDigest.empty() && !aSpan.IsAfter(mSpan)) {
    return {};
  }
  mVms = std::move(aVms);
  mDigest = std::move(aDigest);
  mTag = aTag;
  mSpan = aSpan;
  return UseList{};
}

// The list in use was the platform's in this span too.
void
ListFollower::Refresh(const ReadSpan& aSpan)
{
  if (aSpan.mFrom > mSpan.mFrom) {
    mSpan = aSpan;
  }
}

} // namespace bilberrytrail
