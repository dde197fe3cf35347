#include "cache_page_codec.h"

#include "cbor.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

const StoreId kStore("store");
const StoreId kOther("other");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

CacheStore
SomeStore(const StoreId& aName = kStore, std::uint16_t aPort = 80)
{
  CacheStore store;
  store.mName = aName;
  store.mEndpoint = { "10.0.0.9", aPort };
  store.mCapacityTokens = 1;
  store.mBytesPerSecond = 1;
  store.mIsManaged = true;
  return store;
}

// Returns added parts, of which the last one has the number aLast. The store
// continues behind it.
CacheEvents
Added(std::uint64_t aEpoch,
      std::uint64_t aLast,
      const std::vector<std::string>& aParts)
{
  CacheEvents events;
  events.mEpoch = aEpoch;
  events.mNext = aLast;
  auto number = aLast + 1 - aParts.size();
  for (const auto& it : aParts) {
    events.mEvents.push_back({ true, "w1", it, number++ });
  }
  return events;
}

CacheChangeLog
LogOfOne(std::uint64_t aId = 1)
{
  CacheChangeLog log(aId);
  log.SetStores({ { SomeStore() } });
  return log;
}

// Formats changes: "+part", "-part", or "x" for Cleared.
std::string
Text(const CachePage& aPage)
{
  std::string text;
  for (const auto& it : aPage.mChanges) {
    text += it.mKind == CacheChangeKind::Cleared ? "x "
            : it.mKind == CacheChangeKind::Added ? "+" + it.mPart + " "
                                                 : "-" + it.mPart + " ";
  }
  return text;
}

// A daemon that follows logs of other daemons.
struct Follower
{
  CacheChangeLog mLog = LogOfOne(99);
  CacheCursor mCursor;
  std::size_t mRead = 0;

  // Reads all that a log has, as a daemon that asks another relay than before.
  void Resume(const CacheChangeLog& aRelay, Instant aNow)
  {
    auto start = aRelay.ResumeAt(mLog.Positions());
    mCursor = start.mCursor;
    auto page = aRelay.PageAt(mCursor, aNow);
    page.mResets = start.mResets;
    Take(page, aNow);
    Follow(aRelay, aNow);
  }
  // Reads what is new in the log.
  void Follow(const CacheChangeLog& aRelay, Instant aNow)
  {
    bool hasMore = true;
    while (hasMore) {
      const auto page = aRelay.PageAt(mCursor, aNow);
      hasMore = page.mHasMore;
      Take(page, aNow);
    }
  }
  void Take(const CachePage& aPage, Instant aNow)
  {
    mCursor = aPage.mCursor;
    mRead += aPage.mChanges.size();
    mLog.OnPage(aPage, aNow, aNow);
  }
  // Returns the changes of this daemon's own log.
  [[nodiscard]] std::string Own(Instant aNow) const
  {
    return Text(mLog.PageAt({ 99, 1 }, aNow));
  }
};

} // namespace

TEST_CASE(
  "a page begins at its cursor, or at the first kept change if that is unknown")
{
  auto log = LogOfOne(5);
  log.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  log.OnEvents(kStore, Added(7, 3, { "b" }), At(0s));
  struct Row
  {
    CacheCursor mCursor;
    bool mIsReset;
    std::size_t mChanges;
  };
  // The first change says that nothing from before counts.
  for (const Row& row : { Row{ { 0, 0 }, true, 3 },
                          Row{ { 5, 1 }, false, 3 },
                          Row{ { 5, 2 }, false, 2 },
                          Row{ { 5, 3 }, false, 1 },
                          Row{ { 5, 4 }, false, 0 },
                          // Cursor of another process, and one past the end.
                          Row{ { 4, 2 }, true, 3 },
                          Row{ { 5, 9 }, true, 3 } }) {
    CAPTURE(row.mCursor.mLog);
    CAPTURE(row.mCursor.mNext);
    const auto page = log.PageAt(row.mCursor, At(100ms));
    CHECK(page.mResets.size() == (row.mIsReset ? 1 : 0));
    CHECK(page.mChanges.size() == row.mChanges);
    CHECK(page.mCursor.mLog == 5);
    CHECK(page.mCursor.mNext == 4);
    REQUIRE(page.mStoreAges.size() == 1);
    CHECK(page.mStoreAges.front().mAge == 100ms);
  }
}

