#include "request_world.h"

#include "fake_adapters.h"
#include "world_node.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/cache/prompt_blocks.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr std::string_view kProduct = "shop";
constexpr std::string_view kModel = "guide";
constexpr std::string_view kFirstAccount = "acme";
constexpr std::string_view kOtherAccount = "other";
constexpr std::uint64_t kBlockBytes = 64;
constexpr std::size_t kPromptBytes = 200;
// The token limit tells the requests of a world apart at the engine.
constexpr std::uint32_t kFirstMaxTokens = 8;
constexpr Duration kDeadline = 2s;
// Every request and its after-effects end within this time.
constexpr Duration kQuietBound = 8s;
constexpr Duration kQuietCheck = 1ms;
constexpr Duration kDrainDelay = 3ms;
constexpr int kQueueSlots = 8;
constexpr std::string_view kStore = "store-a";
// Slow engines, so that an import is the shorter way: samples of 2,000 tokens
// in 10 s.
constexpr int kSlowSamples = 40;
constexpr double kSlowTokens = 2000;
constexpr Duration kSlowTime = 10s;
// Longest time for which an answer is held back for the other attempt's; the
// hedge is sent after 50 ms.
constexpr Duration kHoldTime = 300ms;
// Calls after which an entry knows how long a service takes.
constexpr int kWarmUpCalls = 8;

// Index of each daemon in the world.
constexpr std::size_t kEntryA = 0;
constexpr std::size_t kEntryB = 1;
constexpr std::size_t kHomeA = 2;
constexpr std::size_t kHomeB = 3;

class RecordingResponder final : public HttpResponder
{
public:
  explicit RecordingResponder(CallerRecord& aRecord)
    : mRecord(aRecord)
  {
  }

  bool HasBegun() const noexcept override { return mBegun; }
  bool IsPeerOpen() noexcept override { return !mRecord.mGone; }

  Result<void> Send(HttpResponse aResponse) override
  {
    mBegun = true;
    mRecord.mStatus = aResponse.mStatus;
    mRecord.mBody = std::move(aResponse.mBody);
    ++mRecord.mFinals;
    return Peer();
  }
  Result<void> BeginStream(unsigned aStatus, HttpHeaders /*aHeaders*/) override
  {
    mBegun = true;
    mRecord.mStatus = aStatus;
    return Peer();
  }
  Result<void> WriteChunk(std::string_view aData) override
  {
    if (!mRecord.mGone) {
      mRecord.mStream += aData;
    }
    return Peer();
  }
  Result<void> EndStream() override
  {
    mRecord.mStreamEnded = true;
    ++mRecord.mFinals;
    return Peer();
  }
  void Abort() override
  {
    mRecord.mAborted = true;
    ++mRecord.mFinals;
  }

private:
  Result<void> Peer() const
  {
    if (mRecord.mGone) {
      return Fail(ErrorCode::Unavailable, "the caller has gone");
    }
    return Ok();
  }

  CallerRecord& mRecord;
  bool mBegun = false;
};

DaemonSettings
MakeSettings()
{
  DaemonSettings settings = DefaultDaemonSettings();
  settings.mSiteKey = "a site key of thirty-two bytes !";
  settings.mBlockBytes = kBlockBytes;
  settings.mDefaultDeadline = kDeadline;
  settings.mMaxDeadline = kDeadline;
  // Enough for the first request to be hedged.
  settings.mHedgeBudget = 1;
  return settings;
}

std::string
TokenOf(std::string_view aAccount)
{
  return "token-" + std::string(aAccount);
}

VmEntry
MakeVm(const std::string& aName, VmRole aRole, std::uint16_t aPort)
{
  VmEntry vm;
  vm.mName = aName;
  vm.mRole = aRole;
  vm.mProduct = ProductId(std::string(kProduct));
  vm.mGroup = aRole == VmRole::Service ? "orders"
              : aRole == VmRole::Store ? "engine-a"
                                       : "";
  vm.mEndpoint = { "127.0.0.1", aPort };
  return vm;
}

