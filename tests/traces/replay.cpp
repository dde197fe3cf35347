#include "replay.h"

#include "replay_claims.h"

#include <bilberrytrail/cache/prefix_planner.h>
#include <bilberrytrail/cache/prompt_blocks.h>
#include <bilberrytrail/cache/prompt_directory.h>
#include <bilberrytrail/traffic/quarantine.h>
#include <bilberrytrail/traffic/server_queue.h>

#include <algorithm>
#include <functional>
#include <set>

namespace bilberrytrail {

namespace {

constexpr std::string_view kSiteKey = "a site key of thirty-two bytes !";
constexpr std::uint32_t kTextPerBlock = 16;
constexpr std::uint32_t kTokensPerBlock = 2048;
constexpr double kPrefillTokensPerSecond = 8000;
constexpr double kDecodeTokensPerSecond = 60;
constexpr Duration kReadTime = 20ms;
constexpr Duration kDeadline = 120s;
constexpr Duration kPauseDelay = 2ms;
constexpr Duration kTickPeriod = 50ms;
constexpr std::uint64_t kBlockBytes = 64ULL << 20U;
constexpr double kLinkBytesPerSecond = 1e9;
constexpr std::size_t kHolders = 2;
constexpr std::size_t kOtherCandidates = 2;

struct Server
{
  ServerId mId;
  std::unique_ptr<ServerQueue> mQueue;
  std::set<VersionId> mVersions;
  std::uint64_t mSequence = 0;
  std::uint64_t mDeaths = 0;
  Instant mReadyAt{};
};

struct Job
{
  TraceEvent mEvent;
  VersionId mVersion;
  Server* mServer = nullptr;
  PromptKey mKey;
  std::vector<BlockId> mBlocks;
  Fingerprint mFingerprint;
  Instant mOfferedAt{};
  Instant mStartedAt{};
  Duration mLeft{};
  // Counts starts, so that an outdated end is told from the present one.
  int mStarts = 0;
  bool mIsRunning = false;
};

class Replay
{
public:
  explicit Replay(const Trace& aTrace)
    : mTrace(aTrace)
    , mDirectory(DirectoryLimits())
    , mQuarantine(MakeQuarantine(QuarantineSettings()))
    , mRandom(kSeed)
  {
    for (std::uint32_t n = 0; n < aTrace.mEngines + aTrace.mServices; ++n) {
      auto server = std::make_unique<Server>();
      server->mId = ServerId("server-" + std::to_string(n));
      server->mQueue = MakeFairServerQueue(QueueSettings());
      server->mVersions.insert(mVersion);
      mServers.push_back(std::move(server));
    }
  }

  std::map<std::string, double> Run()
  {
    for (const auto& event : mTrace.mEvents) {
      At(Instant(event.mAt), [this, &event] { Take(event); });
    }
    At(Instant(kTickPeriod), [this] { Tick(); });
    while (!mEvents.empty()) {
      const auto it = mEvents.begin();
      mNow = it->first;
      const auto action = std::move(it->second);
      mEvents.erase(it);
      action();
    }
    return Summary();
  }

private:
  static constexpr std::uint64_t kSeed = 11;

  void At(Instant aWhen, std::function<void()> aAction)
  {
    mEvents.emplace(aWhen, std::move(aAction));
  }

  void Take(const TraceEvent& aEvent)
  {
    switch (aEvent.mKind) {
      case TraceKind::Request:
        Arrive(aEvent);
        break;
      case TraceKind::Evict:
        Evict(aEvent);
        break;
      case TraceKind::Load: {
        // The server keeps its old version until the new one is ready.
        Server* server = mServers.at(aEvent.mServer).get();
        At(mNow + aEvent.mLength, [server] {
          server->mVersions = { VersionId("v1"), kNextVersion };
        });
        break;
      }
      case TraceKind::Release:
        mVersion = kNextVersion;
        break;
    }
  }