TEST_CASE("a store is cleared when it has restarted or lost events")
{
  enum class Cause : unsigned char
  {
    NewEpoch,
    Lost
  };
  for (const auto cause : { Cause::NewEpoch, Cause::Lost }) {
    CAPTURE(static_cast<int>(cause));
    auto log = LogOfOne();
    log.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
    const auto cursor = log.PageAt({}, At(0s)).mCursor;
    auto events = Added(cause == Cause::NewEpoch ? 8 : 7, 9, { "b" });
    events.mLost = cause == Cause::Lost;
    log.OnEvents(kStore, events, At(1s));
    const auto page = log.PageAt(cursor, At(1s));
    REQUIRE_FALSE(page.mChanges.empty());
    CHECK(page.mChanges.front().mKind == CacheChangeKind::Cleared);
    // Events of a new life are read from its start.
    CHECK(page.mStoreAges.empty() == (cause == Cause::NewEpoch));
    CHECK(log.Next(kStore) == (cause == Cause::NewEpoch ? 0 : 9));
    CHECK(Text(page) == (cause == Cause::NewEpoch ? "x " : "x +b "));
  }
}

// Guards against relays that read all events of a store again after one call
// that came late, and make all their followers do the same.
TEST_CASE("a store that does not answer is not used, and continues afterwards")
{
  auto log = LogOfOne();
  log.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  const auto cursor = log.PageAt({}, At(0s)).mCursor;
  log.OnUnavailable(kStore);
  log.OnUnavailable(kStore);
  CHECK(log.PageAt(cursor, At(1s)).mStoreAges.empty());
  CHECK(log.PageAt(cursor, At(1s)).mChanges.empty());
  CHECK(log.Next(kStore) == 2);
  log.OnEvents(kStore, Added(7, 3, { "b" }), At(2s));
  CHECK(Text(log.PageAt(cursor, At(2s))) == "+b ");
  CHECK(log.PageAt(cursor, At(2s)).mStoreAges.size() == 1);
}

TEST_CASE("changes of a store that is no longer listed are not told")
{
  auto log = LogOfOne();
  log.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  log.SetStores({});
  const auto page = log.PageAt({ 1, 1 }, At(0s));
  CHECK(page.mChanges.empty());
  CHECK(page.mStoreAges.empty());
  // At another address it is another store.
  log.SetStores({ { SomeStore() } });
  log.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  log.SetStores({ { SomeStore(kStore, 81) } });
  CHECK(log.Next(kStore) == 0);
  CHECK(log.PageAt({ 1, 1 }, At(0s)).mChanges.empty());
}

TEST_CASE(
  "many changes are split into pages, and a cursor before the kept ones resets")
{
  auto log = LogOfOne();
  const auto add = [&](std::size_t aCount) {
    std::vector<std::string> parts;
    for (std::size_t n = 0; n < aCount; ++n) {
      parts.push_back(std::to_string(n));
    }
    log.OnEvents(kStore, Added(7, log.Next(kStore) + aCount, parts), At(0s));
  };
  // One of them says that nothing from before counts.
  add(CacheChangeLog::kMaxPageChanges + 9);
  const auto first = log.PageAt({}, At(0s));
  CHECK(first.mChanges.size() == CacheChangeLog::kMaxPageChanges);
  CHECK(first.mHasMore);
  const auto second = log.PageAt(first.mCursor, At(0s));
  CHECK(second.mChanges.size() == 10);
  CHECK_FALSE(second.mHasMore);
  CHECK(second.mResets.empty());
  add(CacheChangeLog::kMaxChanges);
  CHECK_FALSE(log.Knows(first.mCursor));
  CHECK(log.PageAt(first.mCursor, At(0s)).mResets.size() == 1);
}

