#include <bilberrytrail/entry/cache_directory.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr std::uint64_t kTokenBytes = 1000;
const StoreId kStore("store");
const Endpoint kEndpoint{ "10.0.0.9", 80 };

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

// A directory that applies the daemon's own log of one store.
struct FollowedStore
{
  CacheChangeLog mLog{ 1 };
  CacheDirectory mDirectory;
  CacheCursor mCursor;

  void Update(Instant aNow)
  {
    const auto page = mLog.PageAt(mCursor, aNow);
    mCursor = page.mCursor;
    mDirectory.Apply(page, aNow);
  }
  void OnEvents(const StoreId& aStore, const CacheEvents& aEvents, Instant aNow)
  {
    mLog.OnEvents(aStore, aEvents, aNow);
    Update(aNow);
  }
  void OnUnavailable(const StoreId& aStore, Instant aNow)
  {
    mLog.OnUnavailable(aStore);
    Update(aNow);
  }
};

FollowedStore
OneStore(bool aIsManaged = true)
{
  CacheStore store;
  store.mName = kStore;
  store.mEndpoint = kEndpoint;
  store.mCapacityTokens = 100000;
  store.mBytesPerSecond = 1e9;
  store.mIsManaged = aIsManaged;
  FollowedStore followed;
  followed.mLog.SetStores({ { store } });
  followed.mDirectory.SetStores({ { store } });
  return followed;
}

Prompt
SomePrompt()
{
  Prompt prompt;
  prompt.mParts = { { "a", 500 }, { "b", 8000 }, { "own", 2000 } };
  return prompt;
}

CacheEvents
Events(std::uint64_t aEpoch,
       std::uint64_t aNext,
       std::vector<CacheEvent> aEvents)
{
  CacheEvents events;
  events.mEpoch = aEpoch;
  events.mNext = aNext;
  events.mEvents = std::move(aEvents);
  auto number = aNext + 1 - events.mEvents.size();
  for (auto& it : events.mEvents) {
    it.mNumber = number++;
  }
  return events;
}

// Formats a plan: "from" for a part to read, "to" for one to upload, else "-".
std::string
PlanText(FollowedStore& aFollowed,
         const std::string& aSalt,
         Duration aTime,
         const Prompt& aPrompt = SomePrompt())
{
  std::string text;
  for (const auto& it :
       aFollowed.mDirectory.Plan(aPrompt, aSalt, kTokenBytes, At(aTime))) {
    text += it.mFrom ? "from " : it.mTo ? "to " : "- ";
  }
  return text;
}

} // namespace

TEST_CASE("only complete parts with the same salt are read")
{
  auto directory = OneStore();
  CHECK(PlanText(directory, "w1", 0s).empty());
  directory.OnEvents(kStore, Events(7, 1, {}), At(0s));
  CHECK(PlanText(directory, "w1", 0s) == "to to - ");
  // Pending: neither read nor uploaded again.
  CHECK(PlanText(directory, "w1", 1s).empty());
  directory.OnEvents(kStore, Events(7, 3, { { true, "w1", "a" } }), At(1s));
  CHECK(PlanText(directory, "w1", 1s) == "from - - ");
  directory.OnEvents(kStore, Events(7, 4, { { true, "w1", "b" } }), At(1s));
  CHECK(PlanText(directory, "w1", 1s) == "from from - ");
  CHECK(PlanText(directory, "w2", 1s) == "to to - ");
  directory.OnEvents(kStore, Events(7, 5, { { false, "w1", "b" } }), At(2s));
  CHECK(PlanText(directory, "w1", 2s) == "from to - ");
}

