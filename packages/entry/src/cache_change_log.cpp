#include <bilberrytrail/entry/cache_change_log.h>

#include <algorithm>

namespace bilberrytrail {

std::uint64_t
CacheChangeLog::Next(const StoreId& aStore) const noexcept
{
  const auto it = mStores.find(aStore);
  return it == mStores.end() ? 0 : it->second.mNext;
}

void
CacheChangeLog::Add(CacheChange aChange)
{
  mChanges.push_back(std::move(aChange));
  if (mChanges.size() > kMaxChanges) {
    mChanges.pop_front();
    ++mFirst;
  }
}

void
CacheChangeLog::Clear(const StoreId& aId, Store& aStore)
{
  if (aStore.mHasLoggedParts) {
    Add({ aId, CacheChangeKind::Cleared, {}, {} });
    aStore.mHasLoggedParts = false;
  }
}

void
CacheChangeLog::SetStores(std::span<const CacheStore> aStores)
{
  for (auto it = mStores.begin(); it != mStores.end();) {
    const bool isListed =
      std::ranges::any_of(aStores, [&](const CacheStore& aStore) {
        return aStore.mName == it->first &&
               aStore.mEndpoint == it->second.mEndpoint;
      });
    if (isListed) {
      ++it;
      continue;
    }
    Clear(it->first, it->second);
    it = mStores.erase(it);
  }
  for (const auto& it : aStores) {
    mStores[it.mName].mEndpoint = it.mEndpoint;
  }
}

void
CacheChangeLog::OnEvents(const StoreId& aStore,
                         const CacheEvents& aEvents,
                         Instant aNow)
{
  const auto it = mStores.find(aStore);
  if (it == mStores.end()) {
    return;
  }
  auto& store = it->second;
  if (store.mEpoch != aEvents.mEpoch || aEvents.mLost) {
    Clear(aStore, store);
  }
  const bool isNewEpoch = store.mEpoch != aEvents.mEpoch && store.mNext != 0;
  store.mEpoch = aEvents.mEpoch;
  if (isNewEpoch) {
    // The sequence number belonged to the old epoch: read from the start.
    store.mNext = 0;
    store.mAnsweredAt.reset();
    return;
  }
  store.mNext = aEvents.mNext;
  store.mAnsweredAt = aNow;
  if (aEvents.mClockMs) {
    mClockOffsetMs =
      static_cast<std::int64_t>(*aEvents.mClockMs) - WholeMillis(aNow);
  }
  for (const auto& event : aEvents.mEvents) {
    store.mHasLoggedParts = true;
    Add({ aStore,
          event.mAdded ? CacheChangeKind::Added : CacheChangeKind::Removed,
          event.mSalt,
          event.mPart });
  }
}

void
CacheChangeLog::OnUnavailable(const StoreId& aStore)
{
  const auto it = mStores.find(aStore);
  if (it == mStores.end()) {
    return;
  }
  auto& store = it->second;
  Clear(aStore, store);
  store.mAnsweredAt.reset();
  store.mNext = 0;
  store.mEpoch = 0;
}

CachePage
CacheChangeLog::PageAt(const CacheCursor& aCursor, Instant aNow) const
{
  CachePage page;
  const auto end = mFirst + mChanges.size();
  page.mIsReset =
    aCursor.mLog != mId || aCursor.mNext < mFirst || aCursor.mNext > end;
  const auto begin = page.mIsReset ? mFirst : aCursor.mNext;
  const auto count = std::min<std::uint64_t>(end - begin, kMaxPageChanges);
  for (auto n = begin; n < begin + count; ++n) {
    page.mChanges.push_back(mChanges[n - mFirst]);
  }
  page.mCursor = { mId, begin + count };
  page.mHasMore = begin + count < end;
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

} // namespace bilberrytrail
