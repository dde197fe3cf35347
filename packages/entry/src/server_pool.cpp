#include "server_pool_state.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/random.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <set>

namespace bilberrytrail {

namespace {

bool
IsSameIncarnation(const ServerRecord& aLeft, const ServerRecord& aRight)
{
  return aLeft.mStartedAtMs == aRight.mStartedAtMs &&
         aLeft.mEndpoint == aRight.mEndpoint;
}

} // namespace

ServerPool::ServerPool(ZoneId aOwnZone,
                       const ServerPoolSettings& aSettings,
                       RateGate* aGate,
                       const AvoidedServers* aAvoided)
  : mOwnZone(std::move(aOwnZone))
  , mSettings(aSettings)
  , mGate(aGate)
  , mAvoided(aAvoided)
{
}

ServerPool::~ServerPool() = default;

std::vector<Endpoint>
ServerPool::Update(std::span<const ServerRecord> aServers, Instant /*aNow*/)
{
  std::map<ServerId, const ServerRecord*> listed;
  for (const auto& it : aServers) {
    listed.emplace(it.mId, &it);
  }
  std::vector<Endpoint> gone;
  std::erase_if(mServers, [&](const auto& aEntry) {
    const auto& record = aEntry.second->mRecord;
    const auto it = listed.find(record.mId);
    if (it != listed.end() && IsSameIncarnation(*it->second, record)) {
      return false;
    }
    gone.push_back(record.mEndpoint);
    return true;
  });
  for (const auto& it : aServers) {
    auto& server = mServers[it.mId];
    if (server == nullptr) {
      server = std::make_unique<Server>(mSettings);
      server->mGeneration = ++mLastGeneration;
      if (mHasList) {
        server->mPace.Start();
      }
      server->mHash = StableHash64(it.mId.Text());
    }
    if (server->mRecord.mModels != it.mModels) {
      server->mFullUntil.reset();
    }
    server->mRecord = it;
  }
  mHasList = mHasList || !aServers.empty();
  return gone;
}

// A server is silent when a request waits at it and nothing arrived from it
// within the limit.
bool
ServerPool::IsSilent(const Server& aServer,
                     Duration aObjective,
                     Instant aNow) const
{
  if (aServer.mWaiting.empty()) {
    return false;
  }
  const auto limit =
    std::clamp(FromMillis(ToMillis(aObjective) * mSettings.mSilenceObjectives),
               mSettings.mMinSilence,
               mSettings.mMaxSilence);
  const Instant oldest = mSends.at(*aServer.mWaiting.begin()).mSentAt;
  const auto lastReceived = aServer.mLastReceivedAt.value_or(oldest);
  return aNow - std::max(oldest, lastReceived) > limit;
}

bool
ServerPool::IsEligible(const ServerQuery& aQuery,
                       const Server& aServer,
                       Instant aNow) const
{
  const auto& record = aServer.mRecord;
  // A server without the model has version 0 of it.
  const auto least = std::max<std::uint64_t>(aQuery.mLeastVersion, 1);
  return record.mService == aQuery.mService && !record.mIsLeaving &&
         !record.mIsEvacuated &&
         (mAvoided == nullptr || !mAvoided->Contains(record.mId, aNow)) &&
         std::ranges::find(aQuery.mTried, record.mId) == aQuery.mTried.end() &&
         (!aQuery.mModel || aServer.VersionOf(*aQuery.mModel) >= least);
}

std::optional<Duration>
ServerPool::LimitDelay(const ServerQuery& aQuery, Instant aNow)
{
  if (mGate == nullptr) {
    return std::nullopt;
  }
  const Server* soonest = nullptr;
  Duration wait = Duration::max();
  for (const auto& [id, server] : mServers) {
    if (!IsEligible(aQuery, *server, aNow) || mGate->IsOpen(id, aNow)) {
      continue;
    }
    const auto own = mGate->WaitFor(id, aNow).value_or(Duration::max());
    if (soonest == nullptr || own < wait) {
      soonest = server.get();
      wait = own;
    }
  }
  if (soonest == nullptr) {
    return std::nullopt;
  }
  return mGate->PromiseReturn(soonest->mRecord.mId, aNow);
}

ServerPool::Candidates
ServerPool::Usable(const ServerQuery& aQuery,
                   Instant aNow,
                   Candidates& aExcluded)
{
  Candidates usable;
  for (const auto& [id, server] : mServers) {
    if (!IsEligible(aQuery, *server, aNow) ||
        (mGate != nullptr && !mGate->IsOpen(id, aNow))) {
      continue;
    }
    const bool isLoading =
      aQuery.mModel && server->mLoadingUntil && aNow < *server->mLoadingUntil &&
      server->mRecord.VersionOf(*aQuery.mModel) < aQuery.mNewestVersion;
    const bool isExcluded =
      (server->mEjectedUntil && aNow < *server->mEjectedUntil) ||
      (server->mFullUntil && aNow < *server->mFullUntil) || isLoading ||
      IsSilent(*server, aQuery.mObjective, aNow);
    (isExcluded ? aExcluded : usable).push_back(server.get());
  }
  return usable;
}

void
ServerPool::Order(const ServerQuery& aQuery, Candidates& aCandidates)
{
  if (aQuery.mAffinity != 0) {
    std::ranges::sort(
      aCandidates, std::ranges::greater(), [&](const Server* aServer) {
        return Random(aQuery.mAffinity ^ aServer->mHash).Next();
      });
    return;
  }
  const auto turn =
    static_cast<std::ptrdiff_t>(++mRoundRobin % aCandidates.size());
  std::rotate(
    aCandidates.begin(), aCandidates.begin() + turn, aCandidates.end());
}

ChosenServer
ServerPool::ToChoice(const ServerQuery& aQuery,
                     const Server& aServer,
                     ChoiceReason aReason,
                     std::size_t aCandidates) const
{
  ChosenServer choice;
  choice.mServer = aServer.mRecord.mId;
  choice.mEndpoint = aServer.mRecord.mEndpoint;
  choice.mZone = aServer.mRecord.mZone;
  choice.mWeightVersion = aQuery.mModel ? aServer.VersionOf(*aQuery.mModel) : 0;
  choice.mReason = aReason;
  choice.mCandidates = aCandidates;
  choice.mStartedAtMs = aServer.mRecord.mStartedAtMs;
  return choice;
}

std::optional<ChosenServer>
ServerPool::Choose(const ServerQuery& aQuery, Instant aNow)
{
  if (aQuery.mModel) {
    auto& newest = mNewest[*aQuery.mModel];
    newest = std::max(newest, aQuery.mNewestVersion);
  }
  Candidates excluded;
  auto usable = Usable(aQuery, aNow, excluded);
  if (usable.empty()) {
    if (excluded.empty()) {
      return std::nullopt;
    }
    const auto* oldest =
      *std::ranges::min_element(excluded, {}, [](const Server* aServer) {
        return std::max(aServer->mEjectedUntil.value_or(Instant()),
                        aServer->mFullUntil.value_or(Instant()));
      });
    return ToChoice(aQuery, *oldest, ChoiceReason::LastResort, 0);
  }
  Order(aQuery, usable);
  std::size_t best = 0;
  auto least = CostAt(aQuery, *usable[0], 0, aNow);
  for (std::size_t n = 1; n < usable.size(); ++n) {
    const auto cost = CostAt(aQuery, *usable[n], n, aNow);
    if (cost < least) {
      least = cost;
      best = n;
    }
  }
  const auto reason = aQuery.mAffinity == 0 ? ChoiceReason::Soonest
                      : best == 0           ? ChoiceReason::Affinity
                                            : ChoiceReason::Spilled;
  auto choice = ToChoice(aQuery, *usable[best], reason, usable.size());
  choice.mTime = TimeAt(aQuery, *usable[best], best, aNow);
  choice.mAdmissionTime =
    TimeAt(ScaledToAverage(aQuery), *usable[best], best, aNow);
  if (aQuery.mModel && aQuery.mMemory > 0) {
    mSizes[aQuery.mKind].Note(aQuery.mMemory);
  }
  return choice;
}

SendTicket
ServerPool::Begin(const ServerId& aServer,
                  const ServerQuery& aQuery,
                  Instant aNow)
{
  const SendTicket ticket(++mLastTicket);
  const auto rank = std::min<unsigned>(aQuery.mRank, kRanks - 1);
  auto& send = mSends[ticket];
  send.mServer = aServer;
  send.mWork = aQuery.mWork;
  send.mRank = rank;
  send.mSentAt = aNow;
  const auto it = mServers.find(aServer);
  if (it != mServers.end()) {
    auto& server = *it->second;
    send.mGeneration = server.mGeneration;
    if (aQuery.mModel) {
      if (mSettings.mSeesAllPrompts && aQuery.mAffinity != 0) {
        send.mWork += MissAt(aQuery, server, 0);
        server.mParts.Use(
          server.PartOf(aQuery),
          aQuery.mSharedTokens,
          aQuery.mServerMemory -
            std::accumulate(server.mMemory.begin(), server.mMemory.end(), 0.0));
      }
      send.mTokens = WorkAheadOf(server, rank, aNow) + send.mWork;
      send.mWorkTime = TimeOf(aQuery.mService, send.mTokens);
      send.mWorkTime += MemoryTime(aQuery, server);
      send.mBaselineTime = BaselineTimeOf(aQuery);
      send.mKind = aQuery.mKind;
      send.mMemory = aQuery.mMemory;
      send.mIsPrompt = true;
      server.mMemory[rank] += send.mMemory;
      server.mLoad.Add(rank, send.mWork, aNow);
      server.mSent[rank] += send.mWork;
      send.mSentAbove = server.SentAbove(rank);
    }
    server.mWaiting.insert(ticket);
  }
  return ticket;
}

void
ServerPool::OnProgress(SendTicket aTicket, Instant aNow)
{
  const auto send = mSends.find(aTicket);
  if (send == mSends.end()) {
    return;
  }
  const auto it = mServers.find(send->second.mServer);
  if (it == mServers.end() ||
      it->second->mGeneration != send->second.mGeneration) {
    return;
  }
  auto& server = *it->second;
  server.mLastReceivedAt = aNow;
  if (mGate != nullptr) {
    mGate->NoteAnswer(send->second.mServer, aNow);
  }
  if (!send->second.mHasBegun) {
    send->second.mHasBegun = true;
    server.mWaiting.erase(aTicket);
    NoteBegin(server, send->second, aNow);
    ++server.mRunning;
  }
}

// Only a pool that knows all work ahead of a prompt can tell the speed.
void
ServerPool::NoteSpeed(Server& aServer, const Send& aSend, Instant aNow)
{
  if (!mSettings.mSeesAllPrompts) {
    return;
  }
  auto& speed =
    mSpeeds.try_emplace(aServer.mRecord.mService, mSettings.mTokensPerMs)
      .first->second;
  // Urgent prompts that came later were read first.
  const double overtaking = aServer.SentAbove(aSend.mRank) - aSend.mSentAbove;
  speed.Note(aSend.mTokens + overtaking, aNow - aSend.mSentAt);
  aServer.mLoad.SetSpeed(speed.TokensPerMs(), aNow);
}

void
ServerPool::NoteBegin(Server& aServer, const Send& aSend, Instant aNow)
{
  aServer.mPace.NoteBegun(aNow - aSend.mSentAt,
                          aSend.mWorkTime + aSend.mBaselineTime);
  const auto beyond = aNow - aSend.mSentAt - aSend.mWorkTime;
  const auto excess = std::max(beyond - aSend.mBaselineTime, Duration(0));
  if (aSend.mIsPrompt) {
    NoteSpeed(aServer, aSend, aNow);
    mBaseline[aSend.mKind].Note(beyond);
  }
  const auto previous = DelayOf(aServer, aSend.mRank, aNow);
  auto& recent = aServer.mDelays[aSend.mRank];
  recent.mDelay =
    FromMillis(ToMillis(previous) + mSettings.mDelayWeight *
                                      (ToMillis(excess) - ToMillis(previous)));
  recent.mAt = aNow;
  recent.mLastBegunSentAt = std::max(recent.mLastBegunSentAt, aSend.mSentAt);
}

std::optional<HealthChange>
ServerPool::Fail(Server& aServer, SendOutcome aOutcome, Instant aNow)
{
  ++aServer.mFailures;
  const bool isCertain = aOutcome == SendOutcome::NoConnection ||
                         aOutcome == SendOutcome::WrongServer;
  const bool isEjected = aServer.mEjectedUntil && aNow < *aServer.mEjectedUntil;
  if (isEjected ||
      (!isCertain && aServer.mFailures < mSettings.mFailuresToEject)) {
    return std::nullopt;
  }
  aServer.mEjection = std::clamp(
    aServer.mEjection * 2, mSettings.mFirstEjection, mSettings.mMaxEjection);
  aServer.mEjectedUntil = aNow + aServer.mEjection;
  aServer.mPace.Start();
  return HealthChange{ aServer.mRecord.mId, true, aOutcome, aServer.mEjection };
}

void
ServerPool::NoteReached(const ServerId& aServer,
                        SendOutcome aOutcome,
                        Instant aNow)
{
  if (mGate == nullptr) {
    return;
  }
  switch (aOutcome) {
    case SendOutcome::Answered:
    case SendOutcome::ServerError:
    case SendOutcome::Full:
    case SendOutcome::WrongVersion:
      mGate->NoteAnswer(aServer, aNow);
      return;
    case SendOutcome::NoConnection:
      mGate->NoteLost(aServer, true, aNow);
      return;
    case SendOutcome::Broken:
      mGate->NoteLost(aServer, false, aNow);
      return;
    case SendOutcome::WrongServer:
    case SendOutcome::Abandoned:
      return;
  }
}

std::optional<HealthChange>
ServerPool::End(SendTicket aTicket, SendOutcome aOutcome, Instant aNow)
{
  const auto send = mSends.find(aTicket);
  if (send == mSends.end()) {
    return std::nullopt;
  }
  const Send ended = send->second;
  mSends.erase(send);
  // What was sent to a server before its restart says nothing of it.
  const auto it = mServers.find(ended.mServer);
  if (it == mServers.end() || it->second->mGeneration != ended.mGeneration) {
    return std::nullopt;
  }
  auto& server = *it->second;
  server.mWaiting.erase(aTicket);
  if (ended.mIsPrompt) {
    auto& memory = server.mMemory[ended.mRank];
    memory = std::max(0.0, memory - ended.mMemory);
    // Sends with other outcomes may have ended long after the server released
    // their memory: by their deadline, or because the sender died.
    if (aOutcome == SendOutcome::Answered) {
      mHoldTime += FromMillis(mSettings.mHoldWeight *
                              ToMillis(aNow - ended.mSentAt - mHoldTime));
    }
  }
  if (ended.mHasBegun) {
    server.mRunning -= std::min<std::size_t>(server.mRunning, 1);
  } else {
    server.mLoad.Remove(ended.mRank, ended.mWork, aNow);
  }
  NoteReached(ended.mServer, aOutcome, aNow);
  switch (aOutcome) {
    case SendOutcome::Answered: {
      const bool wasEjected = server.mEjectedUntil.has_value();
      server.mLastReceivedAt = aNow;
      server.mFailures = 0;
      server.mEjection = Duration(0);
      server.mFullBackOff = Duration(0);
      server.mEjectedUntil.reset();
      return wasEjected ? std::optional(HealthChange{ ended.mServer, false })
                        : std::nullopt;
    }
    case SendOutcome::Full:
      server.mPace.NoteRejected();
      server.mLastReceivedAt = aNow;
      server.mFullBackOff = std::clamp(server.mFullBackOff * 2,
                                       mSettings.mFirstFullBackOff,
                                       mSettings.mMaxFullBackOff);
      server.mFullUntil = aNow + server.mFullBackOff;
      return std::nullopt;
    case SendOutcome::WrongVersion:
      server.mLastReceivedAt = aNow;
      return std::nullopt;
    case SendOutcome::Abandoned:
      return std::nullopt;
    case SendOutcome::ServerError:
    case SendOutcome::NoConnection:
    case SendOutcome::WrongServer:
    case SendOutcome::Broken:
      server.mPace.NoteRejected();
      return Fail(server, aOutcome, aNow);
  }
  return std::nullopt;
}

void
ServerPool::SetLoading(const std::set<ServerId>& aServers, Instant aNow)
{
  for (const auto& [id, server] : mServers) {
    const bool wasNamed =
      server->mLoadingUntil && aNow < *server->mLoadingUntil;
    if (aServers.contains(id)) {
      if (!wasNamed) {
        server->mLoadedVersions = mNewest;
      }
      server->mLoadingUntil = aNow + mSettings.mLoadingNoticeTime;
      continue;
    }
    server->mLoadingUntil.reset();
    if (wasNamed) {
      AssumeLoaded(*server);
    }
  }
}

// The list shows new weights late. A server that does not have them says so.
void
ServerPool::AssumeLoaded(Server& aServer)
{
  for (const auto& it : aServer.mRecord.mModels) {
    const auto loaded = aServer.mLoadedVersions.find(it.mModel);
    if (loaded != aServer.mLoadedVersions.end()) {
      auto& observed = aServer.mObserved[it.mModel];
      observed = std::max(observed, loaded->second);
    }
  }
  aServer.mFullUntil.reset();
}

void
ServerPool::ExpectLoading(const ServerId& aServer, Instant aNow)
{
  const auto it = mServers.find(aServer);
  if (it != mServers.end()) {
    it->second->mFullUntil = aNow + mSettings.mLoadingTime;
  }
}

void
ServerPool::ObserveVersion(const ServerId& aServer,
                           const ModelId& aModel,
                           std::uint64_t aVersion)
{
  const auto it = mServers.find(aServer);
  if (it != mServers.end()) {
    auto& observed = it->second->mObserved[aModel];
    observed = std::max(observed, aVersion);
  }
}

void
ServerPool::DenyVersion(const ServerId& aServer,
                        const ModelId& aModel,
                        std::uint64_t aVersion,
                        std::uint64_t aNewestVersion)
{
  const auto it = mServers.find(aServer);
  if (it == mServers.end()) {
    return;
  }
  auto& server = *it->second;
  if (aVersion < aNewestVersion) {
    auto& observed = server.mObserved[aModel];
    observed = std::max(observed, aNewestVersion);
  } else {
    server.mObserved.erase(aModel);
  }
}

} // namespace bilberrytrail