ProductState
MakeProduct(const std::string& aVersion)
{
  ProductState product;
  product.mProduct = ProductId(std::string(kProduct));
  product.mModels[ModelId(std::string(kModel))].mVersion = VersionId(aVersion);
  ServiceSpec& orders = product.mServices["orders"];
  orders.mGroup = "orders";
  orders.mRepeatable = { "GET /stock" };
  return product;
}

EngineState
MakeEngineState()
{
  EngineState state;
  const ModelId model{ std::string(kModel) };
  state.mVersions = { { model, VersionId("v1"), true },
                      { model, VersionId("v2"), true } };
  return state;
}

} // namespace

std::vector<std::string>
AnswerPieces(const VersionId& aVersion)
{
  std::vector<std::string> pieces;
  for (const char* it : { "zero", "one", "two", "three", "four" }) {
    pieces.push_back(std::string(it) + "-" + aVersion.Text() + " ");
  }
  return pieces;
}

std::string
WithoutRuns(std::string_view aText)
{
  std::string text;
  bool isNumber = false;
  for (const char c : aText) {
    isNumber = c == '#' || (isNumber && c != ' ');
    if (!isNumber) {
      text += c;
    }
  }
  return text;
}

RequestWorld::Node::Node(RequestWorld& aWorld, std::string aName)
  : mId(std::move(aName))
  , mSettings(MakeSettings())
  , mHomes(mSettings, mViews)
  , mParts(mSettings, mViews)
  , mThread(aWorld.mLoop, MakeFakeAdapters(aWorld, *this))
  , mMetrics(mSettings.mHistogramSeries)
  , mCallers(mThread, mSettings, mViews, mHomes, mParts, mMetrics, kFaultSeed)
{
  mHomes.Cache().AddMethods(mMethods);
  mMethods.Add("home.estimate", [this](const Json& aParams) -> Result<Json> {
    const auto query = ReadEstimateQuery(aParams);
    if (!query) {
      return query.error();
    }
    return ToJson(mHomes.Estimate(query.value()));
  });
}

RequestWorld::RequestWorld(CallPath aPath, std::vector<Cell> aFaults)
  : mPath(aPath)
  , mArmed(std::move(aFaults))
{
  for (const char* it : { "entry-a", "entry-b", "home-a", "home-b" }) {
    mNodes.push_back(std::make_unique<Node>(*this, it));
  }
  StoreViews();
  for (const auto& node : mNodes) {
    for (const char* it : { "engine-a", "engine-b" }) {
      node->mHomes.Find(ServerId(it))->SetState(MakeEngineState());
    }
  }
  if (mPath == CallPath::KeptPrompt) {
    KeepPrompt();
  }
}

void
RequestWorld::KeepPrompt()
{
  for (const auto& node : mNodes) {
    for (const char* it : { "engine-a", "engine-b" }) {
      for (int n = 0; n < kSlowSamples; ++n) {
        node->mHomes.Find(ServerId(it))->LearnPrefill(kSlowTokens, kSlowTime);
      }
    }
  }
  Node* home = mNodes[kHomeB].get();
  const PromptScope scope{ ProductId(std::string(kProduct)),
                           AccountId(std::string(kFirstAccount)),
                           ModelId(std::string(kModel)),
                           VersionId(mVersion),
                           {} };
  const auto blocks = SplitPrompt(scope,
                                  std::string(kPromptBytes, 'x'),
                                  home->mSettings.mSiteKey,
                                  kBlockBytes)
                        .mBlocks;
  const PromptKey key{ ProductId(std::string(kProduct)),
                       AccountId(std::string(kFirstAccount)),
                       blocks.front() };
  // The directory keeps what is sealed once a request has asked for it.
  DirectoryQuery query{ key, blocks };
  DirectoryUpdate update;
  StoreChange change;
  change.mStore = StoreId(std::string(kStore));
  change.mIncarnation = KeptBlocks::kIncarnation;
  for (const auto block : blocks) {
    change.mSealed.push_back({ mKept.Seal(block), StoreTier::Memory });
  }
  update.mStores.push_back(change);
  const auto serve = [&](const std::string& aBody) {
    return Result<std::string>(home->mMethods.Serve(aBody));
  };
  (void)CallRpc("directory.find", ToJson(query), serve);
  (void)CallRpc("directory.update", ToJson(update), serve);
}

