#include "server_locator.h"

#include "version_choice.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace bilberrytrail {

namespace {

// Candidates asked first, and when none of these can serve.
constexpr std::size_t kFirstCandidates = 4;
constexpr std::size_t kMoreCandidates = 32;
// Servers asked because they hold the longest prefixes.
constexpr std::size_t kMaxHolders = 3;
constexpr Duration kEstimateTimeout = 200ms;
// Way to a home and back, until measured.
constexpr Duration kHomeRoundTrip = 500us;

// Returns the time that a server of the weight takes.
Duration
Lengthen(Duration aLength, double aWeight)
{
  return FromMillis(ToMillis(aLength) / aWeight);
}

// Returns the time in which a server of the speed, in tokens per second,
// computes the whole prompt; zero when the speed is not known.
Duration
PrefillTime(const RequestContext& aContext, double aSpeed)
{
  return aSpeed > 0
           ? FromMillis(aContext.mEstimate.mPromptTokens / aSpeed * 1000)
           : Duration::zero();
}

} // namespace

ServerLocator::ServerLocator(HomeService& aHomes, std::uint64_t aSeed)
  : mHomes(aHomes)
  , mRandom(aSeed)
  , mPlanner(std::make_unique<LeastTimePlanner>())
{
}

std::optional<ServerChoice>
ServerLocator::Choose(RequestContext& aContext,
                      const PromptBlocks& aBlocks,
                      const std::set<ServerId>& aTried)
{
  mServedInstead = VersionId();
  if (auto held = ChooseHeld(aContext, aBlocks, aTried)) {
    return held;
  }
  if (auto known = ChooseKnown(aContext, aBlocks, aTried)) {
    return known;
  }
  const ControlViewPtr view = aContext.mRouting;
  const auto& usable = Usable(aContext);
  const auto untried = Untried(usable, aTried);
  const auto& servers = aTried.empty() ? usable : untried;
  const auto where = Locate(aContext, aBlocks);
  for (const std::size_t n : { kFirstCandidates, kMoreCandidates }) {
    const auto asked =
      PickCandidates(where.mServers, servers, kMaxHolders, n, mRandom);
    const auto estimates = Ask(aContext, aBlocks, asked);
    mServedInstead = MostServedInstead(estimates);
    auto choice = Plan(aContext, aBlocks, estimates, where);
    if (choice || asked.size() == servers.size()) {
      return choice;
    }
  }
  return std::nullopt;
}

std::optional<ServerChoice>
ServerLocator::ChooseHeld(const RequestContext& aContext,
                          const PromptBlocks& aBlocks,
                          const std::set<ServerId>& aTried)
{
  if (!aBlocks.mBlocks.empty()) {
    return std::nullopt;
  }
  const bool isEngine = aContext.mCompletion.has_value();
  auto held = mHomes.EstimateHeld(
    QueryOf(aContext, aBlocks), [&](const BackendView& aListed) {
      const VmEntry& vm = aListed.mVm;
      return vm.mProduct == aContext.mAccount.mProduct && !vm.mLeaving &&
             vm.mRole == (isEngine ? VmRole::Engine : VmRole::Service) &&
             (isEngine || vm.mGroup == aContext.ServiceGroup());
    });
  std::erase_if(held, [&](const ServerEstimate& aOne) {
    return !aOne.mHasRoom || !aOne.TakesAtOnce() ||
           aTried.contains(aOne.mServer);
  });
  if (held.empty()) {
    return std::nullopt;
  }
  const auto& chosen = held[mRandom.Below(held.size())];
  ServerChoice choice;
  choice.mServer = chosen.mServer;
  choice.mPlan.mTimeToFirstToken =
    PrefillTime(aContext, chosen.mPrefillTokensPerSecond);
  return choice;
}

std::optional<ServerChoice>
ServerLocator::ChooseKnown(const RequestContext& aContext,
                           const PromptBlocks& aBlocks,
                           const std::set<ServerId>& aTried)
{
  const bool mayRepeat = aContext.mCompletion || aContext.mService->mRepeatable;
  if (!mayRepeat || aContext.mMustAsk || !aTried.empty() ||
      !aBlocks.mBlocks.empty()) {
    return std::nullopt;
  }
  const auto& listed = aContext.mRouting->mServers;
  const auto server = aContext.mKnown->Choose(
    aContext.KindOfRequest(),
    [&](const ServerId& aId) {
      const auto it = listed.find(aId);
      return it != listed.end() && !it->second.mVm.mLeaving;
    },
    MonotonicNow(),
    mRandom);
  if (!server) {
    return std::nullopt;
  }
  ServerChoice choice;
  choice.mServer = *server;
  choice.mIsUnasked = true;
  choice.mPlan.mTimeToFirstToken = PrefillTime(
    aContext, aContext.mKnown->PrefillSpeed(aContext.KindOfRequest(), *server));
  return choice;
}

bool
ServerLocator::HasOther(const RequestContext& aContext,
                        const std::set<ServerId>& aTried)
{
  const auto& usable = Usable(aContext);
  return std::any_of(usable.begin(), usable.end(), [&](const ServerId& aId) {
    return !aTried.contains(aId);
  });
}

