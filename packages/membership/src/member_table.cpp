#include "member_table.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Returns true when the new record overrides the old one. At the same
// incarnation the worse status wins; Left is final.
bool
Overrides(const MemberRecord& aNew, const MemberRecord& aOld)
{
  if (aOld.mStatus == MemberStatus::Left) {
    return false;
  }
  if (aNew.mStatus == MemberStatus::Left) {
    return true;
  }
  if (aNew.mIncarnation != aOld.mIncarnation) {
    return aNew.mIncarnation > aOld.mIncarnation;
  }
  return aNew.mStatus > aOld.mStatus;
}

} // namespace

const MemberRecord*
MemberTable::Find(const DaemonId& aId) const
{
  const auto it = mEntries.find(aId);
  return it == mEntries.end() ? nullptr : &it->second.mRecord;
}

std::vector<MemberRecord>
MemberTable::Live() const
{
  std::vector<MemberRecord> found;
  for (const auto& [id, entry] : mEntries) {
    if (IsLive(entry.mRecord.mStatus)) {
      found.push_back(entry.mRecord);
    }
  }
  return found;
}

std::vector<MemberRecord>
MemberTable::Departed() const
{
  std::vector<MemberRecord> found;
  for (const auto& [id, entry] : mEntries) {
    if (!IsLive(entry.mRecord.mStatus)) {
      found.push_back(entry.mRecord);
    }
  }
  return found;
}

bool
MemberTable::HasLiveAt(const Endpoint& aEndpoint) const
{
  return std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& aItem) {
    const MemberRecord& record = aItem.second.mRecord;
    return IsLive(record.mStatus) && record.mEndpoint == aEndpoint;
  });
}

std::vector<MemberRecord>
MemberTable::ExpiredSuspects(Instant aNow) const
{
  std::vector<MemberRecord> found;
  for (const auto& [id, entry] : mEntries) {
    if (entry.mRecord.mStatus == MemberStatus::Suspect && entry.mTime <= aNow) {
      found.push_back(entry.mRecord);
    }
  }
  return found;
}

std::vector<MemberRecord>
MemberTable::OthersAt(const Endpoint& aEndpoint, const DaemonId& aId) const
{
  std::vector<MemberRecord> found;
  for (const auto& [id, entry] : mEntries) {
    if (IsLive(entry.mRecord.mStatus) && entry.mRecord.mEndpoint == aEndpoint &&
        id != aId) {
      found.push_back(entry.mRecord);
    }
  }
  return found;
}

const MemberRecord*
MemberTable::NextLive(const DaemonId& aAfter) const
{
  auto it = mEntries.upper_bound(aAfter);
  for (std::size_t n = 0; n < mEntries.size(); ++n, ++it) {
    if (it == mEntries.end()) {
      it = mEntries.begin();
    }
    if (IsLive(it->second.mRecord.mStatus)) {
      return &it->second.mRecord;
    }
  }
  return nullptr;
}

MemberTable::Outcome
MemberTable::Merge(const MemberRecord& aRecord,
                   Instant aNow,
                   Duration aSuspicionTimeout)
{
  const bool live = IsLive(aRecord.mStatus);
  const auto found = mEntries.find(aRecord.mId);
  const bool known = found != mEntries.end();
  if (!known && mEntries.size() >= kMaxGossipMembers) {
    return Outcome::Ignored;
  }
  if (known && !Overrides(aRecord, found->second.mRecord)) {
    return Outcome::Ignored;
  }
  const bool wasLive = known && IsLive(found->second.mRecord.mStatus);
  const bool suspect = aRecord.mStatus == MemberStatus::Suspect;
  mEntries[aRecord.mId] = { aRecord,
                            suspect ? aNow + aSuspicionTimeout : aNow };
  mLiveCount += (live ? 1U : 0U);
  mLiveCount -= (wasLive ? 1U : 0U);
  return known || live ? Outcome::Changed : Outcome::AddedDeparted;
}

void
MemberTable::RestartSuspicions(Instant aNow, Duration aSuspicionTimeout)
{
  for (auto& [id, entry] : mEntries) {
    if (entry.mRecord.mStatus == MemberStatus::Suspect) {
      entry.mTime = aNow + aSuspicionTimeout;
    }
  }
}

void
MemberTable::RemoveDeparted(Instant aNow, Duration aAfter)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    return !IsLive(entry.mRecord.mStatus) && entry.mTime + aAfter <= aNow;
  });
}

} // namespace bilberrytrail
