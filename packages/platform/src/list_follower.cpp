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
  if (mLastReadAt && aNow - *mLastReadAt < mTimes.mPollInterval) {
    return false;
  }
  if (mIsReader || mHasMismatch || mDigest.empty()) {
    return true;
  }
  return aNow - mSpan.mTo >= mTimes.mSilenceTimeout || !mVerifiedAt ||
         aNow - *mVerifiedAt >= mTimes.mCheckInterval;
}

ListAction
ListFollower::OnRead(const VmListAnswer& aAnswer, const ReadSpan& aSpan)
{
  mLastReadAt = aSpan.mFrom;
  if (aAnswer.mIsUnchanged) {
    if (aAnswer.mTag == mTag) {
      Confirm(aSpan);
      mVerifiedAt = aSpan.mTo;
      mHasMismatch = false;
    }
    return {};
  }
  std::vector<VmEntry> vms = aAnswer.mVms;
  SortByName(vms);
  std::string digest = DigestOf(vms);
  ListAction action = Adopt(std::move(vms), digest, aAnswer.mTag, aSpan);
  if (mDigest == digest) {
    mTag = aAnswer.mTag;
    mVerifiedAt = aSpan.mTo;
    mHasMismatch = false;
  }
  return action;
}

void
ListFollower::OnReadFailed(Instant aNow)
{
  mLastReadAt = aNow;
}

ListAction
ListFollower::OnUpdate(const ListUpdate& aUpdate, Instant aNow)
{
  if (aUpdate.mDigest == mDigest) {
    Confirm(aUpdate.mSpan);
    mTag = aUpdate.mTag.empty() ? mTag : aUpdate.mTag;
    return {};
  }
  if (!mDigest.empty() && !aUpdate.mSpan.IsAfter(mSpan)) {
    return {};
  }
  if (aUpdate.mFrom == mDigest && !mDigest.empty()) {
    auto vms = Apply(mVms, aUpdate.mChange);
    if (DigestOf(vms) == aUpdate.mDigest) {
      return Adopt(
        std::move(vms), aUpdate.mDigest, aUpdate.mTag, aUpdate.mSpan);
    }
  }
  if (mWholeRequestedAt && aNow - *mWholeRequestedAt < mTimes.mMismatchWindow) {
    mHasMismatch = true;
    return {};
  }
  mWholeRequestedAt = aNow;
  return FetchWholeList{ aUpdate.mReader };
}

ListAction
ListFollower::OnWholeList(std::vector<VmEntry> aVms,
                          const std::string& aTag,
                          const ReadSpan& aSpan)
{
  SortByName(aVms);
  std::string digest = DigestOf(aVms);
  return Adopt(std::move(aVms), std::move(digest), aTag, aSpan);
}

void
ListFollower::OnSameList(const std::string& aDigest, const ReadSpan& aSpan)
{
  if (aDigest == mDigest && !mDigest.empty()) {
    Confirm(aSpan);
  }
}

ListAction
ListFollower::Adopt(std::vector<VmEntry> aVms,
                    std::string aDigest,
                    const std::string& aTag,
                    const ReadSpan& aSpan)
{
  if (aDigest == mDigest) {
    Confirm(aSpan);
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

// Records that the platform still had the list in use within a later span.
void
ListFollower::Confirm(const ReadSpan& aSpan)
{
  if (aSpan.mFrom > mSpan.mFrom) {
    mSpan = aSpan;
  }
}

} // namespace bilberrytrail
