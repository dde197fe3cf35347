#include "change_queue.h"

#include <algorithm>
#include <vector>

namespace bilberrytrail {

namespace {

// CBOR headers of the fields: 1 to 2 bytes per text, up to 9 per number.
constexpr std::size_t kRecordHeaderBytes = 24;
constexpr std::size_t kNumberHeaderBytes = 12;

} // namespace

std::size_t
EncodedSize(const MemberRecord& aRecord) noexcept
{
  return kRecordHeaderBytes + aRecord.mId.Text().size() +
         aRecord.mZone.Text().size() + aRecord.mEndpoint.mHost.size();
}

std::size_t
EncodedSize(const SharedNumber& aNumber) noexcept
{
  return kNumberHeaderBytes + aNumber.mName.size();
}

void
ChangeQueue::Push(const MemberRecord& aRecord)
{
  mChanges["m" + aRecord.mId.Text()] = { 0, ++mPushed, true, aRecord, {} };
}

void
ChangeQueue::Push(const SharedNumber& aNumber)
{
  mChanges["n" + aNumber.mName] = { 0, ++mPushed, false, {}, aNumber };
}

void
ChangeQueue::Fill(GossipMessage& aMessage,
                  std::size_t aBytes,
                  std::size_t aTimes)
{
  std::vector<std::map<std::string, Change>::iterator> order;
  for (auto it = mChanges.begin(); it != mChanges.end(); ++it) {
    order.push_back(it);
  }
  std::sort(
    order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
      const Change& left = aLeft->second;
      const Change& right = aRight->second;
      return left.mSent != right.mSent ? left.mSent < right.mSent
                                       : left.mOrder > right.mOrder;
    });
  std::size_t used = 0;
  for (const auto& it : order) {
    Change& change = it->second;
    const std::size_t size = change.mIsMember ? EncodedSize(change.mMember)
                                              : EncodedSize(change.mNumber);
    if (used + size > aBytes) {
      break;
    }
    used += size;
    if (change.mIsMember) {
      aMessage.mMembers.push_back(change.mMember);
    } else {
      aMessage.mNumbers.push_back(change.mNumber);
    }
    if (++change.mSent >= aTimes) {
      mChanges.erase(it);
    }
  }
}

} // namespace bilberrytrail
