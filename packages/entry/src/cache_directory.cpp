#include <bilberrytrail/entry/cache_directory.h>

#include <bilberrytrail/membership/rendezvous.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

std::int64_t
Millis(Instant aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aTime.time_since_epoch())
    .count();
}

} // namespace

std::optional<std::uint64_t>
CacheDirectory::ServersClockMs(Instant aTime) const noexcept
{
  if (!mClockOffsetMs) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(Millis(aTime) + *mClockOffsetMs, 0));
}

std::size_t
CacheDirectory::PartsAt(const StoreId& aStore) const noexcept
{
  const auto it = mStores.find(aStore);
  return it == mStores.end() ? 0 : it->second.mParts.size();
}

std::uint64_t
CacheDirectory::Next(const StoreId& aStore) const noexcept
{
  const auto it = mStores.find(aStore);
  return it == mStores.end() ? 0 : it->second.mNext;
}

void
CacheDirectory::SetStores(std::span<const CacheStore> aStores)
{
  std::erase_if(mStores, [&](const auto& aEntry) {
    return std::ranges::none_of(aStores, [&](const CacheStore& aStore) {
      return aStore.mName == aEntry.first &&
             aStore.mEndpoint == aEntry.second.mInfo.mEndpoint;
    });
  });
  for (const auto& it : aStores) {
    mStores[it.mName].mInfo = it;
  }
}

void
CacheDirectory::OnEvents(const StoreId& aStore,
                         const CacheEvents& aEvents,
                         Instant aNow)
{
  const auto it = mStores.find(aStore);
  if (it == mStores.end()) {
    return;
  }
  auto& store = it->second;
  if (store.mEpoch != aEvents.mEpoch || aEvents.mLost) {
    store.mParts.clear();
    store.mKeeping.clear();
  }
  const bool isNewEpoch = store.mEpoch != aEvents.mEpoch && store.mNext != 0;
  store.mEpoch = aEvents.mEpoch;
  if (isNewEpoch) {
    // The number belonged to the old epoch: all is read again.
    store.mNext = 0;
    store.mHeardAt.reset();
    return;
  }
  store.mNext = aEvents.mNext;
  store.mHeardAt = aNow;
  if (aEvents.mClockMs) {
    mClockOffsetMs =
      static_cast<std::int64_t>(*aEvents.mClockMs) - Millis(aNow);
  }
  for (const auto& event : aEvents.mEvents) {
    const std::pair part(event.mSalt, event.mPart);
    store.mKeeping.erase(part);
    if (event.mAdded) {
      store.mParts.insert(part);
    } else {
      store.mParts.erase(part);
    }
  }
}

void
CacheDirectory::OnSilence(const StoreId& aStore)
{
  const auto it = mStores.find(aStore);
  if (it == mStores.end()) {
    return;
  }
  it->second.mParts.clear();
  it->second.mKeeping.clear();
  it->second.mHeardAt.reset();
  it->second.mNext = 0;
  it->second.mEpoch = 0;
}

CacheDirectory::Store*
CacheDirectory::StoreFor(const PromptPart& aPart, Instant aNow)
{
  std::vector<HomeCandidate> candidates;
  for (const auto& [id, store] : mStores) {
    if (store.mInfo.mIsManaged) {
      candidates.push_back(
        { DaemonId(id.Text()),
          store.mInfo.mZone,
          static_cast<double>(store.mInfo.mCapacityTokens) });
    }
  }
  const auto home = HomeOf(aPart.mId, candidates);
  const auto it = mStores.find(StoreId(home.Text()));
  if (it == mStores.end() || !it->second.mHeardAt ||
      aNow > *it->second.mHeardAt + kFreshTime) {
    return nullptr;
  }
  return &it->second;
}

// A token bucket; a part larger than the bucket goes when it is full.
bool
CacheDirectory::TakeRoom(Store& aStore, double aBytes, Instant aNow) const
{
  constexpr double kMillisInSecond = 1000;
  const double rate = kKeepShare * aStore.mInfo.mBytesPerSecond /
                      static_cast<double>(mDaemons) / kMillisInSecond;
  const double most = rate * ToMillis(kKeepBurst);
  const auto since = aStore.mRoomAt.value_or(aNow - kKeepBurst);
  aStore.mRoom = std::min(most, aStore.mRoom + rate * ToMillis(aNow - since));
  aStore.mRoomAt = aNow;
  if (aStore.mRoom < std::min(aBytes, most)) {
    return false;
  }
  aStore.mRoom -= aBytes;
  return true;
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
      places[n].mFrom = store->mInfo.mEndpoint;
      isUsed = true;
      continue;
    }
    auto& until = store->mKeeping[part];
    const auto bytes =
      static_cast<double>(aPrompt.mParts[n].mTokens * aTokenBytes);
    if (aNow >= until && TakeRoom(*store, bytes, aNow)) {
      until = aNow + kKeepTime;
      places[n].mTo = store->mInfo.mEndpoint;
      isUsed = true;
    }
  }
  return isUsed ? places : std::vector<CachePlace>();
}

} // namespace bilberrytrail