// Guards against a change of relay that costs a whole change log, at the relay,
// on its link and at the daemon that changes.
TEST_CASE("a daemon that changes its relay reads only what it lacks")
{
  auto first = LogOfOne(1);
  auto second = LogOfOne(2);
  Follower follower;
  const auto both = [&](const CacheEvents& aEvents) {
    first.OnEvents(kStore, aEvents, At(0s));
    second.OnEvents(kStore, aEvents, At(0s));
  };
  both(Added(7, 3, { "a", "b", "c" }));
  follower.Resume(first, At(0s));
  CHECK(follower.Own(At(0s)) == "x +a +b +c ");
  both(Added(7, 5, { "d", "e" }));
  follower.mRead = 0;
  follower.Resume(second, At(0s));
  CHECK(follower.mRead == 2);
  CHECK(follower.Own(At(0s)) == "x +a +b +c +d +e ");
  // A relay that is behind tells again what the daemon has.
  second.OnEvents(kStore, Added(7, 6, { "f" }), At(0s));
  follower.Follow(second, At(0s));
  follower.Resume(first, At(0s));
  first.OnEvents(kStore, Added(7, 7, { "f", "g" }), At(0s));
  follower.Follow(first, At(0s));
  CHECK(follower.Own(At(0s)) == "x +a +b +c +d +e +f +g ");
  // A daemon that begins to follow the store itself continues, too.
  CHECK(follower.mLog.Next(kStore) == 7);
  follower.mLog.OnEvents(kStore, Added(7, 9, { "g", "h", "i" }), At(0s));
  CHECK(follower.Own(At(0s)) == "x +a +b +c +d +e +f +g +h +i ");
}

TEST_CASE("a daemon begins anew with a store if its relay has another life of "
          "it, or not all since")
{
  enum class Case : unsigned char
  {
    NewEpoch,
    Lost,
    Trimmed
  };
  for (const auto it : { Case::NewEpoch, Case::Lost, Case::Trimmed }) {
    CAPTURE(static_cast<int>(it));
    auto old = LogOfOne(1);
    old.OnEvents(kStore, Added(7, 2, { "a", "b" }), At(0s));
    Follower follower;
    follower.Resume(old, At(0s));
    auto relay = LogOfOne(2);
    auto events = Added(it == Case::NewEpoch ? 8 : 7, 9, { "y", "z" });
    events.mLost = it == Case::Lost;
    relay.OnEvents(kStore, events, At(0s));
    if (it == Case::Trimmed) {
      relay.SetKept(false);
      relay.Trim({ 2, 3 });
    }
    follower.Resume(relay, At(0s));
    const auto text = follower.Own(At(0s));
    // Nothing from before counts.
    const auto cleared = text.rfind("x ");
    REQUIRE(cleared != std::string::npos);
    CHECK(text.find("+a", cleared) == std::string::npos);
    CHECK(text.find("+z", cleared) != std::string::npos);
    CHECK(follower.mLog.Next(kStore) == 9);
  }
}

TEST_CASE("a change of another life clears its store")
{
  auto relay = LogOfOne(1);
  Follower follower;
  relay.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  follower.Resume(relay, At(0s));
  // The store has restarted, and the relay has read its events anew.
  relay.OnEvents(kStore, Added(8, 1, { "b" }), At(0s));
  relay.OnEvents(kStore, Added(8, 1, { "b" }), At(0s));
  follower.Follow(relay, At(0s));
  const auto text = follower.Own(At(0s));
  CHECK(text == "x +b ");
  CHECK(follower.mLog.Positions().front().mEpoch == 8);
}

