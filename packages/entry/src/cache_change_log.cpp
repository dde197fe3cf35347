#include <bilberrytrail/entry/cache_change_log.h>

#include <algorithm>

namespace bilberrytrail {

std::uint64_t
CacheChangeLog::Next(const StoreId& aStore) const noexcept
{
  const auto it = mStores.find(aStore);
  return it == mStores.end() ? 0 : it->second.mReadFrom;
}

std::vector<CachePosition>
CacheChangeLog::Positions() const
{
  std::vector<CachePosition> positions;
  for (const auto& [id, store] : mStores) {
    if (store.mEpoch != 0) {
      positions.push_back({ id, store.mEpoch, store.mNext });
    }
  }
  return positions;
}

bool
CacheChangeLog::Knows(const CacheCursor& aCursor) const noexcept
{
  return aCursor.mLog == mId && aCursor.mNext >= mFirst &&
         aCursor.mNext <= End();
}

bool
CacheChangeLog::IsCurrent(const CacheChange& aChange) const
{
  const auto it = mStores.find(aChange.mStore);
  return it != mStores.end() && it->second.mEpoch == aChange.mEpoch;
}

CachePage
CacheChangeLog::ResumeAt(std::span<const CachePosition> aPositions) const
{
  CachePage page;
  // Number of the first event that the reader lacks.
  std::map<StoreId, std::uint64_t> lacked;
  for (const auto& [id, store] : mStores) {
    if (store.mEpoch == 0) {
      continue;
    }
    const auto it = std::ranges::find(aPositions, id, &CachePosition::mStore);
    const bool continues = it != aPositions.end() &&
                           it->mEpoch == store.mEpoch &&
                           it->mNext >= store.mFrom;
    lacked[id] = continues ? it->mNext : 0;
    if (!continues) {
      page.mResets.push_back({ id, store.mEpoch, store.mFrom });
    }
  }
  auto begin = mFirst;
  for (const auto& it : mChanges) {
    if (it.mKind != CacheChangeKind::Cleared && IsCurrent(it) &&
        it.mNumber >= lacked[it.mStore]) {
      break;
    }
    ++begin;
  }
  page.mCursor = { mId, begin };
  page.mHasMore = begin < End();
  return page;
}

CachePage
CacheChangeLog::PageAt(const CacheCursor& aCursor, Instant aNow) const
{
  CachePage page;
  auto begin = aCursor.mNext;
  if (!Knows(aCursor)) {
    page.mResets = ResumeAt({}).mResets;
    begin = mFirst;
  }
  const auto count = std::min<std::uint64_t>(End() - begin, kMaxPageChanges);
  for (auto n = begin; n < begin + count; ++n) {
    const auto& change = mChanges[n - mFirst];
    if (IsCurrent(change)) {
      page.mChanges.push_back(change);
    }
  }
  page.mCursor = { mId, begin + count };
  page.mHasMore = begin + count < End();
  for (const auto& [id, store] : mStores) {
    if (store.mAnsweredAt) {
      page.mStoreAges.push_back({ id, aNow - *store.mAnsweredAt });
    }
  }
  if (mClockOffsetMs) {
    page.mServersClockMs = static_cast<std::uint64_t>(
      std::max<std::int64_t>(WholeMillis(aNow) + *mClockOffsetMs, 0));
  }
  return page;
}

void
CacheChangeLog::DropFirst()
{
  const auto& first = mChanges.front();
  const auto it = mStores.find(first.mStore);
  if (first.mKind != CacheChangeKind::Cleared && it != mStores.end() &&
      it->second.mEpoch == first.mEpoch) {
    it->second.mFrom = std::max(it->second.mFrom, first.mNumber + 1);
  }
  mChanges.pop_front();
  ++mFirst;
}

void
CacheChangeLog::Add(CacheChange aChange)
{
  mChanges.push_back(std::move(aChange));
  if (mChanges.size() > kMaxChanges) {
    DropFirst();
  }
}

void
CacheChangeLog::Trim(const CacheCursor& aCursor)
{
  while (!mIsKept && !mChanges.empty() && mFirst < aCursor.mNext) {
    DropFirst();
  }
}

void
CacheChangeLog::Clear(const StoreId& aId,
                      Store& aStore,
                      std::uint64_t aEpoch,
                      std::uint64_t aNext)
{
  aStore.mEpoch = aEpoch;
  aStore.mNext = aNext;
  aStore.mReadFrom = aNext > 0 ? aNext - 1 : 0;
  aStore.mFrom = aNext;
  Add({ aId, CacheChangeKind::Cleared, {}, {}, aEpoch, aNext });
}

void
CacheChangeLog::SetStores(std::span<const CacheStore> aStores)
{
  std::erase_if(mStores, [&](const auto& aEntry) {
    return std::ranges::none_of(aStores, [&](const CacheStore& aStore) {
      return aStore.mName == aEntry.first &&
             aStore.mEndpoint ==
               aEntry.second.mEndpoint.value_or(aStore.mEndpoint);
    });
  });
  for (const auto& it : aStores) {
    mStores[it.mName].mEndpoint = it.mEndpoint;
  }
}

void
CacheChangeLog::OnEvents(const StoreId& aStore,
                         const CacheEvents& aEvents,
                         Instant aShownAt)
{
  const auto it = mStores.find(aStore);
  if (it == mStores.end()) {
    return;
  }
  auto& store = it->second;
  const bool isNewEpoch = store.mEpoch != aEvents.mEpoch;
  if (isNewEpoch && store.mReadFrom != 0) {
    // The sequence number belonged to the old epoch: read from the start.
    Clear(aStore, store, aEvents.mEpoch, 0);
    store.mAnsweredAt.reset();
    return;
  }
  if (isNewEpoch || aEvents.mLost) {
    const auto first =
      aEvents.mEvents.empty() ? aEvents.mNext : aEvents.mEvents.front().mNumber;
    Clear(aStore, store, aEvents.mEpoch, aEvents.mLost ? first : 0);
  }
  store.mAnsweredAt = aShownAt;
  if (aEvents.mClockMs) {
    mClockOffsetMs =
      static_cast<std::int64_t>(*aEvents.mClockMs) - WholeMillis(aShownAt);
  }
  for (const auto& event : aEvents.mEvents) {
    OnChange({ aStore,
               event.mAdded ? CacheChangeKind::Added : CacheChangeKind::Removed,
               event.mSalt,
               event.mPart,
               aEvents.mEpoch,
               event.mNumber });
  }
  store.mReadFrom = aEvents.mNext;
}

// Adds a change that this daemon does not have yet.
void
CacheChangeLog::OnChange(const CacheChange& aChange)
{
  auto& store = mStores[aChange.mStore];
  const bool isNewEpoch = store.mEpoch != aChange.mEpoch;
  if (aChange.mKind == CacheChangeKind::Cleared) {
    if (isNewEpoch || aChange.mNumber > store.mNext) {
      Clear(aChange.mStore, store, aChange.mEpoch, aChange.mNumber);
    }
    return;
  }
  if (isNewEpoch) {
    Clear(aChange.mStore, store, aChange.mEpoch, aChange.mNumber);
  }
  if (aChange.mNumber >= store.mNext) {
    store.mNext = aChange.mNumber + 1;
    store.mReadFrom = aChange.mNumber;
    Add(aChange);
  }
}

void
CacheChangeLog::OnPage(const CachePage& aPage,
                       Instant aEarliest,
                       Instant aLatest)
{
  for (const auto& it : aPage.mResets) {
    Clear(it.mStore, mStores[it.mStore], it.mEpoch, it.mNext);
  }
  for (const auto& it : aPage.mChanges) {
    OnChange(it);
  }
  for (auto& [id, store] : mStores) {
    store.mAnsweredAt.reset();
  }
  for (const auto& it : aPage.mStoreAges) {
    mStores[it.mStore].mAnsweredAt = aEarliest - it.mAge;
  }
  if (aPage.mServersClockMs) {
    mClockOffsetMs =
      static_cast<std::int64_t>(*aPage.mServersClockMs) - WholeMillis(aLatest);
  }
}

void
CacheChangeLog::OnUnavailable(const StoreId& aStore)
{
  const auto it = mStores.find(aStore);
  if (it != mStores.end()) {
    it->second.mAnsweredAt.reset();
  }
}

} // namespace bilberrytrail