  void Arrive(const TraceEvent& aEvent)
  {
    ++mCounts["requests"];
    const Ticket ticket(++mLastTicket);
    Job& job = mJobs[ticket.Value()];
    job.mEvent = aEvent;
    job.mVersion = mVersion;
    job.mOfferedAt = mNow;
    job.mFingerprint = MakeFingerprint(
      ProductId("shop"), AccountId(aEvent.mAccount), aEvent.mPrompt);
    Cut(job);
    if (mQuarantine->Verdict(job.mFingerprint, mNow) ==
        QuarantineVerdict::Convicted) {
      ++mCounts["quarantined"];
      return;
    }
    Offer(ticket, job);
  }

  void Cut(Job& aJob)
  {
    const TraceEvent& event = aJob.mEvent;
    const PromptScope scope{ ProductId("shop"),
                             AccountId(event.mAccount),
                             ModelId("model"),
                             aJob.mVersion,
                             "" };
    // A text that repeats the prompt's name and fills the blocks.
    std::string text;
    while (text.size() < event.mBlocks * kTextPerBlock) {
      text += event.mPrompt + "/";
    }
    text.resize(event.mBlocks * kTextPerBlock);
    aJob.mBlocks = SplitPrompt(scope, text, kSiteKey, kTextPerBlock).mBlocks;
    for (const auto& block : aJob.mBlocks) {
      mOwners[block].insert(event.mAccount + "/" + aJob.mVersion.Text());
    }
    if (!aJob.mBlocks.empty()) {
      aJob.mKey = { scope.mProduct, scope.mAccount, aJob.mBlocks.front() };
      mDirectory.RecordUse(aJob.mKey, aJob.mBlocks);
    }
  }

  void Offer(Ticket aTicket, Job& aJob)
  {
    QueueEntry entry;
    entry.mTicket = aTicket;
    entry.mAccount = AccountId(aJob.mEvent.mAccount);
    entry.mClass = aJob.mEvent.mClass;
    entry.mDeadline = mNow + kDeadline;
    entry.mCostTokens =
      static_cast<double>(aJob.mEvent.mBlocks) * kTokensPerBlock +
      aJob.mEvent.mAnswerTokens + 1;
    entry.mService = aJob.mEvent.mBlocks == 0 ? ChooseService(aJob, entry)
                                              : ChooseEngine(aJob, entry);
    aJob.mLeft = FromMillis(ToMillis(entry.mService) * aJob.mEvent.mSlowdown);
    Apply(*aJob.mServer, aJob.mServer->mQueue->Offer(entry, mNow));
  }

  // Takes the plain service's server with the shortest wait.
  Duration ChooseService(Job& aJob, const QueueEntry& aEntry)
  {
    const auto first = mServers.begin() + mTrace.mEngines;
    const auto best = std::min_element(
      first, mServers.end(), [&](const auto& aLeft, const auto& aRight) {
        return aLeft->mQueue->PredictWait(aEntry, mNow) <
               aRight->mQueue->PredictWait(aEntry, mNow);
      });
    aJob.mServer = best->get();
    return kReadTime;
  }

  Duration ChooseEngine(Job& aJob, const QueueEntry& aEntry)
  {
    const auto where = mDirectory.Find(aJob.mKey, aJob.mBlocks, mNow);
    std::vector<ServerId> usable;
    for (std::uint32_t n = 0; n < mTrace.mEngines; ++n) {
      if (mServers[n]->mVersions.contains(aJob.mVersion) &&
          mServers[n]->mReadyAt <= mNow) {
        usable.push_back(mServers[n]->mId);
      }
    }
    PlanRequest request;
    request.mBlocks = static_cast<std::uint32_t>(aJob.mBlocks.size());
    request.mTokensPerBlock = kTokensPerBlock;
    request.mCopies = where.mCopies;
    request.mLinks.push_back(
      { StoreId("store"), kLinkBytesPerSecond, 0, 1ms, 5ms, 0 });
    for (const auto& id : PickCandidates(
           where.mServers, usable, kHolders, kOtherCandidates, mRandom)) {
      request.mCandidates.push_back(MakeCandidate(id, aEntry, where));
    }
    LeastTimePlanner planner;
    const auto plan = planner.Choose(request);
    aJob.mServer = Find(plan.mServer);
    mReused += request.mBlocks - plan.mRecomputeBlocks;
    mAsked += request.mBlocks;
    if (!aJob.mServer->mVersions.contains(aJob.mVersion)) {
      ++mCounts["wrong_version_runs"];
    }
    const double seconds =
      plan.mRecomputeBlocks * kTokensPerBlock / kPrefillTokensPerSecond +
      aJob.mEvent.mAnswerTokens / kDecodeTokensPerSecond;
    return FromMillis(seconds * 1000);
  }

