#include "prefix_import.h"

#include <bilberrytrail/cache/prompt_blocks.h>

#include <algorithm>
#include <utility>

namespace bilberrytrail {

namespace {

constexpr Duration kCallTimeout = 500ms;
// Time that an import may take longer than expected.
constexpr Duration kImportSlack = 1s;
// Rounds of waiting for other requests' work on the same prefix.
constexpr int kMaxWaits = 8;

} // namespace

// The imports of one request; shared by the request's fiber and the fiber that
// carries them out, both on one thread.
class PrefixImport::Job : public std::enable_shared_from_this<Job>
{
public:
  Job(ThreadContext& aThread,
      KeptCache& aCache,
      HomedServerPtr aServer,
      const HomeRequest& aRequest)
    : mThread(aThread)
    , mCache(aCache)
    , mServer(std::move(aServer))
    , mServerId(aRequest.mServer)
    , mAttempt(aRequest.mGenerate.mAttempt.Text() + "/import")
    , mVersion(aRequest.mGenerate.mVersion)
    , mKey{ aRequest.mProduct, aRequest.mAccount, {} }
    , mImports(aRequest.mImports)
    , mDone(aThread.GetLoop())
  {
    if (!aRequest.mGenerate.mBlocks.empty()) {
      mKey.mRoot = aRequest.mGenerate.mBlocks.front();
    }
  }

  void Start()
  {
    if (mImports.empty()) {
      mIsDone = true;
      return;
    }
    mThread.GetLoop().Spawn([self = shared_from_this()] {
      self->Run();
      self->mIsDone = true;
      self->mDone.Notify();
    });
  }

  void Await(Instant aDeadline)
  {
    while (!mIsDone && MonotonicNow() < aDeadline) {
      (void)mDone.Wait(aDeadline - MonotonicNow());
    }
  }

  // The request's fiber wants nothing more: whatever is not settled yet was
  // not used.
  void Abandon()
  {
    mIsAbandoned = true;
    if (mIsDone) {
      SettleAll(0);
    }
  }

  // Settles all transfers: the first blocks of the prompt were reused.
  void SettleAll(std::size_t aReusedBlocks)
  {
    for (auto& transfer : std::exchange(mTransfers, {})) {
      std::uint64_t used = 0;
      for (const auto& [index, bytes] : transfer.mBlocks) {
        used += index < aReusedBlocks ? bytes : 0;
      }
      Settle(transfer.mStore, transfer.mNumber, used);
    }
  }

  // Gives the place of each block in the prompt.
  void SetBlocks(std::vector<BlockId> aBlocks) { mBlocks = std::move(aBlocks); }

private:
  // An import that took place and whose use is not known yet.
  struct Transferred
  {
    StoreId mStore;
    std::uint64_t mNumber = 0;
    std::vector<std::pair<std::size_t, std::uint64_t>> mBlocks;
  };

  // What a store has pinned of the blocks asked for.
  struct Pinned
  {
    // The store has answered; else nothing is known.
    bool mIsKnown = false;
    bool mIsOrdered = false;
    std::vector<BlockRef> mRefs;
  };

  void Run()
  {
    auto it = mImports.begin();
    while (it != mImports.end() && !mIsAbandoned) {
      const StoreId store = it->mStore;
      const auto end =
        std::find_if(it, mImports.end(), [&](const StoreCopy& aCopy) {
          return aCopy.mStore != store;
        });
      if (!ImportFrom(store, { it, end })) {
        break;
      }
      it = end;
    }
    if (mIsAbandoned) {
      SettleAll(0);
    }
  }

  // Imports a run of blocks from one store. Returns true when all of them can
  // be used; what follows a missing block is of no use.
  bool ImportFrom(const StoreId& aStore, const std::vector<StoreCopy>& aCopies)
  {
    for (int n = 0; n < kMaxWaits && !mIsAbandoned; ++n) {
      const auto result = TryImport(aStore, aCopies);
      if (result) {
        return *result;
      }
    }
    return false;
  }

