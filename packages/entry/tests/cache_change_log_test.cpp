#include "cache_page_codec.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const StoreId kStore("store");
const Endpoint kEndpoint{ "10.0.0.9", 80 };

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

CacheStore
SomeStore(const StoreId& aName = kStore)
{
  CacheStore store;
  store.mName = aName;
  store.mEndpoint = kEndpoint;
  store.mCapacityTokens = 1;
  store.mBytesPerSecond = 1;
  store.mIsManaged = true;
  return store;
}

CacheEvents
Added(std::uint64_t aEpoch, std::uint64_t aNext, const std::string& aPart)
{
  CacheEvents events;
  events.mEpoch = aEpoch;
  events.mNext = aNext;
  events.mEvents = { { true, "w1", aPart } };
  return events;
}

CacheChangeLog
LogOfOne(std::uint64_t aId = 1)
{
  CacheChangeLog log(aId);
  log.SetStores({ { SomeStore() } });
  return log;
}

} // namespace

TEST_CASE(
  "a page begins at its cursor, or at the first kept change if that is unknown")
{
  auto log = LogOfOne(5);
  log.OnEvents(kStore, Added(7, 2, "a"), At(0s));
  log.OnEvents(kStore, Added(7, 3, "b"), At(0s));
  struct Row
  {
    CacheCursor mCursor;
    bool mIsReset;
    std::size_t mChanges;
  };
  for (const Row& row : { Row{ { 0, 0 }, true, 2 },
                          Row{ { 5, 1 }, false, 2 },
                          Row{ { 5, 2 }, false, 1 },
                          Row{ { 5, 3 }, false, 0 },
                          // Cursor of another process, and one past the end.
                          Row{ { 4, 2 }, true, 2 },
                          Row{ { 5, 9 }, true, 2 } }) {
    CAPTURE(row.mCursor.mLog);
    CAPTURE(row.mCursor.mNext);
    const auto page = log.PageAt(row.mCursor, At(100ms));
    CHECK(page.mIsReset == row.mIsReset);
    CHECK(page.mChanges.size() == row.mChanges);
    CHECK(page.mCursor.mLog == 5);
    CHECK(page.mCursor.mNext == 3);
    REQUIRE(page.mStoreAges.size() == 1);
    CHECK(page.mStoreAges.front().mAge == 100ms);
  }
}

TEST_CASE("a store is cleared when it is unavailable, restarted, unlisted or "
          "lost events")
{
  enum class Cause : unsigned char
  {
    Unavailable,
    NewEpoch,
    Lost,
    NotListed
  };
  for (const auto cause :
       { Cause::Unavailable, Cause::NewEpoch, Cause::Lost, Cause::NotListed }) {
    CAPTURE(static_cast<int>(cause));
    auto log = LogOfOne();
    log.OnEvents(kStore, Added(7, 2, "a"), At(0s));
    const auto cursor = log.PageAt({}, At(0s)).mCursor;
    auto events = Added(cause == Cause::NewEpoch ? 8 : 7, 3, "b");
    events.mLost = cause == Cause::Lost;
    if (cause == Cause::Unavailable) {
      log.OnUnavailable(kStore);
    } else if (cause == Cause::NotListed) {
      log.SetStores({});
    } else {
      log.OnEvents(kStore, events, At(1s));
    }
    const auto page = log.PageAt(cursor, At(1s));
    REQUIRE_FALSE(page.mChanges.empty());
    CHECK(page.mChanges.front().mKind == CacheChangeKind::Cleared);
    CHECK(page.mStoreAges.empty() == (cause != Cause::Lost));
    // Repeated calls add no further change.
    log.OnUnavailable(kStore);
    log.OnUnavailable(kStore);
    CHECK(log.PageAt(cursor, At(1s)).mChanges.size() <= 3);
  }
}

TEST_CASE(
  "many changes are split into pages, and a cursor before the kept ones resets")
{
  auto log = LogOfOne();
  const auto add = [&](std::size_t aCount) {
    CacheEvents events;
    events.mEpoch = 7;
    events.mNext = log.Next(kStore) + aCount;
    for (std::size_t n = 0; n < aCount; ++n) {
      events.mEvents.push_back({ true, "w1", std::to_string(n) });
    }
    log.OnEvents(kStore, events, At(0s));
  };
  add(CacheChangeLog::kMaxPageChanges + 10);
  const auto first = log.PageAt({}, At(0s));
  CHECK(first.mChanges.size() == CacheChangeLog::kMaxPageChanges);
  CHECK(first.mHasMore);
  const auto second = log.PageAt(first.mCursor, At(0s));
  CHECK(second.mChanges.size() == 10);
  CHECK_FALSE(second.mHasMore);
  CHECK_FALSE(second.mIsReset);
  add(CacheChangeLog::kMaxChanges);
  CHECK(log.PageAt(first.mCursor, At(0s)).mIsReset);
}

TEST_CASE("cache pages keep their content through JSON")
{
  auto log = LogOfOne();
  auto events = Added(7, 2, "a");
  events.mClockMs = 90000;
  log.OnEvents(kStore, events, At(0s));
  log.OnUnavailable(kStore);
  log.OnEvents(kStore, Added(7, 2, "b"), At(1s));
  const auto page = log.PageAt({}, At(2s));
  const auto read = ReadCachePage(ToJson(page));
  REQUIRE(read.has_value());
  CHECK(read.value().mIsReset);
  CHECK(read.value().mServersClockMs == 92000);
  CHECK(read.value().mCursor.mNext == page.mCursor.mNext);
  REQUIRE(read.value().mChanges.size() == 3);
  CHECK(read.value().mChanges[1].mKind == CacheChangeKind::Cleared);
  CHECK(read.value().mChanges[2].mPart == "b");
  CHECK(read.value().mChanges[2].mSalt == "w1");
  CHECK(read.value().mChanges[2].mStore == kStore);
  CHECK(read.value().mStoreAges.front().mAge == 1s);
}

TEST_CASE("malformed cache pages are rejected")
{
  const auto good = ToJson(LogOfOne().PageAt({}, At(0s)));
  REQUIRE(ReadCachePage(good).has_value());
  struct Row
  {
    const char* mField;
    const char* mValue;
  };
  for (const Row& row : { Row{ "reset", "1" },
                          Row{ "more", "null" },
                          Row{ "cursor", "{}" },
                          Row{ "stores", "[1]" },
                          Row{ "news", R"([[0,"added","w1","a"]])" },
                          Row{ "news", R"([["added"]])" },
                          Row{ "news", R"({"a":1})" },
                          Row{ "heard", R"([{"store":"s"}])" },
                          Row{ "clock_ms", "-1" } }) {
    CAPTURE(row.mField);
    CAPTURE(row.mValue);
    auto json = good;
    json[row.mField] = Json::parse(row.mValue);
    CHECK_FALSE(ReadCachePage(json).has_value());
  }
}