  PlanCandidate MakeCandidate(const ServerId& aId,
                              const QueueEntry& aEntry,
                              const PromptLocations& aWhere)
  {
    PlanCandidate candidate;
    candidate.mServer = aId;
    candidate.mQueueWait = Find(aId)->mQueue->PredictWait(aEntry, mNow);
    candidate.mPrefillTokensPerSecond = kPrefillTokensPerSecond;
    for (const auto& it : aWhere.mServers) {
      if (it.mServer == aId) {
        candidate.mResidentBlocks = it.mBlocks;
      }
    }
    return candidate;
  }

  Server* Find(const ServerId& aId)
  {
    const auto it =
      std::find_if(mServers.begin(), mServers.end(), [&](const auto& aServer) {
        return aServer->mId == aId;
      });
    return it == mServers.end() ? nullptr : it->get();
  }

  void Apply(Server& aServer, const QueueActions& aActions)
  {
    for (const auto& action : aActions) {
      const auto ticket =
        std::visit([](const auto& aOne) { return aOne.mTicket; }, action);
      Job& job = mJobs.at(ticket.Value());
      if (std::holds_alternative<GrantAction>(action)) {
        Granted(aServer, ticket, job);
      } else if (std::holds_alternative<ResumeAction>(action)) {
        Start(ticket, job);
      } else if (std::holds_alternative<PauseAction>(action)) {
        At(mNow + kPauseDelay, [this, ticket] { Pause(ticket); });
      } else {
        ++mCounts["refused"];
      }
    }
  }

  void Granted(Server& aServer, Ticket aTicket, Job& aJob)
  {
    if (IsShortWork(aJob.mEvent.mClass)) {
      mShortWaits.push_back(ToMillis(mNow - aJob.mOfferedAt));
    }
    (void)mQuarantine->Start(aJob.mFingerprint, aServer.mId, mNow);
    if (aJob.mEvent.mKey.empty() || Claim(aTicket, aJob)) {
      Start(aTicket, aJob);
    } else {
      At(mNow, [this, aTicket] { EndWithoutRun(aTicket); });
    }
  }

  // Returns true when the claim lets the call run.
  bool Claim(Ticket aTicket, Job& aJob)
  {
    const auto end = mClaims.Begin(aTicket.Value(), aJob.mEvent, mNow);
    if (end == ClaimEnd::Recorded) {
      ++mCounts["recorded_answers"];
    } else if (end == ClaimEnd::Unknown) {
      ++mCounts["unknown"];
    }
    return end == ClaimEnd::Run;
  }

  void EndWithoutRun(Ticket aTicket)
  {
    Job& job = mJobs.at(aTicket.Value());
    Apply(*job.mServer, job.mServer->mQueue->Finish(aTicket, mNow));
  }

  void Start(Ticket aTicket, Job& aJob)
  {
    aJob.mStartedAt = mNow;
    aJob.mIsRunning = true;
    const int start = ++aJob.mStarts;
    At(mNow + aJob.mLeft, [this, aTicket, start] { Finish(aTicket, start); });
  }

  void Pause(Ticket aTicket)
  {
    Job& job = mJobs.at(aTicket.Value());
    if (!job.mIsRunning) {
      return;
    }
    job.mIsRunning = false;
    job.mLeft -= mNow - job.mStartedAt;
    ++job.mStarts;
    Apply(*job.mServer, job.mServer->mQueue->ConfirmPaused(aTicket, mNow));
  }