  // Returns nothing after waiting for another request's work on the blocks.
  std::optional<bool> TryImport(const StoreId& aStore,
                                const std::vector<StoreCopy>& aCopies)
  {
    const auto resident = mServer->ResidentPrefix(mBlocks);
    std::vector<BlockRef> refs;
    std::vector<BlockId> ids;
    std::uint64_t bytes = 0;
    for (const auto& copy : aCopies) {
      if (IndexOf(copy.mRef.mBlock) >= resident) {
        refs.push_back(copy.mRef);
        ids.push_back(copy.mRef.mBlock);
        bytes += copy.mRef.mBytes;
      }
    }
    const auto endpoint = EndpointOf(aStore);
    if (refs.empty() || !endpoint) {
      return refs.empty();
    }
    const auto now = MonotonicNow();
    if (!mCache.Inflight().AwaitOrBegin(mThread.GetLoop(),
                                        mServerId,
                                        mAttempt,
                                        ids,
                                        now + TransferTime(bytes),
                                        now + 2 * kImportSlack)) {
      return std::nullopt;
    }
    const bool isWhole = ImportClaimed(aStore, *endpoint, refs, bytes);
    mCache.Inflight().Finish(mServerId, mAttempt);
    return isWhole;
  }

  // Returns the time to move the bytes over a free link.
  [[nodiscard]] Duration TransferTime(std::uint64_t aBytes) const
  {
    const auto rate = mCache.Settings().mLinkBytesPerSecond;
    return FromMillis(static_cast<double>(aBytes) * 1000 /
                      static_cast<double>(rate));
  }

  bool ImportClaimed(const StoreId& aStore,
                     const Endpoint& aEndpoint,
                     const std::vector<BlockRef>& aRefs,
                     std::uint64_t aBytes)
  {
    const auto place = mCache.Reserve(mThread, aStore, aBytes);
    if (!place) {
      return false;
    }
    const auto length = place->mEndAfter - place->mBeginAfter;
    if (!mThread.GetLoop().Sleep(place->mBeginAfter) || mIsAbandoned) {
      Settle(aStore, place->mNumber, std::nullopt);
      return false;
    }
    BlockImport flow(aRefs, length, ImportLimits());
    const auto pinned = CarryOut(flow, aEndpoint, length);
    if (pinned.mIsOrdered) {
      NoteTransfer(aStore, place->mNumber, flow);
    } else {
      Settle(aStore, place->mNumber, std::nullopt);
    }
    if (pinned.mIsKnown) {
      NoteMissing(aStore, aRefs, pinned.mRefs);
    }
    return flow.Usable().size() == aRefs.size();
  }

  Pinned CarryOut(BlockImport& aFlow,
                  const Endpoint& aEndpoint,
                  Duration aExpected)
  {
    auto& store = mThread.StoreAt(aEndpoint);
    Pinned pinned;
    auto actions = aFlow.Start(MonotonicNow());
    while (!actions.empty()) {
      const BlockAction action = actions.front();
      actions.clear();
      if (action.mKind == BlockActionKind::Pin) {
        const auto pins =
          store.Pin(action.mRefs, action.mDuration, kCallTimeout);
        pinned.mIsKnown = pins.has_value();
        actions = aFlow.OnPinned(pins, MonotonicNow());
      } else if (action.mKind == BlockActionKind::OrderImport) {
        pinned.mRefs = action.mRefs;
        pinned.mIsOrdered = aFlow.BeginImport(MonotonicNow());
        actions = pinned.mIsOrdered ? Order(aFlow, aEndpoint, action, aExpected)
                                    : aFlow.OnImportSkipped();
      } else if (action.mKind == BlockActionKind::Unpin) {
        (void)store.Unpin(action.mPins, kCallTimeout);
      }
    }
    return pinned;
  }

  BlockActions Order(BlockImport& aFlow,
                     const Endpoint& aEndpoint,
                     const BlockAction& aAction,
                     Duration aExpected)
  {
    auto& engine = mThread.EngineAt(mServer->Vm().mEndpoint);
    const auto read = engine.ImportBlocks(
      { aEndpoint, mVersion, aAction.mRefs }, aExpected + kImportSlack);
    if (!read && read.error().mFate != CallFate::NotRun) {
      // The server may still be reading, also behind the end of the pins.
      Distrust(aAction.mRefs);
    }
    return aFlow.OnImported(read, MonotonicNow());
  }