void
RequestWorld::PassImport(Step aStep, Node& aHome)
{
  Pass(aStep, aHome);
  if (Fires(aStep, Fault::StoreDies)) {
    mKept.Die();
  }
  if (Fires(aStep, Fault::StoreEmpty)) {
    mKept.Empty();
  }
  if (Fires(aStep, Fault::StoreReuse)) {
    mKept.Replace(0);
  }
  if (Fires(aStep, Fault::StaleDirectory)) {
    mKept.Replace(1);
  }
}

RequestWorld::~RequestWorld()
{
  mOthers.clear();
}

ControlView
RequestWorld::MakeView(const Node& aNode) const
{
  ControlView view;
  view.mSelf = aNode.mId;
  view.mDraining = mIsEntryDraining && aNode.mId == mNodes[kEntryA]->mId;
  for (const auto& node : mNodes) {
    MemberRecord member;
    member.mId = node->mId;
    view.mMembers.push_back(member);
  }
  const DaemonId homeA = mNodes[kHomeA]->mId;
  const DaemonId homeB = mNodes[kHomeB]->mId;
  // Every prompt's home, which is not the store's.
  view.mHomes = { { homeB, {}, 1 } };
  std::uint16_t port = 1;
  for (const auto role : { VmRole::Engine, VmRole::Service }) {
    const std::string name(ToName(role));
    view.mServers[ServerId(name + "-a")] = { MakeVm(name + "-a", role, port++),
                                             homeA };
    view.mServers[ServerId(name + "-b")] = { MakeVm(name + "-b", role, port++),
                                             homeB };
  }
  if (mLeaving.contains(aNode.mId)) {
    for (auto& [id, server] : view.mServers) {
      server.mVm.mLeaving = server.mHome == aNode.mId;
    }
  }
  view.mServers[ServerId(std::string(kStore))] = {
    MakeVm(std::string(kStore), VmRole::Store, port), homeA
  };
  view.IndexServers();
  const ProductId product{ std::string(kProduct) };
  view.mProducts[product] = MakeProduct(mVersion);
  for (const auto account : { kFirstAccount, kOtherAccount }) {
    view.mTokens[Sha256Hex(TokenOf(account))] = {
      product, AccountId(std::string(account))
    };
  }
  return view;
}

void
RequestWorld::StoreViews()
{
  for (const auto& node : mNodes) {
    node->mViews.Store(std::make_shared<const ControlView>(MakeView(*node)));
  }
}

RequestWorld::Node*
RequestWorld::NodeOf(const DaemonId& aId)
{
  for (const auto& node : mNodes) {
    if (node->mId == aId) {
      return node.get();
    }
  }
  return nullptr;
}

void
RequestWorld::CheckAlive(const Node& aNode)
{
  if (aNode.mDead) {
    throw Killed();
  }
}

bool
RequestWorld::Fires(Step aStep, Fault aFault)
{
  const auto it =
    std::find_if(mArmed.begin(), mArmed.end(), [&](const Cell& aCell) {
      return aCell.mStep == aStep && aCell.mFault == aFault;
    });
  if (!mIsArmed || it == mArmed.end()) {
    return false;
  }
  mArmed.erase(it);
  ++mFired;
  return true;
}