TEST_CASE("nothing is read from a store that may have restarted")
{
  struct Case
  {
    const char* mName;
    bool mIsSilent;
    bool mIsNewEpoch;
    bool mIsLost;
    Duration mAt;
  };
  for (const Case& it : { Case{ "no answer", true, false, false, 100ms },
                          Case{ "another epoch", false, true, false, 100ms },
                          Case{ "lost events", false, false, true, 100ms },
                          Case{ "no answer within kFreshTime",
                                false,
                                false,
                                false,
                                CacheDirectory::kFreshTime + 1ms } }) {
    CAPTURE(it.mName);
    auto directory = OneStore();
    directory.OnEvents(
      kStore,
      Events(7, 3, { { true, "w1", "a" }, { true, "w1", "b" } }),
      At(0s));
    CHECK(PlanText(directory, "w1", 0s) == "from from - ");
    if (it.mIsSilent) {
      directory.OnUnavailable(kStore, At(50ms));
    }
    if (it.mIsNewEpoch || it.mIsLost) {
      auto events = Events(it.mIsNewEpoch ? 8 : 7, 4, {});
      events.mLost = it.mIsLost;
      directory.OnEvents(kStore, events, At(50ms));
    }
    CHECK(PlanText(directory, "w1", it.mAt).find("from") == std::string::npos);
    if (it.mIsNewEpoch) {
      CHECK(directory.mLog.Next(kStore) == 0);
    }
  }
}

TEST_CASE("short prompts, prompts without shared parts and unmanaged stores "
          "get no plan")
{
  auto directory = OneStore();
  directory.OnEvents(kStore, Events(7, 1, {}), At(0s));
  Prompt shortOne;
  shortOne.mParts = { { "a", CacheDirectory::kMinTokens - 1 }, { "own", 9 } };
  CHECK(PlanText(directory, "w1", 0s, shortOne).empty());
  Prompt single;
  single.mParts = { { "own", 9000 } };
  CHECK(PlanText(directory, "w1", 0s, single).empty());
  auto unmanaged = OneStore(false);
  unmanaged.OnEvents(kStore, Events(7, 1, {}), At(0s));
  CHECK(PlanText(unmanaged, "w1", 0s).empty());
}

// New weights cause many uploads at once, which would delay reads on the same
// link.
TEST_CASE("uploads to a store take at most the daemon's share of its link")
{
  auto directory = OneStore();
  directory.mDirectory.SetDaemons(4);
  directory.OnEvents(kStore, Events(7, 1, {}), At(0s));
  double bytes = 0;
  constexpr int kSeconds = 10;
  for (int n = 0; n < kSeconds * 100; ++n) {
    const auto now = 10ms * n;
    directory.OnEvents(kStore, Events(7, 1, {}), At(now));
    Prompt prompt;
    prompt.mParts = { { "p" + std::to_string(n), 8000 }, { "own", 10 } };
    for (const auto& it :
         directory.mDirectory.Plan(prompt, "w1", kTokenBytes, At(now))) {
      bytes += it.mTo ? 8000.0 * kTokenBytes : 0.0;
    }
  }
  const double share = CacheDirectory::kUploadLinkShare * 1e9 / 4;
  CHECK(bytes <=
        share * (kSeconds + ToMillis(CacheDirectory::kUploadBurst) / 1e3));
  CHECK(bytes >= 0.9 * share * kSeconds);
}

TEST_CASE("the servers' clock is derived from the events of the stores")
{
  auto directory = OneStore();
  CHECK_FALSE(directory.mDirectory.ServersClockMs(At(0s)));
  auto events = Events(7, 1, {});
  events.mClockMs = 50000;
  directory.OnEvents(kStore, events, At(0s));
  CHECK(directory.mDirectory.ServersClockMs(At(250ms)) == 50250);
}

// A full store drops uploads, and no event reports them.
TEST_CASE("uploads that never appear in the store do not accumulate")
{
  auto directory = OneStore();
  for (int n = 0; n < 20'000; ++n) {
    const auto now = 10ms * n;
    directory.OnEvents(kStore, Events(7, 1, {}), At(now));
    Prompt prompt;
    prompt.mParts = { { "p" + std::to_string(n), 500 }, { "own", 10 } };
    (void)directory.mDirectory.Plan(prompt, "w1", kTokenBytes, At(now));
  }
  CHECK(directory.mDirectory.PendingParts() <=
        CacheDirectory::kMaxPendingParts);
}