// Guards against stores that are read from the start again and again: a number
// that the store did not name itself is past its end.
TEST_CASE("a store is read on from where it said")
{
  struct Row
  {
    const char* mName;
    // Number of the last event, and where the store said to continue.
    std::uint64_t mLast;
    std::uint64_t mNext;
  };
  for (const Row& row : { Row{ "behind the last event", 5, 5 },
                          Row{ "at the one to come", 5, 6 },
                          // The last events were lost.
                          Row{ "further on", 5, 9 } }) {
    CAPTURE(std::string(row.mName));
    auto log = LogOfOne();
    auto events = Added(7, row.mLast, { "a", "b" });
    events.mNext = row.mNext;
    log.OnEvents(kStore, events, At(0s));
    CHECK(log.Next(kStore) == row.mNext);
    events.mEvents.clear();
    log.OnEvents(kStore, events, At(1s));
    CHECK(log.Next(kStore) == row.mNext);
    CHECK(Text(log.PageAt({ 1, 1 }, At(1s))) == "x +a +b ");
  }
}

TEST_CASE("the ages of stores are those of the last page")
{
  auto relay = LogOfOne(1);
  relay.SetStores({ { SomeStore(), SomeStore(kOther) } });
  relay.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  relay.OnEvents(kOther, Added(5, 2, { "a" }), At(0s));
  Follower follower;
  follower.mLog.SetStores({ { SomeStore(), SomeStore(kOther) } });
  follower.Resume(relay, At(400ms));
  auto page = follower.mLog.PageAt({}, At(500ms));
  REQUIRE(page.mStoreAges.size() == 2);
  CHECK(page.mStoreAges.front().mAge == 500ms);
  relay.OnUnavailable(kOther);
  follower.Follow(relay, At(600ms));
  page = follower.mLog.PageAt({}, At(600ms));
  REQUIRE(page.mStoreAges.size() == 1);
  CHECK(page.mStoreAges.front().mStore == kStore);
}

// The page of a relay may come before the configuration that lists the store.
TEST_CASE("changes of a store that is not listed yet are kept")
{
  auto relay = LogOfOne(1);
  relay.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  Follower follower;
  follower.mLog.SetStores({});
  follower.Resume(relay, At(0s));
  follower.mLog.SetStores({ { SomeStore() } });
  CHECK(follower.Own(At(0s)) == "x +a ");
  CHECK(follower.mLog.Next(kStore) == 2);
}

TEST_CASE("a log that is not kept drops what its own reader has")
{
  auto log = LogOfOne();
  log.SetKept(false);
  log.OnEvents(kStore, Added(7, 3, { "a", "b" }), At(0s));
  const auto cursor = log.PageAt({}, At(0s)).mCursor;
  log.Trim(cursor);
  CHECK_FALSE(log.Knows({ 1, 1 }));
  CHECK(log.Knows(cursor));
  log.OnEvents(kStore, Added(7, 4, { "c" }), At(0s));
  CHECK(Text(log.PageAt(cursor, At(0s))) == "+c ");
  // A reader that lacks what was dropped begins anew.
  const std::vector<CachePosition> behind{ { kStore, 7, 3 } };
  CHECK(log.ResumeAt(behind).mResets.size() == 1);
  const std::vector<CachePosition> current{ { kStore, 7, 4 } };
  CHECK(log.ResumeAt(current).mResets.empty());
}

TEST_CASE("cache pages and queries keep their content")
{
  auto log = LogOfOne();
  auto events = Added(7, 2, { "a" });
  events.mClockMs = 90000;
  log.OnEvents(kStore, events, At(0s));
  log.OnEvents(kStore, Added(8, 2, { "b" }), At(1s));
  log.OnEvents(kStore, Added(8, 2, { "b" }), At(1s));
  auto page = log.PageAt({}, At(2s));
  page.mHasMore = true;
  const auto read = DecodeCachePage(EncodeCachePage(page));
  REQUIRE(read.has_value());
  const auto& value = read.value();
  CHECK(value.mHasMore);
  CHECK(value.mServersClockMs == 92000);
  CHECK(value.mCursor == page.mCursor);
  REQUIRE(value.mResets.size() == 1);
  CHECK(value.mResets.front().mStore == kStore);
  CHECK(value.mResets.front().mEpoch == 8);
  REQUIRE(value.mChanges.size() == 2);
  CHECK(value.mChanges[0].mKind == CacheChangeKind::Cleared);
  CHECK(value.mChanges[1].mPart == "b");
  CHECK(value.mChanges[1].mSalt == "w1");
  CHECK(value.mChanges[1].mStore == kStore);
  CHECK(value.mChanges[1].mEpoch == 8);
  CHECK(value.mChanges[1].mNumber == 2);
  CHECK(value.mStoreAges.front().mAge == 1s);

  const CacheQuery query{ { 3, 4 }, { { kStore, 5, 6 } } };
  const auto asked = DecodeCacheQuery(EncodeCacheQuery(query));
  REQUIRE(asked.has_value());
  CHECK(asked.value().mCursor == query.mCursor);
  REQUIRE(asked.value().mPositions.size() == 1);
  CHECK(asked.value().mPositions.front().mStore == kStore);
  CHECK(asked.value().mPositions.front().mEpoch == 5);
  CHECK(asked.value().mPositions.front().mNext == 6);

  const auto reply =
    DecodeCacheReply(EncodeCacheReply(150ms, query.mPositions, "page"));
  REQUIRE(reply.has_value());
  CHECK(reply.value().mSince == 150ms);
  CHECK(reply.value().mPage == "page");
  CHECK(reply.value().mResets.size() == 1);
}