void
RequestWorld::Pass(Step aStep, Node& aHome)
{
  if (Fires(aStep, Fault::KillHome)) {
    aHome.mDead = true;
  }
  if (Fires(aStep, Fault::CallerGone)) {
    mHistory.mCallers.front()->mGone = true;
  }
  if (Fires(aStep, Fault::DrainHome)) {
    DrainHome(aStep, aHome);
  }
  if (Fires(aStep, Fault::ServersLeave)) {
    mLeaving.insert(aHome.mId);
    StoreViews();
    aHome.mHomes.OnView(MakeView(aHome));
  }
  if (Fires(aStep, Fault::DrainEntry)) {
    mIsEntryDraining = true;
    StoreViews();
  }
  if (Fires(aStep, Fault::ReleaseSwap)) {
    mVersion = "v2";
    StoreViews();
  }
  if (Fires(aStep, Fault::Resend)) {
    mLoop.Spawn([this] { Send(*mNodes[kEntryB], std::string(kFirstAccount)); });
  }
}

void
RequestWorld::DrainHome(Step aStep, Node& aHome)
{
  if (aStep != Step::Queued) {
    aHome.mHomes.DrainAll();
    return;
  }
  // Fills the queues, so that the request waits when the drain comes.
  for (const auto& server : aHome.mHomes.Servers()) {
    for (int n = 0; n < kQueueSlots; ++n) {
      QueueEntry entry;
      entry.mAccount = AccountId(std::string(kOtherAccount));
      entry.mService = kDrainDelay;
      entry.mDeadline = MonotonicNow() + kDeadline;
      mOthers.push_back(server->Queue().Join(mLoop, entry));
    }
  }
  mLoop.Spawn([this, &aHome] {
    if (mLoop.Sleep(kDrainDelay)) {
      aHome.mHomes.DrainAll();
    }
  });
}

void
RequestWorld::NoteRun(CallerRecord& aCaller, const DaemonId& aHome)
{
  ++aCaller.mRuns;
  if (aCaller.mLeavingBefore.contains(aHome)) {
    mHistory.mFaults.emplace_back("a leaving server got new work");
  }
}

AccountId
RequestWorld::NoteServiceRun(const AttemptId& aAttempt, const DaemonId& aHome)
{
  for (const auto& caller : mHistory.mCallers) {
    if (caller->mAttempts.contains(aAttempt)) {
      NoteRun(*caller, aHome);
      ++mHistory.mServiceRuns[caller->mAccount];
      return caller->mAccount;
    }
  }
  mHistory.mFaults.emplace_back("a service ran an attempt of nobody");
  return {};
}

int
RequestWorld::NoteEngineRun(const GenerateRequest& aRequest,
                            const DaemonId& aHome)
{
  CallerRecord& caller =
    *mHistory.mCallers.at(aRequest.mMaxTokens - kFirstMaxTokens);
  NoteRun(caller, aHome);
  if (aRequest.mVersion != caller.mVersion) {
    mHistory.mFaults.emplace_back("an attempt asks for another weight version");
  }
  const auto used = mKept.Use(aHome, aRequest.mBlocks);
  mHistory.mImportedUsed += used.mRight;
  if (used.mWrong > 0) {
    mHistory.mFaults.emplace_back("an engine used a block that is wrong");
  }
  const auto pieces = AnswerPieces(caller.mVersion);
  std::string prefix;
  for (std::uint32_t n = 0; n < aRequest.mStartPosition; ++n) {
    prefix += pieces.at(n);
  }
  if (WithoutRuns(aRequest.mResumeText) != prefix) {
    mHistory.mFaults.emplace_back("an attempt resumes from a wrong text");
  }
  mHistory.mRunStarts[++mLastRun] = aRequest.mStartPosition;
  return mLastRun;
}

void
RequestWorld::Hold(const bool& aUntil)
{
  const auto end = MonotonicNow() + kHoldTime;
  while (!aUntil && MonotonicNow() < end && mLoop.Sleep(kQuietCheck)) {
  }
}