  void NoteTransfer(const StoreId& aStore,
                    std::uint64_t aNumber,
                    const BlockImport& aFlow)
  {
    Transferred transfer;
    transfer.mStore = aStore;
    transfer.mNumber = aNumber;
    std::vector<BlockId> cached;
    for (const auto& ref : aFlow.Usable()) {
      transfer.mBlocks.emplace_back(IndexOf(ref.mBlock), ref.mBytes);
      cached.push_back(ref.mBlock);
    }
    mTransfers.push_back(std::move(transfer));
    mServer->NoteCached(cached);
    mCache.NoteCached(mServerId, cached);
    Distrust(aFlow.Rejected());
    NoteRejected(aStore, aFlow.Rejected());
  }

  // Tells the directory of copies that the store does not hold any more.
  void NoteMissing(const StoreId& aStore,
                   const std::vector<BlockRef>& aWanted,
                   const std::vector<BlockRef>& aPinned)
  {
    for (const auto& ref : aWanted) {
      if (std::find(aPinned.begin(), aPinned.end(), ref) == aPinned.end()) {
        NoteGone(aStore, ref.mBlock);
      }
    }
  }

  // Tells the directory of copies that did not match when they were read, and
  // has the store free them.
  void NoteRejected(const StoreId& aStore, const std::vector<BlockRef>& aRefs)
  {
    for (const auto& ref : aRefs) {
      NoteGone(aStore, ref.mBlock);
      mThread.GetLoop().Spawn(
        [self = shared_from_this(), aStore, block = ref.mBlock] {
          self->mCache.Release(self->mThread, aStore, block);
        });
    }
  }

  void NoteGone(const StoreId& aStore, BlockId aBlock)
  {
    for (const auto& copy : mImports) {
      if (copy.mStore == aStore && copy.mRef.mBlock == aBlock) {
        mCache.NoteFreed(mKey, copy);
      }
    }
  }

  void Distrust(const std::vector<BlockRef>& aRefs)
  {
    for (const auto& ref : aRefs) {
      mServer->Distrust(ref.mBlock);
    }
  }

  void Settle(const StoreId& aStore,
              std::uint64_t aNumber,
              std::optional<std::uint64_t> aUsed)
  {
    mThread.GetLoop().Spawn(
      [self = shared_from_this(), aStore, aNumber, aUsed] {
        self->mCache.Settle(self->mThread, aStore, aNumber, aUsed);
      });
  }

  [[nodiscard]] std::size_t IndexOf(BlockId aBlock) const
  {
    return static_cast<std::size_t>(
      std::find(mBlocks.begin(), mBlocks.end(), aBlock) - mBlocks.begin());
  }

  [[nodiscard]] std::optional<Endpoint> EndpointOf(const StoreId& aStore) const
  {
    return mCache.EndpointOf(aStore);
  }