// Guards against a page that no daemon can read, since a store in it was not
// heard of for hours, as after the relay was suspended.
TEST_CASE("a store that was not heard of for long is left out of a page")
{
  auto log = LogOfOne();
  log.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  const auto read = DecodeCachePage(EncodeCachePage(log.PageAt({}, At(7200s))));
  REQUIRE(read.has_value());
  CHECK(read.value().mChanges.size() == 2);
  CHECK(read.value().mStoreAges.empty());
}

TEST_CASE("malformed cache pages are rejected")
{
  auto log = LogOfOne();
  log.OnEvents(kStore, Added(7, 2, { "a" }), At(0s));
  const auto good = ReadCbor(EncodeCachePage(log.PageAt({}, At(0s))));
  REQUIRE(good.has_value());
  REQUIRE(DecodeCachePage(WriteCbor(good.value())).has_value());
  struct Row
  {
    const char* mField;
    const char* mValue;
  };
  for (const Row& row : { Row{ "resets", "1" },
                          Row{ "resets", R"(["store",1])" },
                          Row{ "resets", R"(["store",1,-1])" },
                          Row{ "more", "null" },
                          Row{ "cursor", "{}" },
                          Row{ "stores", "[1]" },
                          Row{ "stores", "[]" },
                          Row{ "lives", "[0]" },
                          Row{ "lives", "[9,7]" },
                          Row{ "salts", "[]" },
                          Row{ "salts", "[1]" },
                          Row{ "changes", R"([0,0,0,"a"])" },
                          Row{ "changes", R"([9,0,0,"a",1])" },
                          Row{ "changes", R"([0,3,0,"a",1])" },
                          Row{ "changes", R"([0,0,9,"a",1])" },
                          Row{ "changes", R"([0,0,0,1,1])" },
                          Row{ "changes", R"([0,0,0,"a",-1])" },
                          Row{ "changes", R"({"a":1})" },
                          Row{ "ages", R"([0])" },
                          Row{ "ages", R"([9,1])" },
                          Row{ "ages", R"([0,-1])" },
                          Row{ "ages", R"([0,1e300])" },
                          Row{ "clock_ms", "-1" } }) {
    CAPTURE(row.mField);
    CAPTURE(row.mValue);
    auto json = good.value();
    json[row.mField] = Json::parse(row.mValue);
    CHECK_FALSE(DecodeCachePage(WriteCbor(json)).has_value());
  }
  for (const char* text : { "{}",
                            R"({"since_ms":-1,"resets":[],"page":""})",
                            R"({"since_ms":1,"resets":[],"page":""})" }) {
    CAPTURE(text);
    CHECK_FALSE(DecodeCacheReply(WriteCbor(Json::parse(text))).has_value());
    CHECK_FALSE(DecodeCacheQuery(WriteCbor(Json::parse(text))).has_value());
  }
  CHECK_FALSE(DecodeCachePage("noise").has_value());
}
