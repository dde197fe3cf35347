#include "store_service.h"

#include <bilberrytrail/cache/prompt_blocks.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Prompts of one server that wait for their export.
constexpr std::size_t kMaxExportJobs = 64;
// Prefill speed assumed for blocks of an inventory, tokens per second.
constexpr double kAssumedPrefill = 8000;
// Time to begin a transfer from each tier.
constexpr Duration kMemoryLatency = 1ms;
constexpr Duration kDiskLatency = 10ms;

LinkLimits
MakeLinkLimits(const DaemonSettings& aSettings)
{
  LinkLimits limits;
  limits.mBytesPerSecond = static_cast<double>(aSettings.mLinkBytesPerSecond);
  return limits;
}

LinkPlace
ToPlace(const LinkReservation& aReservation, Instant aNow)
{
  LinkPlace place;
  place.mNumber = aReservation.mNumber;
  place.mBeginAfter =
    std::max<Duration>(aReservation.mBeginAt - aNow, Duration::zero());
  place.mEndAfter =
    std::max<Duration>(aReservation.mEndAt - aNow, Duration::zero());
  return place;
}

} // namespace

Json
ToJson(const LinkPlace& aPlace)
{
  return { { "number", aPlace.mNumber },
           { "begin_us", aPlace.mBeginAfter.count() },
           { "end_us", aPlace.mEndAfter.count() } };
}

Result<LinkPlace>
ReadLinkPlace(const Json& aJson)
{
  JsonFields fields(aJson);
  LinkPlace place;
  place.mNumber = fields.Unsigned("number");
  place.mBeginAfter = Duration(fields.Unsigned("begin_us"));
  place.mEndAfter = Duration(fields.Unsigned("end_us"));
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return place;
}

HomedStore::HomedStore(StoreId aId, const DaemonSettings& aSettings)
  : mId(std::move(aId))
  , mSettings(aSettings)
  , mLink(MakeLinkLimits(aSettings))
{
}

StoreLink
HomedStore::Link(Instant aNow) const
{
  const std::lock_guard lock(mMutex);
  StoreLink link;
  link.mStore = mId;
  link.mBytesPerSecond = static_cast<double>(mSettings.mLinkBytesPerSecond);
  link.mBacklogBytes = mLink.BacklogBytes(aNow);
  link.mMemoryLatency = kMemoryLatency;
  link.mDiskLatency = kDiskLatency;
  return link;
}

ImportUse
HomedStore::Use(Instant aNow) const
{
  const std::lock_guard lock(mMutex);
  return { mLink.UsedBytes(),
           mLink.UnusedBytes(),
           mLink.UsedShare(),
           mLink.Backlog(aNow) };
}

bool
HomedStore::IsKept(BlockId aBlock) const
{
  const std::lock_guard lock(mMutex);
  return mKept.contains(aBlock);
}

std::uint64_t
HomedStore::Incarnation() const
{
  const std::lock_guard lock(mMutex);
  return mIncarnation;
}

std::optional<LinkPlace>
HomedStore::Reserve(std::uint64_t aBytes, Instant aNow)
{
  const std::lock_guard lock(mMutex);
  const auto place = mLink.Reserve(aBytes, aNow);
  return place ? std::optional(ToPlace(*place, aNow)) : std::nullopt;
}

std::optional<LinkPlace>
HomedStore::ReserveExport(std::uint64_t aBytes, Instant aNow)
{
  const std::lock_guard lock(mMutex);
  if (mLink.Backlog(aNow) > Duration::zero()) {
    return std::nullopt;
  }
  const auto place = mLink.Reserve(aBytes, aNow);
  return place ? std::optional(ToPlace(*place, aNow)) : std::nullopt;
}

void
HomedStore::Settle(std::uint64_t aNumber, std::optional<std::uint64_t> aUsed)
{
  const std::lock_guard lock(mMutex);
  if (aUsed) {
    mLink.OnUsed(aNumber, *aUsed);
  } else {
    mLink.OnCancelled(aNumber);
  }
}

void
HomedStore::RecordUse(std::span<const BlockId> aBlocks)
{
  const std::lock_guard lock(mMutex);
  if (mPolicy == nullptr) {
    return;
  }
  for (const auto block : aBlocks) {
    mPolicy->OnUse(block);
  }
}

std::optional<RetentionDecision>
HomedStore::Offer(const RetentionCandidate& aCandidate)
{
  const std::lock_guard lock(mMutex);
  return mPolicy == nullptr ? std::nullopt
                            : std::optional(mPolicy->Offer(aCandidate));
}

void
HomedStore::OnSealed(const StoredBlock& aBlock)
{
  const std::lock_guard lock(mMutex);
  mKept[aBlock.mRef.mBlock] = Kept{ aBlock, {} };
}

std::optional<StoredBlock>
HomedStore::OnGone(BlockId aBlock)
{
  const std::lock_guard lock(mMutex);
  if (mPolicy != nullptr) {
    mPolicy->OnRemoved(aBlock);
  }
  const auto it = mKept.find(aBlock);
  if (it == mKept.end()) {
    return std::nullopt;
  }
  const StoredBlock block = it->second.mBlock;
  mKept.erase(it);
  return block;
}

