#include "estimate_cache.h"

#include <doctest/doctest.h>

#include <set>

using namespace bilberrytrail;

namespace {

const EstimateKey kKey{ ProductId("brotlag"), "model/guide", VersionId("v1") };
const Instant kStart = Instant() + 3600s;

ServerEstimate
Idle(const std::string& aServer)
{
  ServerEstimate estimate;
  estimate.mServer = ServerId(aServer);
  estimate.mReady = true;
  estimate.mHasRoom = true;
  estimate.mPrefillTokensPerSecond = 8000;
  return estimate;
}

// A cache with its generator.
struct Cache
{
  void Note(const ServerEstimate& aEstimate, Instant aNow = kStart)
  {
    mCache.Note(kKey, aEstimate, aNow);
  }
  std::optional<ServerId> Choose(Instant aNow = kStart)
  {
    return mCache.Choose(
      kKey,
      [this](const ServerId& aId) { return !mGone.contains(aId); },
      aNow,
      mRandom);
  }

  EstimateCache mCache;
  Random mRandom{ 7 };
  std::set<ServerId> mGone;
};

} // namespace

TEST_CASE("a server that had room a moment ago is used without asking")
{
  Cache cache;
  CHECK_FALSE(cache.Choose());
  cache.Note(Idle("e1"));
  CHECK(cache.Choose() == ServerId("e1"));
}

TEST_CASE("homes are asked unless the last word of a server was good")
{
  struct Row
  {
    const char* mName;
    std::function<void(ServerEstimate&)> mChange;
  };
  const Row rows[] = {
    { "not ready", [](auto& aOne) { aOne.mReady = false; } },
    { "waiting", [](auto& aOne) { aOne.mQueueWait = 1us; } },
    { "slow", [](auto& aOne) { aOne.mWeight = 0.9; } },
    { "half full", [](auto& aOne) { aOne.mHasRoom = false; } },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    Cache cache;
    cache.Note(Idle("e1"));
    auto estimate = Idle("e1");
    row.mChange(estimate);
    cache.Note(estimate);
    CHECK_FALSE(cache.Choose());
  }
}

TEST_CASE("a word is used for half a second")
{
  Cache cache;
  cache.Note(Idle("e1"));
  CHECK(cache.Choose(kStart + 500ms));
  CHECK_FALSE(cache.Choose(kStart + 501ms));
}

TEST_CASE("few requests are sent on the strength of one word")
{
  Cache cache;
  cache.Note(Idle("e1"));
  int sent = 0;
  while (cache.Choose()) {
    ++sent;
  }
  CHECK(sent == 4);
  cache.Note(Idle("e1"));
  CHECK(cache.Choose());
}

TEST_CASE("requests are spread over the servers known to have room")
{
  Cache cache;
  constexpr int kServers = 8;
  for (int n = 0; n < kServers; ++n) {
    cache.Note(Idle("e" + std::to_string(n)));
  }
  std::map<ServerId, int> sent;
  constexpr int kRequests = 16;
  for (int n = 0; n < kRequests; ++n) {
    const auto server = cache.Choose();
    REQUIRE(server);
    ++sent[*server];
  }
  CHECK(sent.size() >= kServers - 1);
}

TEST_CASE("servers that are gone are not used")
{
  Cache cache;
  cache.Note(Idle("e1"));
  SUBCASE("not usable any more")
  {
    cache.mGone.insert(ServerId("e1"));
  }
  SUBCASE("their home was lost")
  {
    cache.mCache.Forget(
      [](const ServerId& aId) { return aId == ServerId("e1"); });
  }
  CHECK_FALSE(cache.Choose());
}

TEST_CASE("after a request that was sent back others are asked first")
{
  Cache cache;
  cache.mCache.NoteSentBack();
  constexpr int kAskedFirst = 4;
  for (int n = 0; n < kAskedFirst; ++n) {
    cache.Note(Idle("e1"));
    CHECK_FALSE(cache.Choose());
  }
  CHECK(cache.Choose());
}

TEST_CASE("at most one in five requests is sent back for nothing")
{
  Cache cache;
  int back = 0;
  constexpr int kRequests = 1000;
  for (int n = 0; n < kRequests; ++n) {
    cache.Note(Idle("e1"));
    if (cache.Choose()) {
      ++back;
      cache.mCache.NoteSentBack();
    }
  }
  CHECK(back <= kRequests / 5);
  CHECK(back > 0);
}

TEST_CASE("some choices are made by asking, so that other servers are seen")
{
  Cache cache;
  int asked = 0;
  constexpr int kRequests = 1024;
  for (int n = 0; n < kRequests; ++n) {
    cache.Note(Idle("e1"));
    asked += cache.Choose() ? 0 : 1;
  }
  CHECK(asked == kRequests / 128);
}

TEST_CASE("kinds of requests are kept apart")
{
  Cache cache;
  cache.Note(Idle("e1"));
  const auto other = [&](auto aChange) {
    EstimateKey key = kKey;
    aChange(key);
    const auto all = [](const ServerId&) { return true; };
    return cache.mCache.Choose(key, all, kStart, cache.mRandom);
  };
  CHECK_FALSE(other([](auto& aKey) { aKey.mProduct = ProductId("x"); }));
  CHECK_FALSE(other([](auto& aKey) { aKey.mTarget = "model/x"; }));
  CHECK_FALSE(other([](auto& aKey) { aKey.mVersion = VersionId("v2"); }));
  CHECK_FALSE(other([](auto& aKey) { aKey.mClass = WorkClass::Draft; }));
  CHECK(other([](auto&) {}));
}
