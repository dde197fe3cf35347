#include <bilberrytrail/entry/placement_ledger.h>

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <span>
#include <string>
#include <utility>

using namespace bilberrytrail;

namespace {

const ServiceId kEngines("engines");
const ModelId kModel("m");
const PlacementGroup kGroup{ kEngines, 0, 1 };
const PlacementClientId kEntry{ DaemonId("d1"), 1 };
constexpr std::size_t kServers = 15;
constexpr double kServerMemory = 190'000;
constexpr double kTokensPerMs = 150;
// Requests with which the servers are just busy.
constexpr double kDraftsPerSecond = 150;
constexpr double kTagsPerSecond = 275;
constexpr Duration kAnswerTime = 500ms;
constexpr Duration kTrafficTime = 12s;
// Requests that arrive earlier meet idle servers and are not counted.
constexpr Duration kRampUp = 2s;
constexpr double kPi = 3.14159265358979;

// Size of a prompt of a kind: mean, spread and maximum of a log-normal
// distribution.
struct SizeRange
{
  double mMean = 0;
  double mSpread = 0;
  double mMax = 0;
};

double
DrawSize(Random& aRandom, const SizeRange& aRange)
{
  const double normal = std::sqrt(-2 * std::log(1 - aRandom.Unit())) *
                        std::cos(2 * kPi * aRandom.Unit());
  const double spread = aRange.mSpread;
  return std::min(aRange.mMax,
                  aRange.mMean *
                    std::exp(spread * normal - spread * spread / 2));
}

struct Draft
{
  double mTokens = 0;
  bool mIsServed = false;
  bool mMayReturn = true;
  PlacementRequest mRequest;
};

// How often a size class was served.
struct ServedShares
{
  double mAll = 0;
  double mLargestTenth = 0;
  double mFifthBelow = 0;
};

double
ServedShare(std::span<const Draft> aDrafts)
{
  const auto served = std::ranges::count(aDrafts, true, &Draft::mIsServed);
  return static_cast<double>(served) / static_cast<double>(aDrafts.size());
}

ServedShares
ServedBySize(std::vector<Draft> aDrafts)
{
  std::ranges::sort(aDrafts, std::ranges::greater(), &Draft::mTokens);
  const std::span all(aDrafts);
  const auto tenth = all.size() / 10;
  return { ServedShare(all),
           ServedShare(all.first(tenth)),
           ServedShare(all.subspan(tenth, 2 * tenth)) };
}

// One home with its group of servers, which read prompts one after the other,
// and callers that return once after a refusal.
class OverloadedHome
{
public:
  OverloadedHome(double aLoad, std::uint64_t aSeed)
    : mLoad(aLoad)
    , mRandom(aSeed)
  {
    std::vector<ServerRecord> servers(kServers);
    for (std::size_t n = 0; n < kServers; ++n) {
      servers[n].mId = ServerId("s" + std::to_string(n));
      servers[n].mService = kEngines;
      servers[n].mModels = { { kModel, 1 } };
      mFreeAt[servers[n].mId] = mNow;
    }
    mLedger.SetServers(servers, mNow);
    for (auto& it : mSessions) {
      it = DrawSize(mRandom, { 8610, 0.6, 23'000 });
    }
  }

  std::vector<Draft> Run();

private:
  enum class Step : unsigned char
  {
    Arrive,
    Begin,
    End
  };
  struct Event
  {
    Instant mAt;
    Step mStep = Step::Arrive;
    std::size_t mDraft = 0;
    std::uint64_t mTicket = 0;

    bool operator>(const Event& aOther) const { return mAt > aOther.mAt; }
  };

  void AddArrivals(double aPerSecond, bool aIsDraft);
  Draft MakeDraft();
  Draft MakeTag();
  void Arrive(std::size_t aDraft);

  const double mLoad;
  Random mRandom;
  const Instant mStart = Instant() + 1000s;
  Instant mNow = mStart;
  ServerLimits mLimits;
  PlacementLedger mLedger{ ZoneId("z"), HomeAdmissionSettings(), mLimits };
  std::map<ServerId, Instant> mFreeAt;
  std::array<double, 700> mSessions{};
  std::vector<Draft> mDrafts;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mLastTicket = 0;
};

Draft
OverloadedHome::MakeDraft()
{
  const auto session = mRandom.Next() % mSessions.size();
  const double own = DrawSize(mRandom, { 2870, 0.7, 11'500 });
  Draft draft;
  draft.mTokens = own + mSessions[session];
  auto& query = draft.mRequest.mQuery;
  query.mAffinity = session + 1;
  query.mWork = own;
  query.mSharedTokens = mSessions[session];
  query.mMissWork = mSessions[session] / 2;
  query.mMemory = draft.mTokens;
  query.mKind = 1;
  query.mRank = 2;
  query.mObjective = 400ms;
  return draft;
}

Draft
OverloadedHome::MakeTag()
{
  Draft tag;
  auto& query = tag.mRequest.mQuery;
  query.mWork = DrawSize(mRandom, { 2300, 0.5, 6'000 });
  query.mMemory = query.mWork;
  query.mKind = 2;
  query.mObjective = 300ms;
  return tag;
}

void
OverloadedHome::AddArrivals(double aPerSecond, bool aIsDraft)
{
  Instant at = mStart;
  while (true) {
    at += FromMillis(-1000 * std::log(1 - mRandom.Unit()) / aPerSecond);
    if (at > mStart + kTrafficTime) {
      return;
    }
    auto draft = aIsDraft ? MakeDraft() : MakeTag();
    draft.mRequest.mGroup = kGroup;
    draft.mRequest.mTimeLeft = 12s;
    draft.mRequest.mQuery.mService = kEngines;
    draft.mRequest.mQuery.mModel = kModel;
    draft.mRequest.mQuery.mServerMemory = kServerMemory;
    mEvents.push({ at, Step::Arrive, mDrafts.size(), 0 });
    mDrafts.push_back(std::move(draft));
  }
}

void
OverloadedHome::Arrive(std::size_t aDraft)
{
  auto& draft = mDrafts[aDraft];
  auto& request = draft.mRequest;
  request.mTicket = ++mLastTicket;
  const auto reply = mLedger.HandleRequest(kEntry, request, mNow);
  if (reply.mOutcome != PlacementOutcome::Granted) {
    if (std::exchange(draft.mMayReturn, false)) {
      mEvents.push({ mNow + std::clamp<Duration>(reply.mTime, 100ms, 2s),
                     Step::Arrive,
                     aDraft,
                     0 });
    }
    return;
  }
  draft.mIsServed = true;
  const auto& query = request.mQuery;
  const double tokens =
    query.mWork +
    (reply.mReason == ChoiceReason::Affinity ? 0 : query.mMissWork);
  auto& freeAt = mFreeAt.at(reply.mServer);
  freeAt = std::max(freeAt, mNow) + FromMillis(tokens / kTokensPerMs);
  mEvents.push({ freeAt, Step::Begin, aDraft, request.mTicket });
  mEvents.push({ freeAt + kAnswerTime, Step::End, aDraft, request.mTicket });
}

std::vector<Draft>
OverloadedHome::Run()
{
  AddArrivals(mLoad * kDraftsPerSecond, true);
  const auto drafts = mDrafts.size();
  AddArrivals(mLoad * kTagsPerSecond, false);
  std::vector<bool> isCounted(drafts);
  while (!mEvents.empty()) {
    const auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    switch (event.mStep) {
      case Step::Arrive:
        if (event.mDraft < drafts && mNow > mStart + kRampUp) {
          isCounted[event.mDraft] = true;
        }
        Arrive(event.mDraft);
        break;
      case Step::Begin:
        mLedger.Report(kEntry, { event.mTicket, std::nullopt }, mNow);
        break;
      case Step::End:
        mLedger.Report(kEntry, { event.mTicket, SendOutcome::Answered }, mNow);
        break;
    }
  }
  std::vector<Draft> counted;
  for (std::size_t n = 0; n < drafts; ++n) {
    if (isCounted[n]) {
      counted.push_back(mDrafts[n]);
    }
  }
  return counted;
}

struct LoadRow
{
  const char* mName;
  // Requests, as a multiple of what the servers can read.
  double mLoad;
};

constexpr LoadRow kLoads[] = { { "below capacity", 0.6 },
                               { "at capacity", 1.0 },
                               { "a fifth above capacity", 1.2 },
                               { "two fifths above capacity", 1.4 },
                               { "three fifths above capacity", 1.6 } };
constexpr std::uint64_t kSeeds = 5;

} // namespace

// Guards against refusing the large prompts of a kind under overload while its
// small ones are served.
TEST_CASE("under overload large prompts are served at least half as often as "
          "all of their kind")
{
  for (const auto& row : kLoads) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(std::string(row.mName));
      CAPTURE(seed);
      const auto shares = ServedBySize(OverloadedHome(row.mLoad, seed).Run());
      CAPTURE(shares.mAll);
      CAPTURE(shares.mLargestTenth);
      CAPTURE(shares.mFifthBelow);
      CHECK(shares.mLargestTenth >= shares.mAll / 2);
      CHECK(shares.mFifthBelow >= shares.mAll / 2);
    }
  }
}