std::vector<StoredBlock>
HomedStore::OnInventory(const StoreInventory& aInventory)
{
  const std::lock_guard lock(mMutex);
  if (mPolicy == nullptr || aInventory.mIncarnation != mIncarnation) {
    const auto bytes = aInventory.mMemoryBytes + aInventory.mDiskBytes;
    const auto block = std::max<std::uint64_t>(
      mSettings.mKvBytesPerToken * (mSettings.mBlockBytes / kBytesPerToken), 1);
    mPolicy = std::make_unique<FrequencyRetentionPolicy>(
      RetentionLimits{ aInventory.mMemoryBytes, aInventory.mDiskBytes },
      std::max<std::size_t>(bytes / block, 64));
    mIncarnation = aInventory.mIncarnation;
  }
  std::unordered_map<BlockId, Kept> kept;
  for (const auto& block : aInventory.mBlocks) {
    const BlockId id = block.mRef.mBlock;
    const auto known = mKept.find(id);
    const bool isSame =
      known != mKept.end() && known->second.mBlock.mRef == block.mRef;
    kept[id] = Kept{ block, isSame ? known->second.mAnnouncedTo : DaemonId() };
    if (!mPolicy->TierOf(id)) {
      (void)mPolicy->Offer(CandidateOf(block.mRef));
    }
  }
  std::vector<StoredBlock> lost;
  for (const auto& [id, known] : mKept) {
    const auto it = kept.find(id);
    if (it == kept.end()) {
      mPolicy->OnRemoved(id);
    }
    if (it == kept.end() || it->second.mBlock.mRef != known.mBlock.mRef) {
      lost.push_back(known.mBlock);
    }
  }
  mKept = std::move(kept);
  return lost;
}

void
HomedStore::AskRelease(BlockId aBlock)
{
  const std::lock_guard lock(mMutex);
  if (mKept.contains(aBlock)) {
    mReleases.insert(aBlock);
  }
}

std::optional<BlockId>
HomedStore::NextRelease()
{
  const std::lock_guard lock(mMutex);
  if (mReleases.empty()) {
    return std::nullopt;
  }
  const BlockId block = *mReleases.begin();
  mReleases.erase(mReleases.begin());
  return block;
}

std::optional<StoredBlock>
HomedStore::Announce(BlockId aBlock, const DaemonId& aHome)
{
  const std::lock_guard lock(mMutex);
  const auto it = mKept.find(aBlock);
  if (it == mKept.end() || it->second.mAnnouncedTo == aHome) {
    return std::nullopt;
  }
  it->second.mAnnouncedTo = aHome;
  return it->second.mBlock;
}

std::set<DaemonId>
HomedStore::AnnouncedTo() const
{
  const std::lock_guard lock(mMutex);
  std::set<DaemonId> homes;
  for (const auto& [id, kept] : mKept) {
    if (!kept.mAnnouncedTo.IsEmpty()) {
      homes.insert(kept.mAnnouncedTo);
    }
  }
  return homes;
}

RetentionCandidate
HomedStore::CandidateOf(const BlockRef& aRef) const
{
  RetentionCandidate candidate;
  candidate.mBlock = aRef.mBlock;
  candidate.mBytes = aRef.mBytes;
  const double tokens =
    static_cast<double>(mSettings.mBlockBytes) / kBytesPerToken;
  candidate.mRecompute = FromMillis(tokens / kAssumedPrefill * 1000);
  candidate.mTransfer =
    FromMillis(static_cast<double>(aRef.mBytes) /
               static_cast<double>(mSettings.mLinkBytesPerSecond) * 1000);
  return candidate;
}

StoreService::StoreService(const DaemonSettings& aSettings)
  : mSettings(aSettings)
{
}

HomedStorePtr
StoreService::Find(const StoreId& aStore)
{
  const std::lock_guard lock(mMutex);
  auto& store = mStores[aStore];
  if (store == nullptr) {
    store = std::make_shared<HomedStore>(aStore, mSettings);
  }
  return store;
}

std::vector<HomedStorePtr>
StoreService::All() const
{
  const std::lock_guard lock(mMutex);
  std::vector<HomedStorePtr> stores;
  for (const auto& [id, store] : mStores) {
    stores.push_back(store);
  }
  return stores;
}

void
StoreService::OnServed(ExportJob aJob)
{
  const std::lock_guard lock(mMutex);
  auto& jobs = mExports[aJob.mServer];
  std::erase_if(jobs, [&](const ExportJob& aOther) {
    return aOther.mKey == aJob.mKey && aOther.mBlocks == aJob.mBlocks;
  });
  if (jobs.size() < kMaxExportJobs) {
    jobs.push_back(std::move(aJob));
  }
}

std::optional<ExportJob>
StoreService::NextExport(const ServerId& aServer)
{
  const std::lock_guard lock(mMutex);
  const auto it = mExports.find(aServer);
  if (it == mExports.end() || it->second.empty()) {
    return std::nullopt;
  }
  ExportJob job = std::move(it->second.front());
  it->second.pop_front();
  return job;
}

} // namespace bilberrytrail