  void Finish(Ticket aTicket, int aStart)
  {
    Job& job = mJobs.at(aTicket.Value());
    if (!job.mIsRunning || job.mStarts != aStart) {
      return;
    }
    job.mIsRunning = false;
    Server& server = *job.mServer;
    if (job.mEvent.mFate == TraceFate::Crash) {
      Crash(server, aTicket, job);
    } else if (!job.mEvent.mKey.empty()) {
      const auto end = mClaims.Finish(
        aTicket.Value(), job.mEvent.mFate == TraceFate::LostReply, mNow);
      ++mCounts[end == ClaimEnd::Answered ? "completed" : "unknown"];
    } else {
      ++mCounts["completed"];
      Cached(server, job);
    }
    mQuarantine->End(job.mFingerprint, server.mId, RunEnd::Clean, mNow);
    Apply(server, server.mQueue->Finish(aTicket, mNow));
  }

  void Crash(Server& aServer, Ticket /*aTicket*/, const Job& aJob)
  {
    ++mCounts["servers_lost"];
    mQuarantine->ServerDied(MakeDeathId(aServer.mId, ++aServer.mDeaths),
                            aServer.mId,
                            { aJob.mFingerprint },
                            mNow);
    mDirectory.OnServerGone(aServer.mId);
    aServer.mSequence = 0;
  }

  // The engine reports the blocks, and a store seals copies of them.
  void Cached(Server& aServer, const Job& aJob)
  {
    Report(aServer, EngineEventKind::BlockCached, aJob.mBlocks);
    for (const auto& block : aJob.mBlocks) {
      mDirectory.OnStoreSealed(
        StoreId("store"),
        1,
        { { block, Generation(1), kBlockBytes, 0 }, StoreTier::Memory });
    }
  }

  void Report(Server& aServer,
              EngineEventKind aKind,
              const std::vector<BlockId>& aBlocks)
  {
    EngineEvent event;
    event.mKind = aKind;
    event.mSequence = ++aServer.mSequence;
    event.mBlocks = aBlocks;
    mDirectory.OnServerEvent(aServer.mId, event, mNow);
  }

  void Evict(const TraceEvent& aEvent)
  {
    Job job;
    job.mEvent = aEvent;
    job.mVersion = mVersion;
    Cut(job);
    for (std::uint32_t n = 0; n < mTrace.mEngines; ++n) {
      Report(*mServers[n], EngineEventKind::BlockEvicted, job.mBlocks);
    }
  }

  void Tick()
  {
    for (const auto& server : mServers) {
      Apply(*server, server->mQueue->Tick(mNow));
    }
    if (!mEvents.empty()) {
      At(mNow + kTickPeriod, [this] { Tick(); });
    }
  }

  std::map<std::string, double> Summary()
  {
    std::sort(mShortWaits.begin(), mShortWaits.end());
    mCounts["short_wait_p99_ms"] =
      mShortWaits.empty() ? 0
                          : mShortWaits[(mShortWaits.size() - 1) * 99 / 100];
    mCounts["reused_share"] = mAsked == 0 ? 0 : mReused / mAsked;
    mCounts["max_runs_per_key"] = mClaims.MostRuns();
    mCounts["wrong_version_runs"] += 0;
    mCounts["foreign_blocks"] = static_cast<double>(
      std::count_if(mOwners.begin(), mOwners.end(), [](const auto& aOwner) {
        return aOwner.second.size() > 1;
      }));
    return mCounts;
  }

  static inline const VersionId kNextVersion{ "v2" };

  const Trace& mTrace;
  PromptDirectory mDirectory;
  std::unique_ptr<Quarantine> mQuarantine;
  Random mRandom;
  ReplayClaims mClaims;
  std::vector<std::unique_ptr<Server>> mServers;
  std::map<std::uint64_t, Job> mJobs;
  std::multimap<Instant, std::function<void()>> mEvents;
  std::map<std::string, double> mCounts;
  std::map<BlockId, std::set<std::string>> mOwners;
  std::vector<double> mShortWaits;
  double mReused = 0;
  double mAsked = 0;
  VersionId mVersion{ "v1" };
  std::uint64_t mLastTicket = 0;
  Instant mNow{};
};

} // namespace

std::map<std::string, double>
ReplayTrace(const Trace& aTrace)
{
  return Replay(aTrace).Run();
}

} // namespace bilberrytrail