  ThreadContext& mThread;
  KeptCache& mCache;
  HomedServerPtr mServer;
  ServerId mServerId;
  AttemptId mAttempt;
  VersionId mVersion;
  PromptKey mKey;
  std::vector<StoreCopy> mImports;
  std::vector<BlockId> mBlocks;
  std::vector<Transferred> mTransfers;
  Event mDone;
  bool mIsDone = false;
  bool mIsAbandoned = false;
};

PrefixImport::PrefixImport(ThreadContext& aThread,
                           KeptCache& aCache,
                           HomedServerPtr aServer,
                           const HomeRequest& aRequest)
  : mThread(aThread)
  , mCache(aCache)
  , mServer(std::move(aServer))
  , mRequest(aRequest)
  , mJob(std::make_shared<Job>(aThread, aCache, mServer, aRequest))
{
  mJob->SetBlocks(aRequest.mGenerate.mBlocks);
}

PrefixImport::~PrefixImport()
{
  mJob->Abandon();
  EndPrefill();
  if (mIsClaimed) {
    mCache.Inflight().Finish(mRequest.mServer, mRequest.mGenerate.mAttempt);
  }
}

void
PrefixImport::Start()
{
  const auto& blocks = mRequest.mGenerate.mBlocks;
  if (blocks.empty()) {
    return;
  }
  mCache.NoteOwner({ mRequest.mProduct, mRequest.mAccount, blocks.front() },
                   blocks);
  if (mCache.IsEnabled()) {
    mJob->Start();
  }
}

void
PrefixImport::Await(Instant aDeadline)
{
  if (mCache.IsEnabled() && !mRequest.mGenerate.mBlocks.empty()) {
    mJob->Await(aDeadline);
    AwaitOthers(aDeadline);
  }
  BeginPrefill();
}

void
PrefixImport::BeginPrefill()
{
  EndPrefill();
  const GenerateRequest& generate = mRequest.mGenerate;
  const double resident =
    static_cast<double>(mServer->ResidentPrefix(generate.mBlocks)) *
    generate.mBlockBytes;
  const auto prompt = static_cast<double>(generate.mPrompt.size());
  // What lies behind the last whole block is computed in any case.
  mPrefillTokens = std::max(prompt - resident, 0.0) / kBytesPerToken;
  mServer->BeginPrefill(mPrefillTokens);
}

void
PrefixImport::EndPrefill()
{
  mServer->EndPrefill(std::exchange(mPrefillTokens, 0));
}

void
PrefixImport::AwaitOthers(Instant aDeadline)
{
  const std::span<const BlockId> blocks(mRequest.mGenerate.mBlocks);
  for (int n = 0; n < kMaxWaits && !mIsClaimed; ++n) {
    const auto missing = blocks.subspan(mServer->ResidentPrefix(blocks));
    if (missing.empty() || MonotonicNow() >= aDeadline) {
      return;
    }
    const double tokens = static_cast<double>(missing.size()) *
                          mRequest.mGenerate.mBlockBytes / kBytesPerToken;
    mIsClaimed = mCache.Inflight().AwaitOrBegin(
      mThread.GetLoop(),
      mRequest.mServer,
      mRequest.mGenerate.mAttempt,
      missing,
      MonotonicNow() + mServer->EstimateService(tokens, 0),
      aDeadline);
  }
}

std::size_t
PrefixImport::UsableBlocks() const
{
  return mServer->TrustedPrefix(mRequest.mGenerate.mBlocks);
}

void
PrefixImport::OnHead(const GenerateHead& aHead)
{
  const auto& generate = mRequest.mGenerate;
  const auto tokens =
    std::max<std::uint32_t>(generate.mBlockBytes / kBytesPerToken, 1);
  const std::size_t reused = aHead.mCachedTokens / tokens;
  mJob->SettleAll(reused);
  const auto resident = mServer->ResidentPrefix(generate.mBlocks);
  if (reused < resident) {
    // The server lost them without an event.
    const std::span<const BlockId> blocks(generate.mBlocks);
    const auto lost = blocks.subspan(reused, resident - reused);
    mServer->NoteEvicted(lost);
    mCache.NoteEvicted(mRequest.mServer, lost);
  }
}

void
PrefixImport::OnFirstToken()
{
  EndPrefill();
  const std::span<const BlockId> blocks(mRequest.mGenerate.mBlocks);
  if (blocks.empty() || !mCache.IsEnabled()) {
    return;
  }
  const auto cached = blocks.first(UsableBlocks());
  mServer->NoteCached(cached);
  if (mIsClaimed) {
    mIsClaimed = false;
    mCache.Inflight().Finish(mRequest.mServer, mRequest.mGenerate.mAttempt);
  }
  ExportJob job;
  job.mServer = mRequest.mServer;
  job.mVersion = mRequest.mGenerate.mVersion;
  job.mKey = { mRequest.mProduct, mRequest.mAccount, blocks.front() };
  job.mBlocks.assign(cached.begin(), cached.end());
  job.mPrefillTokensPerSecond = mServer->Speed().mPrefillTokensPerSecond;
  mCache.Stores().OnServed(std::move(job));
}

} // namespace bilberrytrail
