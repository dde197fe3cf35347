#include "kept_cache.h"

#include <bilberrytrail/cache/prompt_blocks.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Time that a request gives the homes of prompts and stores to answer.
constexpr Duration kFindTimeout = 50ms;
constexpr Duration kLinkTimeout = 50ms;
constexpr Duration kSettleTimeout = 500ms;
constexpr Duration kUpdateTimeout = 500ms;
// Changes that wait to be sent.
constexpr std::size_t kMaxWaitingChanges = 16384;
constexpr std::size_t kMaxBlocksPerPrompt = kMaxBlocksPerMessage;

DirectoryLimits
MakeDirectoryLimits(const DaemonSettings& aSettings)
{
  constexpr std::uint64_t kBlocksPerPrompt = 24;
  DirectoryLimits limits;
  limits.mMaxPrompts =
    std::max<std::uint64_t>(aSettings.mDirectoryEntries / kBlocksPerPrompt, 1);
  limits.mMaxBlocksPerPrompt = kMaxBlocksPerPrompt;
  return limits;
}

} // namespace

KeptCache::KeptCache(const DaemonSettings& aSettings, ControlViewHolder& aViews)
  : mSettings(aSettings)
  , mViews(aViews)
  , mDirectory(MakeDirectoryLimits(aSettings))
  , mUpdates(kMaxWaitingChanges)
  , mOwners(MakeDirectoryLimits(aSettings).mMaxPrompts)
  , mStores(aSettings)
{
}

bool
KeptCache::IsEnabled() const noexcept
{
  return mSettings.mCacheEnabled != 0;
}

std::uint64_t
KeptCache::BlockBytes() const noexcept
{
  return mSettings.mKvBytesPerToken * (mSettings.mBlockBytes / kBytesPerToken);
}

const MemberRecord*
KeptCache::PeerOf(const ControlView& aView, const DaemonId& aHome)
{
  return aHome == aView.mSelf ? nullptr : aView.FindMember(aHome);
}

const MemberRecord*
KeptCache::HomeOfStore(const ControlView& aView, const StoreId& aStore)
{
  const auto it = aView.mServers.find(ServerId(aStore.Text()));
  return it == aView.mServers.end() ? nullptr : PeerOf(aView, it->second.mHome);
}

void
KeptCache::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add("directory.find", [this](const Json& aParams) -> Result<Json> {
    const auto query = ReadDirectoryQuery(aParams);
    if (!query) {
      return query.error();
    }
    return ToJson(mDirectory.Find(query.value(), MonotonicNow()));
  });
  aMethods.Add("directory.update", [this](const Json& aParams) -> Result<Json> {
    const auto update = ReadDirectoryUpdate(aParams);
    if (!update) {
      return update.error();
    }
    mDirectory.Apply(update.value(), MonotonicNow());
    return Json::object();
  });
  aMethods.Add("store.links",
               [this](const Json& aParams) { return AnswerLinks(aParams); });
  aMethods.Add("store.reserve",
               [this](const Json& aParams) { return AnswerReserve(aParams); });
  aMethods.Add("store.settle",
               [this](const Json& aParams) { return AnswerSettle(aParams); });
  aMethods.Add("store.release",
               [this](const Json& aParams) { return AnswerRelease(aParams); });
}