void
RequestWorld::HoldAnswer(Step aStep)
{
  if (!mIsArmed || !IsHedged(mPath)) {
    return;
  }
  const int answer = ++mAnswers;
  if (answer == 1) {
    mHedgeLate = Fires(aStep, Fault::HedgeLate);
    mBothAnswer = Fires(aStep, Fault::BothAnswer);
    // With a late hedge the answer waits only for it to be sent.
    Hold(mHasHedgeBegun);
    mHasFirstBegun = true;
  } else if (answer == 2) {
    mHasHedgeBegun = mHedgeLate || mBothAnswer;
    if (mHedgeLate) {
      Hold(mHasFirstBegun);
      (void)mLoop.Sleep(kDrainDelay);
    }
    mHasHedgeBegun = true;
  }
}

void
RequestWorld::WarmUp()
{
  for (int n = 0; n < kWarmUpCalls; ++n) {
    Send(*mNodes[kEntryA], std::string(kFirstAccount));
    AwaitQuiet();
  }
  mHistory = History();
}

HttpRequest
RequestWorld::MakeRequest(std::size_t aCaller,
                          const std::string& aAccount) const
{
  HttpRequest request;
  request.mHeaders.push_back(
    { "Authorization", "Bearer " + TokenOf(aAccount) });
  if (IsCompletion(mPath)) {
    const Json body = { { "model", kModel },
                        { "prompt", std::string(kPromptBytes, 'x') },
                        { "max_tokens", kFirstMaxTokens + aCaller },
                        { "stream", mPath != CallPath::Completion } };
    request.mMethod = "POST";
    request.mTarget = "/v1/completions";
    request.mBody = body.dump();
    return request;
  }
  const bool isClaimed = mPath == CallPath::ClaimedCall;
  request.mMethod = isClaimed ? "POST" : "GET";
  request.mTarget = std::string("/v1/products/shop/services/orders/") +
                    (isClaimed ? "book" : "stock");
  request.mBody = "two slots";
  request.mHeaders.push_back({ "Idempotency-Key", "key-1" });
  return request;
}

void
RequestWorld::Send(Node& aEntry, const std::string& aAccount)
{
  const std::size_t index = mHistory.mCallers.size();
  mHistory.mCallers.push_back(std::make_unique<CallerRecord>());
  CallerRecord& record = *mHistory.mCallers.back();
  record.mAccount = AccountId(aAccount);
  record.mVersion = VersionId(mVersion);
  record.mLeavingBefore = mLeaving;
  aEntry.mCaller = &record;
  ++mOpen;
  const auto begin = MonotonicNow();
  const HttpRequest request = MakeRequest(index, aAccount);
  RecordingResponder responder(record);
  aEntry.mCallers.Handle(request, responder);
  record.mTook = MonotonicNow() - begin;
  --mOpen;
}

void
RequestWorld::AwaitQuiet()
{
  const auto end = MonotonicNow() + kQuietBound;
  while ((mOpen > 0 || mServing > 0) && mLoop.Sleep(kQuietCheck)) {
    if (MonotonicNow() >= end) {
      mHistory.mFaults.emplace_back("a request did not come to an end");
      mLoop.Stop();
    }
  }
}

void
RequestWorld::Main()
{
  if (mPath == CallPath::HedgedCall) {
    WarmUp();
  }
  mIsArmed = true;
  Send(*mNodes[kEntryA], std::string(kFirstAccount));
  AwaitQuiet();
  mIsArmed = false;
  mOthers.clear();
  Send(*mNodes[kEntryB], std::string(kFirstAccount));
  AwaitQuiet();
  Send(*mNodes[kEntryB], std::string(kOtherAccount));
  AwaitQuiet();
  mLoop.Stop();
}

void
RequestWorld::Run()
{
  mLoop.Spawn([this] { Main(); });
  mLoop.Run();
}

} // namespace bilberrytrail
