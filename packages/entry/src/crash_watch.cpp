#include <bilberrytrail/entry/crash_watch.h>

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// The connections of a process that ends are closed one after the other, its
// listening socket perhaps last.
constexpr Duration kCheckDelay = 20ms;
constexpr Duration kCheckTimeout = 300ms;
// A server that was heard within this time before a send timed out is alive.
constexpr Duration kLifeSignTime = 250ms;
// A server that has started again is listed with its new start within this time
// after its first sign of life. It writes its entry before or soon after.
constexpr Duration kListingTime = 1500ms;
// The same with a margin, after which the end of a server is taken back.
constexpr Duration kTakeBackTime = 3s;
// Shortest time between two looks for deaths of a server that answers.
constexpr Duration kLookPeriod = 1s;
// Requests that become suspect at the death of one server.
constexpr std::size_t kMaxSuspects = 8;
// Lost sends that are kept for one server.
constexpr std::size_t kMaxLost = 64;

} // namespace

// A server from one start to the next.
struct CrashWatch::Server
{
  // A send without its answer, until it is known why.
  struct LostSend
  {
    SendTrace mTrace;
    // When the server was first heard again.
    std::optional<Instant> mHeardAt;
  };

  explicit Server(const ServerStart& aStart)
    : mStart(aStart)
    , mDeath(MakeDeathId(aStart.mId, aStart.mStartedAtMs))
  {
  }

  // Drops the sends that the server has survived.
  void DropSurvived(Instant aNow)
  {
    std::erase_if(mLost, [&](const LostSend& aSend) {
      return aSend.mHeardAt && aNow - *aSend.mHeardAt > kListingTime;
    });
  }

  const ServerStart mStart;
  const DeathId mDeath;
  // When bytes last came from the server, or it accepted a connection.
  std::optional<Instant> mHeardAt;
  std::set<Send*> mSends;
  std::vector<LostSend> mLost;
  // When the first connection broke since the last check.
  std::optional<Instant> mBrokenAt;
  bool mIsChecking = false;
  bool mIsListed = true;
  bool mIsLeaving = false;
  // The server is taken for ended.
  bool mHasEnded = false;
  // When deaths of this server were last looked for.
  std::optional<Instant> mLookedAt;
};

CrashWatch::CrashWatch(Loop& aLoop,
                       BackendPort& aBackend,
                       PartQuarantine& aParts,
                       PartQuarantine& aRequests,
                       std::function<Instant()> aRefresh)
  : mLoop(aLoop)
  , mBackend(aBackend)
  , mParts(aParts)
  , mRequests(aRequests)
  , mRefresh(std::move(aRefresh))
{
}

CrashWatch::~CrashWatch() = default;

CrashWatch::ServerPtr
CrashWatch::ServerOf(const ServerStart& aStart)
{
  auto& server = mServers[aStart.mId];
  if (server == nullptr) {
    server = std::make_shared<Server>(aStart);
  } else if (server->mStart.mStartedAtMs < aStart.mStartedAtMs) {
    OnRestart(std::exchange(server, std::make_shared<Server>(aStart)));
  }
  return server;
}

void
CrashWatch::OnLost(const ServerStart& aStart, SendTrace aTrace, SendLoss aLoss)
{
  OnLost(ServerOf(aStart), std::move(aTrace), aLoss);
}

void
CrashWatch::OnLost(const ServerPtr& aServer,
                   std::optional<SendTrace> aTrace,
                   SendLoss aLoss)
{
  const auto now = MonotonicNow();
  auto& server = *aServer;
  server.DropSurvived(now);
  if (aTrace && server.mLost.size() < kMaxLost) {
    server.mLost.push_back({ std::move(*aTrace), std::nullopt });
  }
  if (server.mLost.empty() && server.mSends.empty()) {
    return;
  }
  if (aLoss == SendLoss::Broken) {
    server.mBrokenAt = server.mBrokenAt.value_or(now);
    BeginCheck(aServer);
  } else if (!server.mHeardAt || now - *server.mHeardAt >= kLifeSignTime) {
    BeginCheck(aServer);
  }
}

