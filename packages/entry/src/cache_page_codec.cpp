#include "cache_page_codec.h"

#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

// Places in the list that one piece of news is.
constexpr std::size_t kStore = 0;
constexpr std::size_t kKind = 1;
constexpr std::size_t kSalt = 2;
constexpr std::size_t kPart = 3;
constexpr std::size_t kLength = 4;

// Numbers the stores of a page.
class StoreList
{
public:
  std::size_t Number(const StoreId& aStore)
  {
    const auto [it, isNew] = mNumbers.emplace(aStore, mNumbers.size());
    if (isNew) {
      mNames.push_back(aStore.Text());
    }
    return it->second;
  }
  [[nodiscard]] const Json& Names() const noexcept { return mNames; }

private:
  std::map<StoreId, std::size_t> mNumbers;
  Json mNames = Json::array();
};

Result<CacheNews>
ReadNews(const Json& aJson, const std::vector<std::string>& aStores)
{
  const auto bad = [] { return Fail(ErrorCode::Corrupt, "bad news"); };
  if (!aJson.is_array() || aJson.size() != kLength ||
      !aJson[kStore].is_number_unsigned() || !aJson[kKind].is_string() ||
      !aJson[kSalt].is_string() || !aJson[kPart].is_string()) {
    return bad();
  }
  const auto store = aJson[kStore].get<std::uint64_t>();
  const auto kind = FromName<CacheNewsKind>(aJson[kKind].get<std::string>());
  if (store >= aStores.size() || !kind) {
    return bad();
  }
  return CacheNews{ StoreId(aStores[store]),
                    *kind,
                    aJson[kSalt].get<std::string>(),
                    aJson[kPart].get<std::string>() };
}

Result<StoreAge>
ReadAge(const Json& aJson)
{
  JsonFields fields(aJson);
  StoreAge age{ StoreId(fields.Text("store")),
                FromMillis(fields.Real("age_ms")) };
  return Checked(fields, std::move(age));
}

} // namespace

Json
ToJson(const CacheCursor& aCursor)
{
  return { { "log", aCursor.mLog }, { "next", aCursor.mNext } };
}

Result<CacheCursor>
ReadCacheCursor(const Json& aJson)
{
  JsonFields fields(aJson);
  CacheCursor cursor;
  cursor.mLog = fields.Unsigned("log");
  cursor.mNext = fields.Unsigned("next");
  return Checked(fields, cursor);
}

Json
ToJson(const CachePage& aPage)
{
  StoreList stores;
  auto news = Json::array();
  for (const auto& it : aPage.mNews) {
    news.push_back(Json::array({ stores.Number(it.mStore),
                                 std::string(ToName(it.mKind)),
                                 it.mSalt,
                                 it.mPart }));
  }
  auto heard = Json::array();
  for (const auto& it : aPage.mHeard) {
    heard.push_back(
      { { "store", it.mStore.Text() }, { "age_ms", ToMillis(it.mAge) } });
  }
  Json json{
    { "reset", aPage.mIsReset },         { "more", aPage.mHasMore },
    { "cursor", ToJson(aPage.mCursor) }, { "stores", stores.Names() },
    { "news", std::move(news) },         { "heard", std::move(heard) }
  };
  if (aPage.mServersClockMs) {
    json["clock_ms"] = *aPage.mServersClockMs;
  }
  return json;
}

Result<CachePage>
ReadCachePage(const Json& aJson)
{
  JsonFields fields(aJson);
  CachePage page;
  page.mIsReset = fields.Flag("reset");
  page.mHasMore = fields.Flag("more");
  page.mCursor = ReadObjectField(fields, "cursor", ReadCacheCursor);
  const auto stores = ReadListField(fields, "stores", ReadText);
  page.mNews = ReadListField(
    fields, "news", [&](const Json& aNews) { return ReadNews(aNews, stores); });
  page.mHeard = ReadListField(fields, "heard", ReadAge);
  if (fields.Has("clock_ms")) {
    page.mServersClockMs = fields.Unsigned("clock_ms");
  }
  return Checked(fields, std::move(page));
}

} // namespace bilberrytrail
