#include <bilberrytrail/entry/placement_ledger.h>

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numbers>
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
constexpr double kTokensPerMs = 150;
// Requests with which the servers are just busy.
constexpr double kDraftsPerSecond = 150;
constexpr double kTagsPerSecond = 275;
constexpr Duration kAnswerTime = 500ms;
constexpr Duration kTrafficTime = 12s;
// Requests that arrive earlier meet idle servers and are not counted.
constexpr Duration kRampUp = 2s;

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
                        std::cos(2 * std::numbers::pi * aRandom.Unit());
  const double spread = aRange.mSpread;
  return std::min(aRange.mMax,
                  aRange.mMean *
                    std::exp(spread * normal - spread * spread / 2));
}

struct SizedPrompt
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
ServedShare(std::span<const SizedPrompt> aPrompts)
{
  const auto served =
    std::ranges::count(aPrompts, true, &SizedPrompt::mIsServed);
  return static_cast<double>(served) / static_cast<double>(aPrompts.size());
}

ServedShares
ServedBySize(std::vector<SizedPrompt> aPrompts)
{
  std::ranges::sort(aPrompts, std::ranges::greater(), &SizedPrompt::mTokens);
  const std::span all(aPrompts);
  const auto tenth = all.size() / 10;
  return { ServedShare(all),
           ServedShare(all.first(tenth)),
           ServedShare(all.subspan(tenth, 2 * tenth)) };
}

// Requests of both kinds as a multiple of what the servers can read, and the
// memory of a server in tokens.
struct LoadRow
{
  const char* mName;
  double mDrafts = 1;
  double mTags = 1;
  double mServerMemory = 190'000;
};

// One home with its group of servers, which read prompts one after the other,
// and callers that return once after a refusal.
class OverloadedHome
{
public:
  OverloadedHome(const LoadRow& aLoad, std::uint64_t aSeed)
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

  // Returns the drafts and the tags.
  std::array<std::vector<SizedPrompt>, 2> Run();

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
    std::size_t mPrompt = 0;
    std::uint64_t mTicket = 0;

    bool operator>(const Event& aOther) const { return mAt > aOther.mAt; }
  };

  void AddArrivals(double aPerSecond, bool aIsDraft);
  SizedPrompt MakeDraft();
  SizedPrompt MakeTag();
  void Arrive(std::size_t aPrompt);

  const LoadRow mLoad;
  Random mRandom;
  const Instant mStart = Instant() + 1000s;
  Instant mNow = mStart;
  ServerLimits mLimits;
  PlacementLedger mLedger{ ZoneId("z"), HomeAdmissionSettings(), mLimits };
  std::map<ServerId, Instant> mFreeAt;
  std::array<double, 700> mSessions{};
  std::vector<SizedPrompt> mPrompts;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::uint64_t mLastTicket = 0;
};

SizedPrompt
OverloadedHome::MakeDraft()
{
  const auto session = mRandom.Next() % mSessions.size();
  const double own = DrawSize(mRandom, { 2870, 0.7, 11'500 });
  SizedPrompt draft;
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

SizedPrompt
OverloadedHome::MakeTag()
{
  SizedPrompt tag;
  auto& query = tag.mRequest.mQuery;
  query.mWork = DrawSize(mRandom, { 2300, 0.5, 6'000 });
  query.mMemory = query.mWork;
  tag.mTokens = query.mWork;
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
    draft.mRequest.mQuery.mServerMemory = mLoad.mServerMemory;
    mEvents.push({ at, Step::Arrive, mPrompts.size(), 0 });
    mPrompts.push_back(std::move(draft));
  }
}

void
OverloadedHome::Arrive(std::size_t aPrompt)
{
  auto& draft = mPrompts[aPrompt];
  auto& request = draft.mRequest;
  request.mTicket = ++mLastTicket;
  const auto reply = mLedger.HandleRequest(kEntry, request, mNow);
  if (reply.mOutcome != PlacementOutcome::Granted) {
    if (std::exchange(draft.mMayReturn, false)) {
      mEvents.push({ mNow + std::clamp<Duration>(reply.mTime, 100ms, 2s),
                     Step::Arrive,
                     aPrompt,
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
  mEvents.push({ freeAt, Step::Begin, aPrompt, request.mTicket });
  mEvents.push({ freeAt + kAnswerTime, Step::End, aPrompt, request.mTicket });
}

std::array<std::vector<SizedPrompt>, 2>
OverloadedHome::Run()
{
  AddArrivals(mLoad.mDrafts * kDraftsPerSecond, true);
  const auto drafts = mPrompts.size();
  AddArrivals(mLoad.mTags * kTagsPerSecond, false);
  std::vector<bool> isCounted(mPrompts.size());
  while (!mEvents.empty()) {
    const auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    switch (event.mStep) {
      case Step::Arrive:
        isCounted[event.mPrompt] = mNow > mStart + kRampUp;
        Arrive(event.mPrompt);
        break;
      case Step::Begin:
        mLedger.Report(kEntry, { event.mTicket, std::nullopt }, mNow);
        break;
      case Step::End:
        mLedger.Report(kEntry, { event.mTicket, SendOutcome::Answered }, mNow);
        break;
    }
  }
  std::array<std::vector<SizedPrompt>, 2> counted;
  for (std::size_t n = 0; n < mPrompts.size(); ++n) {
    if (isCounted[n]) {
      counted.at(n < drafts ? 0 : 1).push_back(mPrompts[n]);
    }
  }
  return counted;
}

constexpr LoadRow kLoads[] = { { "below capacity", 0.6, 0.6 },
                               { "at capacity", 1.0, 1.0 },
                               { "a fifth above capacity", 1.2, 1.2 },
                               { "two fifths above capacity", 1.4, 1.4 },
                               { "three fifths above capacity", 1.6, 1.6 },
                               { "tags alone overload", 0.1, 4 },
                               { "drafts alone overload", 3, 0.1 },
                               { "little memory", 0.6, 0.6, 60'000 } };
constexpr std::uint64_t kSeeds = 5;
// Fewest prompts of a kind whose size classes say anything.
constexpr std::size_t kMinPrompts = 500;

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
      for (const auto& prompts : OverloadedHome(row, seed).Run()) {
        if (prompts.size() < kMinPrompts) {
          continue;
        }
        const auto shares = ServedBySize(prompts);
        CAPTURE(shares.mAll);
        CAPTURE(shares.mLargestTenth);
        CAPTURE(shares.mFifthBelow);
        CHECK(shares.mLargestTenth >= shares.mAll / 2);
        CHECK(shares.mFifthBelow >= shares.mAll / 2);
      }
    }
  }
}
