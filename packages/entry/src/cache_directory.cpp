#include <bilberrytrail/entry/cache_directory.h>

#include <algorithm>

namespace bilberrytrail {

std::optional<std::uint64_t>
CacheDirectory::ServersClockMs(Instant aTime) const noexcept
{
  if (!mClockOffsetMs) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(WholeMillis(aTime) + *mClockOffsetMs, 0));
}

std::size_t
CacheDirectory::PendingParts() const noexcept
{
  std::size_t parts = 0;
  for (const auto& [id, store] : mStores) {
    parts += store.mPending.size();
  }
  return parts;
}

void
CacheDirectory::SetStores(std::span<const CacheStore> aStores)
{
  std::erase_if(mStores, [&](const auto& aEntry) {
    return std::ranges::none_of(aStores, [&](const CacheStore& aStore) {
      return aStore.mName == aEntry.first &&
             (!aEntry.second.mInfo ||
              aStore.mEndpoint == aEntry.second.mInfo->mEndpoint);
    });
  });
  mCandidates.clear();
  for (const auto& it : aStores) {
    mStores[it.mName].mInfo = it;
    if (it.mIsManaged) {
      mCandidates.push_back({ DaemonId(it.mName.Text()),
                              it.mZone,
                              static_cast<double>(it.mCapacityTokens) });
    }
  }
}

void
CacheDirectory::Apply(const CachePage& aPage, Instant aNow)
{
  for (const auto& it : aPage.mResets) {
    auto& store = mStores[it.mStore];
    store.mParts.clear();
    store.mPending.clear();
  }
  for (const auto& it : aPage.mChanges) {
    auto& store = mStores[it.mStore];
    const std::pair part(it.mSalt, it.mPart);
    switch (it.mKind) {
      case CacheChangeKind::Added:
        store.mPending.erase(part);
        store.mParts.insert(part);
        break;
      case CacheChangeKind::Removed:
        store.mPending.erase(part);
        store.mParts.erase(part);
        break;
      case CacheChangeKind::Cleared:
        store.mParts.clear();
        store.mPending.clear();
        break;
    }
  }
  for (auto& [id, store] : mStores) {
    store.mAnsweredAt.reset();
  }
  for (const auto& it : aPage.mStoreAges) {
    mStores[it.mStore].mAnsweredAt = aNow - it.mAge;
  }
  if (aPage.mServersClockMs) {
    mClockOffsetMs =
      static_cast<std::int64_t>(*aPage.mServersClockMs) - WholeMillis(aNow);
  }
}

CacheDirectory::Store*
CacheDirectory::StoreFor(const PromptPart& aPart, Instant aNow)
{
  const auto home = HomeOf(aPart.mId, mCandidates);
  const auto it = mStores.find(StoreId(home.Text()));
  if (it == mStores.end() || !it->second.mAnsweredAt ||
      aNow > *it->second.mAnsweredAt + kFreshTime) {
    return nullptr;
  }
  return &it->second;
}

// A token bucket. A part larger than the bucket is admitted when it is full.
bool
CacheDirectory::TakeUploadBudget(Store& aStore,
                                 double aBytes,
                                 Instant aNow) const
{
  constexpr double kMillisInSecond = 1000;
  const double rate = kUploadLinkShare * aStore.mInfo->mBytesPerSecond /
                      static_cast<double>(mDaemons) / kMillisInSecond;
  const double bucketBytes = rate * ToMillis(kUploadBurst);
  const auto since = aStore.mUploadBudgetAt.value_or(aNow - kUploadBurst);
  aStore.mUploadBudget =
    std::min(bucketBytes, aStore.mUploadBudget + rate * ToMillis(aNow - since));
  aStore.mUploadBudgetAt = aNow;
  if (aStore.mUploadBudget < std::min(aBytes, bucketBytes)) {
    return false;
  }
  aStore.mUploadBudget -= aBytes;
  return true;
}

double
CacheDirectory::MissWork(const Prompt& aPrompt,
                         const std::string& aSalt,
                         Instant aNow)
{
  const auto* last = aPrompt.LastSharedPart();
  if (last == nullptr) {
    return 0;
  }
  const Store* store = StoreFor(*last, aNow);
  double work = 0;
  for (std::size_t n = 0; n + 1 < aPrompt.mParts.size(); ++n) {
    const auto& part = aPrompt.mParts[n];
    const bool isKept =
      store != nullptr && store->mParts.contains({ aSalt, part.mId });
    work += (isKept ? kFetchShare : 1.0) * static_cast<double>(part.mTokens);
  }
  return work;
}

std::vector<CachePlace>
CacheDirectory::Plan(const Prompt& aPrompt,
                     const std::string& aSalt,
                     std::uint64_t aTokenBytes,
                     Instant aNow)
{
  const auto* last = aPrompt.LastSharedPart();
  if (last == nullptr || aPrompt.SharedTokens() < kMinTokens) {
    return {};
  }
  Store* store = StoreFor(*last, aNow);
  if (store == nullptr) {
    return {};
  }
  std::vector<CachePlace> places(aPrompt.mParts.size());
  bool isUsed = false;
  for (std::size_t n = 0; n + 1 < places.size(); ++n) {
    const std::pair part(aSalt, aPrompt.mParts[n].mId);
    if (store->mParts.contains(part)) {
      places[n].mFrom = store->mInfo->mEndpoint;
      isUsed = true;
      continue;
    }
    if (store->mPending.size() >= kMaxPendingParts) {
      std::erase_if(store->mPending,
                    [&](const auto& aEntry) { return aEntry.second <= aNow; });
    }
    auto& until = store->mPending[part];
    const auto bytes =
      static_cast<double>(aPrompt.mParts[n].mTokens * aTokenBytes);
    if (aNow >= until && TakeUploadBudget(*store, bytes, aNow)) {
      until = aNow + kPendingTimeout;
      places[n].mTo = store->mInfo->mEndpoint;
      isUsed = true;
    }
  }
  return isUsed ? places : std::vector<CachePlace>();
}

} // namespace bilberrytrail