void
CrashWatch::OnHeard(const ServerPtr& aServer)
{
  auto& server = *aServer;
  const auto now = MonotonicNow();
  server.mHeardAt = now;
  server.mHasEnded = false;
  for (auto& it : server.mLost) {
    it.mHeardAt = it.mHeardAt.value_or(now);
  }
  // A server without a start can't be told from one that has started again.
  if ((mParts.size() == 0 && mRequests.size() == 0) ||
      server.mStart.mStartedAtMs == 0 ||
      (server.mLookedAt && now - *server.mLookedAt < kLookPeriod)) {
    return;
  }
  server.mLookedAt = now;
  if (IsHeldAgainstAny(server.mDeath)) {
    mLoop.Spawn([this, aServer] { AwaitNoRestart(aServer); });
  }
}

bool
CrashWatch::IsHeldAgainstAny(DeathId aDeath) const
{
  return mParts.Knows(aDeath) || mRequests.Knows(aDeath);
}

void
CrashWatch::AwaitNoRestart(const ServerPtr& aServer)
{
  const auto heardAt = BootNow();
  if (!mLoop.Sleep(kTakeBackTime) || mRefresh() < heardAt + kListingTime) {
    return;
  }
  const auto it = mServers.find(aServer->mStart.mId);
  const bool isListed =
    it != mServers.end() && it->second == aServer && aServer->mIsListed;
  if (!isListed || !IsHeldAgainstAny(aServer->mDeath)) {
    return;
  }
  LogLine(LogEvent::DeathTakenBack,
          { { "server", aServer->mStart.mId }, { "death", aServer->mDeath } });
  mParts.TakeBack(aServer->mDeath, MonotonicNow());
  mRequests.TakeBack(aServer->mDeath, MonotonicNow());
}

void
CrashWatch::OnServers(std::span<const ServerRecord> aServers)
{
  if (mServers.empty()) {
    return;
  }
  std::set<ServerId> listed;
  for (const auto& it : aServers) {
    const auto known = mServers.find(it.mId);
    if (known == mServers.end()) {
      continue;
    }
    listed.insert(it.mId);
    known->second->mIsLeaving = known->second->mIsLeaving || it.mIsLeaving;
    if (known->second->mStart.mStartedAtMs != it.mStartedAtMs) {
      const ServerStart start{ it.mId, it.mStartedAtMs, it.mEndpoint };
      OnRestart(std::exchange(known->second, std::make_shared<Server>(start)));
    }
  }
  const auto now = MonotonicNow();
  for (auto& [id, server] : mServers) {
    const bool wasListed =
      std::exchange(server->mIsListed, listed.contains(id));
    if (wasListed && !server->mIsListed) {
      OnUnlisted(server);
    }
  }
  std::erase_if(mServers, [&](const auto& aItem) {
    auto& server = *aItem.second;
    server.DropSurvived(now);
    return !server.mIsListed && !server.mIsChecking && server.mSends.empty() &&
           server.mLost.empty();
  });
}

// The entry of a server that is silent for long is removed, and so is that of
// one that leaves without notice and goes on for a while.
void
CrashWatch::OnUnlisted(const ServerPtr& aServer)
{
  if (!aServer->mIsLeaving &&
      !(aServer->mSends.empty() && aServer->mLost.empty())) {
    BeginCheck(aServer);
  }
}

void
CrashWatch::OnRestart(const ServerPtr& aServer)
{
  aServer->DropSurvived(MonotonicNow());
  if (!aServer->mIsLeaving) {
    OnEnded(*aServer, ServerEnd::Restarted, std::nullopt);
  }
  aServer->mLost.clear();
}

bool
CrashWatch::HasEnded(const Endpoint& aEndpoint)
{
  if (!mLoop.Sleep(kCheckDelay)) {
    return false;
  }
  const auto outcome = ProbeTwice(aEndpoint);
  return outcome == ConnectOutcome::Refused ||
         outcome == ConnectOutcome::Silent;
}

void
CrashWatch::BeginCheck(const ServerPtr& aServer)
{
  if (!std::exchange(aServer->mIsChecking, true)) {
    mLoop.Spawn([this, aServer] { Check(aServer); });
  }
}

// A single packet may be lost, and a live host may drop one while its queue of
// new connections is full.
ConnectOutcome
CrashWatch::ProbeTwice(const Endpoint& aEndpoint)
{
  const auto first = mBackend.Probe(aEndpoint, kCheckTimeout);
  return first == ConnectOutcome::Silent
           ? mBackend.Probe(aEndpoint, kCheckTimeout)
           : first;
}