const std::vector<ServerId>&
ServerLocator::Usable(const RequestContext& aContext)
{
  const bool isEngine = aContext.mCompletion.has_value();
  const std::string group = isEngine ? std::string() : aContext.ServiceGroup();
  return aContext.mRouting->UsableServers(aContext.mAccount.mProduct,
                                          isEngine ? VmRole::Engine
                                                   : VmRole::Service,
                                          group);
}

std::vector<ServerId>
ServerLocator::Untried(const std::vector<ServerId>& aUsable,
                       const std::set<ServerId>& aTried)
{
  std::vector<ServerId> servers;
  if (aTried.empty()) {
    return servers;
  }
  std::copy_if(aUsable.begin(),
               aUsable.end(),
               std::back_inserter(servers),
               [&](const ServerId& aId) { return !aTried.contains(aId); });
  return servers;
}

PromptLocations
ServerLocator::Locate(RequestContext& aContext, const PromptBlocks& aBlocks)
{
  const auto root = aBlocks.Root();
  if (!root) {
    return {};
  }
  DirectoryQuery query;
  query.mKey = { aContext.mAccount.mProduct,
                 aContext.mAccount.mAccount,
                 *root };
  query.mBlocks = aBlocks.mBlocks;
  return mHomes.Cache().Find(aContext.mThread, query);
}

EstimateQuery
ServerLocator::QueryOf(const RequestContext& aContext,
                       const PromptBlocks& aBlocks)
{
  EstimateQuery query;
  query.mAccount = aContext.mAccount.mAccount;
  query.mClass = aContext.mEstimate.mClass;
  query.mModel =
    aContext.mCompletion ? aContext.mCompletion->mModel : ModelId();
  query.mVersion = aContext.mVersion;
  query.mPromptTokens = aContext.mEstimate.mPromptTokens;
  query.mAnswerTokens = aContext.mEstimate.mAnswerTokens;
  query.mBlocks = aBlocks.mBlocks;
  return query;
}

std::vector<ServerEstimate>
ServerLocator::Ask(RequestContext& aContext,
                   const PromptBlocks& aBlocks,
                   const std::vector<ServerId>& aServers)
{
  const ControlView& view = *aContext.mRouting;
  std::map<DaemonId, EstimateQuery> queries;
  for (const auto& id : aServers) {
    const auto& home = view.mServers.at(id).mHome;
    const auto it = queries.try_emplace(home, QueryOf(aContext, aBlocks)).first;
    it->second.mServers.push_back(id);
  }
  std::vector<ServerEstimate> estimates;
  for (auto& [home, query] : queries) {
    const auto* peer = view.FindMember(home);
    if (home == view.mSelf || peer == nullptr) {
      const auto local = mHomes.Estimate(query);
      estimates.insert(estimates.end(), local.begin(), local.end());
      continue;
    }
    const auto reply = aContext.mThread.Peers().Call(
      *peer, "home.estimate", ToJson(query), kEstimateTimeout);
    if (!reply) {
      continue;
    }
    const auto remote = ReadServerEstimates(reply.value());
    if (remote) {
      estimates.insert(
        estimates.end(), remote.value().begin(), remote.value().end());
    }
  }
  const auto now = MonotonicNow();
  for (const auto& it : estimates) {
    aContext.mKnown->Note(aContext.KindOfRequest(), it, now);
  }
  return estimates;
}

std::optional<ServerChoice>
ServerLocator::Plan(RequestContext& aContext,
                    const PromptBlocks& aBlocks,
                    const std::vector<ServerEstimate>& aEstimates,
                    const PromptLocations& aWhere)
{
  PlanRequest request;
  request.mBlocks = static_cast<std::uint32_t>(aBlocks.mBlocks.size());
  request.mTokensPerBlock = aBlocks.mBlockBytes / kBytesPerToken;
  request.mTailTokens = aBlocks.mTailBytes / kBytesPerToken;
  for (const auto& it : aEstimates) {
    if (!it.mReady) {
      continue;
    }
    const bool isLocal = aContext.mRouting->mServers.at(it.mServer).mHome ==
                         aContext.mRouting->mSelf;
    PlanCandidate candidate;
    candidate.mServer = it.mServer;
    candidate.mQueueWait =
      Lengthen(it.mQueueWait + it.mService, it.mWeight) - it.mService;
    candidate.mRoundTrip = isLocal ? Duration::zero() : kHomeRoundTrip;
    candidate.mPrefillTokensPerSecond = it.mPrefillTokensPerSecond;
    candidate.mResidentBlocks = it.mResidentBlocks;
    candidate.mPendingBlocks = it.mPendingBlocks;
    candidate.mPendingWait = it.mPendingWait;
    request.mCandidates.push_back(std::move(candidate));
  }
  // Of equal candidates not always the first one is taken.
  const std::size_t n = request.mCandidates.size();
  request.mCandidates = PickRandom(std::move(request.mCandidates), n, mRandom);
  request.mCopies = aWhere.mCopies;
  request.mLinks = mHomes.Cache().Links(aContext.mThread, aWhere);
  PrefixPlan plan = mPlanner->Choose(request);
  if (plan.mServer.IsEmpty()) {
    return std::nullopt;
  }
  ServerChoice choice;
  choice.mServer = plan.mServer;
  choice.mPlan = std::move(plan);
  return choice;
}

} // namespace bilberrytrail