Result<Json>
KeptCache::AnswerLinks(const Json& aParams)
{
  JsonFields fields(aParams);
  Json backlogs = Json::object();
  for (const auto& it : fields.List("stores")) {
    if (it.is_string()) {
      const auto store = mStores.Find(StoreId(it.get<std::string>()));
      backlogs[it.get<std::string>()] =
        store->Link(MonotonicNow()).mBacklogBytes;
    }
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return Json{ { "backlogs", std::move(backlogs) } };
}

Result<Json>
KeptCache::AnswerReserve(const Json& aParams)
{
  JsonFields fields(aParams);
  const StoreId store(fields.Text("store"));
  const auto bytes = fields.Unsigned("bytes");
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  const auto place = mStores.Find(store)->Reserve(bytes, MonotonicNow());
  if (!place) {
    return Fail(ErrorCode::Exhausted, "the link's backlog is too long");
  }
  return ToJson(*place);
}

Result<Json>
KeptCache::AnswerSettle(const Json& aParams)
{
  JsonFields fields(aParams);
  const StoreId store(fields.Text("store"));
  const auto number = fields.Unsigned("number");
  std::optional<std::uint64_t> used;
  if (fields.Has("used_bytes")) {
    used = fields.Unsigned("used_bytes");
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  mStores.Find(store)->Settle(number, used);
  return Json::object();
}

Result<Json>
KeptCache::AnswerRelease(const Json& aParams)
{
  JsonFields fields(aParams);
  const StoreId store(fields.Text("store"));
  const BlockId block(fields.Unsigned("block"));
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  mStores.Find(store)->AskRelease(block);
  return Json::object();
}

PromptLocations
KeptCache::Find(ThreadContext& aThread, const DirectoryQuery& aQuery)
{
  if (!IsEnabled() || aQuery.mBlocks.empty()) {
    return {};
  }
  DirectoryQuery query = aQuery;
  query.mBlocks.resize(std::min(query.mBlocks.size(), kMaxBlocksPerPrompt));
  const auto view = mViews.Load();
  const auto* peer = PeerOf(*view, HomeOfPrompt(query.mKey, *view));
  if (peer == nullptr) {
    return mDirectory.Find(query, MonotonicNow());
  }
  const auto reply =
    aThread.Peers().Call(*peer, "directory.find", ToJson(query), kFindTimeout);
  if (!reply) {
    return {};
  }
  auto locations = ReadPromptLocations(reply.value());
  return locations ? std::move(locations).value() : PromptLocations();
}

std::vector<StoreLink>
KeptCache::Links(ThreadContext& aThread, const PromptLocations& aWhere)
{
  std::set<StoreId> stores;
  for (const auto& copies : aWhere.mCopies) {
    for (const auto& copy : copies) {
      stores.insert(copy.mStore);
    }
  }
  const auto view = mViews.Load();
  std::vector<StoreLink> links;
  for (const auto& id : stores) {
    if (!view->mServers.contains(ServerId(id.Text()))) {
      continue;
    }
    const auto* peer = HomeOfStore(*view, id);
    if (peer == nullptr) {
      links.push_back(mStores.Find(id)->Link(MonotonicNow()));
      continue;
    }
    const auto reply =
      aThread.Peers().Call(*peer,
                           "store.links",
                           { { "stores", Json::array({ id.Text() }) } },
                           kLinkTimeout);
    if (!reply) {
      continue;
    }
    JsonFields outer(reply.value());
    JsonFields fields(outer.Object("backlogs"));
    StoreLink link = HomedStore(id, mSettings).Link(MonotonicNow());
    link.mBacklogBytes = fields.Unsigned(id.Text());
    if (outer.Check() && fields.Check()) {
      links.push_back(std::move(link));
    }
  }
  return links;
}

std::optional<Endpoint>
KeptCache::EndpointOf(const StoreId& aStore) const
{
  const auto view = mViews.Load();
  const auto it = view->mServers.find(ServerId(aStore.Text()));
  const bool isListed =
    it != view->mServers.end() && it->second.mVm.mRole == VmRole::Store;
  return isListed ? std::optional(it->second.mVm.mEndpoint) : std::nullopt;
}

std::optional<LinkPlace>
KeptCache::Reserve(ThreadContext& aThread,
                   const StoreId& aStore,
                   std::uint64_t aBytes)
{
  const auto view = mViews.Load();
  const auto* peer = HomeOfStore(*view, aStore);
  if (peer == nullptr) {
    return mStores.Find(aStore)->Reserve(aBytes, MonotonicNow());
  }
  const auto reply =
    aThread.Peers().Call(*peer,
                         "store.reserve",
                         { { "store", aStore.Text() }, { "bytes", aBytes } },
                         kLinkTimeout);
  if (!reply) {
    return std::nullopt;
  }
  const auto place = ReadLinkPlace(reply.value());
  return place ? std::optional(place.value()) : std::nullopt;
}

void
KeptCache::Settle(ThreadContext& aThread,
                  const StoreId& aStore,
                  std::uint64_t aNumber,
                  std::optional<std::uint64_t> aUsed)
{
  const auto view = mViews.Load();
  const auto* peer = HomeOfStore(*view, aStore);
  if (peer == nullptr) {
    mStores.Find(aStore)->Settle(aNumber, aUsed);
    return;
  }
  Json params = { { "store", aStore.Text() }, { "number", aNumber } };
  if (aUsed) {
    params["used_bytes"] = *aUsed;
  }
  (void)aThread.Peers().Call(*peer, "store.settle", params, kSettleTimeout);
}

void
KeptCache::Release(ThreadContext& aThread,
                   const StoreId& aStore,
                   BlockId aBlock)
{
  const auto view = mViews.Load();
  const auto* peer = HomeOfStore(*view, aStore);
  if (peer == nullptr) {
    mStores.Find(aStore)->AskRelease(aBlock);
    return;
  }
  (void)aThread.Peers().Call(
    *peer,
    "store.release",
    { { "store", aStore.Text() }, { "block", aBlock.Value() } },
    kSettleTimeout);
}

void
KeptCache::NoteOwner(const PromptKey& aKey, std::span<const BlockId> aBlocks)
{
  if (IsEnabled() && !aBlocks.empty()) {
    mOwners.Note(aKey,
                 aBlocks.first(std::min(aBlocks.size(), kMaxBlocksPerPrompt)));
  }
}

void
KeptCache::NoteCached(const ServerId& aServer, std::span<const BlockId> aBlocks)
{
  const auto view = mViews.Load();
  for (const auto block : aBlocks) {
    if (const auto key = mOwners.Find(block)) {
      mUpdates.AddCached(HomeOfPrompt(*key, *view), aServer, block);
    }
  }
}

void
KeptCache::NoteEvicted(const ServerId& aServer,
                       std::span<const BlockId> aBlocks)
{
  const auto view = mViews.Load();
  for (const auto block : aBlocks) {
    if (const auto key = mOwners.Find(block)) {
      mUpdates.AddEvicted(HomeOfPrompt(*key, *view), aServer, block);
    }
  }
}

void
KeptCache::AnnounceKept(HomedStore& aStore,
                        const PromptKey& aKey,
                        std::span<const BlockId> aBlocks)
{
  const auto view = mViews.Load();
  const auto home = HomeOfPrompt(aKey, *view);
  for (const auto block : aBlocks) {
    if (const auto kept = aStore.Announce(block, home)) {
      mUpdates.AddSealed(home, aStore.Id(), aStore.Incarnation(), *kept);
    }
  }
}

void
KeptCache::NoteFreed(const PromptKey& aKey, const StoreCopy& aCopy)
{
  const auto view = mViews.Load();
  mUpdates.AddFreed(
    HomeOfPrompt(aKey, *view), aCopy.mStore, aCopy.mIncarnation, aCopy.mRef);
}

void
KeptCache::NoteFreed(const StoreCopy& aCopy)
{
  if (const auto key = mOwners.Find(aCopy.mRef.mBlock)) {
    NoteFreed(*key, aCopy);
  }
}

void
KeptCache::NoteNewStore(const DaemonId& aHome,
                        const StoreId& aStore,
                        std::uint64_t aIncarnation)
{
  mUpdates.AddNewStore(aHome, aStore, aIncarnation);
}

void
KeptCache::SendUpdates(ThreadContext& aThread)
{
  const auto view = mViews.Load();
  for (const auto& [home, update] : mUpdates.Take()) {
    const auto* peer = PeerOf(*view, home);
    if (peer != nullptr) {
      (void)aThread.Peers().Call(
        *peer, "directory.update", ToJson(update), kUpdateTimeout);
    } else if (home == view->mSelf) {
      mDirectory.Apply(update, MonotonicNow());
    }
  }
}

} // namespace bilberrytrail