void
CrashWatch::Check(const ServerPtr& aServer)
{
  auto& server = *aServer;
  const bool isRunning = mLoop.Sleep(kCheckDelay);
  const auto begin = MonotonicNow();
  const auto outcome =
    isRunning ? ProbeTwice(server.mStart.mEndpoint) : ConnectOutcome::Unknown;
  server.mIsChecking = false;
  const auto brokenAt = std::exchange(server.mBrokenAt, std::nullopt);
  const bool isHeard = server.mHeardAt >= begin;
  if (outcome == ConnectOutcome::Accepted) {
    OnHeard(aServer);
  } else if (outcome == ConnectOutcome::Refused) {
    OnEnded(server, ServerEnd::RefusesConnections, brokenAt);
  } else if (outcome == ConnectOutcome::Silent && !isHeard) {
    OnEnded(server, ServerEnd::Silent, std::nullopt);
  }
}

// aAt is the time of death; if it is not known, the death came after the last
// bytes, when the first of the requests without an answer had been sent.
void
CrashWatch::OnEnded(Server& aServer, ServerEnd aEnd, std::optional<Instant> aAt)
{
  std::vector<SendTrace> sends;
  for (auto& it : aServer.mLost) {
    sends.push_back(std::move(it.mTrace));
  }
  aServer.mLost.clear();
  for (auto* it : aServer.mSends) {
    const bool wasSettled = std::exchange(it->mIsSettled, true);
    if (auto trace = wasSettled ? std::nullopt : it->mTrace()) {
      sends.push_back(std::move(*trace));
    }
  }
  aServer.mHasEnded = true;
  if (sends.empty()) {
    return;
  }
  const auto firstSentAt =
    std::ranges::min_element(sends, {}, &SendTrace::mSentAt)->mSentAt;
  const auto at =
    aAt.value_or(std::max(aServer.mHeardAt.value_or(firstSentAt), firstSentAt));
  const auto now = MonotonicNow();
  LogLine(LogEvent::ServerEnded,
          { { "server", aServer.mStart.mId },
            { "death", aServer.mDeath },
            { "cause", aEnd },
            { "sends", sends.size() },
            { "unheard", now - aServer.mHeardAt.value_or(firstSentAt) } });
  for (const auto& it : sends) {
    mParts.ServerDied(aServer.mDeath, it.mParts, at, now);
  }
  // A connection breaks at once; otherwise the server went on for a while after
  // the last bytes, or ended before it took requests that were sent later.
  std::ranges::sort(sends, {}, [&](const SendTrace& aSend) {
    return aAt ? now - aSend.mSentAt : std::chrono::abs(aSend.mSentAt - at);
  });
  ChargeRequests(aServer.mDeath, sends, at);
}

void
CrashWatch::ChargeRequests(DeathId aDeath,
                           std::span<const SendTrace> aSends,
                           Instant aAt)
{
  std::size_t n = 0;
  for (const auto& it : aSends) {
    if (n++ < kMaxSuspects || mRequests.IsSuspect(it.mRequest)) {
      mRequests.ServerDied(
        aDeath, std::span(&it.mRequest, 1), aAt, MonotonicNow());
    }
  }
}

CrashWatch::Send::Send(CrashWatch& aWatch,
                       const ServerStart& aStart,
                       TraceSource aTrace)
  : mWatch(aWatch)
  , mServer(aWatch.ServerOf(aStart))
  , mTrace(std::move(aTrace))
  , mIsSettled(mServer->mHasEnded)
{
  mServer->mSends.insert(this);
}

CrashWatch::Send::~Send()
{
  mServer->mSends.erase(this);
}

void
CrashWatch::Send::OnHeard()
{
  mWatch.OnHeard(mServer);
}

void
CrashWatch::Send::OnLost(SendLoss aLoss)
{
  mServer->mSends.erase(this);
  mWatch.OnLost(mServer,
                mIsSettled || aLoss == SendLoss::Unreachable ? std::nullopt
                                                             : mTrace(),
                aLoss);
}

} // namespace bilberrytrail
