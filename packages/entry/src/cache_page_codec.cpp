#include "cache_page_codec.h"

#include "cbor.h"

#include <bilberrytrail/platform/json_read.h>

#include <cmath>
#include <map>

namespace bilberrytrail {

namespace {

// An older answer of a store is not sent, and rejected when read.
constexpr double kMaxAgeMs = 3600e3;
// Values of a change in a page: life, kind, salt, part and number.
constexpr std::size_t kChangeValues = 5;

bool
IsAge(double aMillis)
{
  return std::isfinite(aMillis) && aMillis >= 0 && aMillis <= kMaxAgeMs;
}

// Numbers texts that occur again and again.
class TextList
{
public:
  std::size_t Number(const std::string& aText)
  {
    const auto [it, isNew] = mNumbers.emplace(aText, mNumbers.size());
    if (isNew) {
      mTexts.push_back(aText);
    }
    return it->second;
  }
  [[nodiscard]] const Json& Texts() const noexcept { return mTexts; }

private:
  std::map<std::string, std::size_t> mNumbers;
  Json mTexts = Json::array();
};

// Reads the values of a flat list, which belong together by aStride. Flat lists
// take a fraction of the time of nested ones.
class ListReader
{
public:
  ListReader(const Json& aList, std::size_t aStride)
    : mList(aList)
    , mIsGood(aList.is_array() && aList.size() % aStride == 0)
  {
  }

  // Returns whether there are further values, and all before were good.
  [[nodiscard]] bool HasMore() const { return mIsGood && mNext < mList.size(); }
  [[nodiscard]] bool IsGood() const noexcept { return mIsGood; }

  std::uint64_t Unsigned()
  {
    const auto& value = mList[mNext++];
    mIsGood = mIsGood && value.is_number_unsigned();
    return mIsGood ? value.get<std::uint64_t>() : 0;
  }
  std::string Text()
  {
    const auto& value = mList[mNext++];
    mIsGood = mIsGood && value.is_string();
    return mIsGood ? value.get_ref<const std::string&>() : std::string();
  }
  // Returns the element of a list that the next value numbers.
  template<class T>
  T In(const std::vector<T>& aList)
  {
    const auto n = Unsigned();
    mIsGood = mIsGood && n < aList.size();
    return mIsGood ? aList[n] : T();
  }
  CacheChangeKind Kind()
  {
    const auto n = Unsigned();
    mIsGood = mIsGood && n < EnumCount<CacheChangeKind>();
    return mIsGood ? static_cast<CacheChangeKind>(n) : CacheChangeKind::Added;
  }
  Duration Age()
  {
    const auto& value = mList[mNext++];
    mIsGood = mIsGood && value.is_number() && IsAge(value.get<double>());
    return mIsGood ? FromMillis(value.get<double>()) : Duration(0);
  }

private:
  const Json& mList;
  bool mIsGood;
  std::size_t mNext = 0;
};

Json
ToJson(const CacheCursor& aCursor)
{
  return { { "log", aCursor.mLog }, { "next", aCursor.mNext } };
}

Result<CacheCursor>
ReadCursor(const Json& aJson)
{
  JsonFields fields(aJson);
  CacheCursor cursor;
  cursor.mLog = fields.Unsigned("log");
  cursor.mNext = fields.Unsigned("next");
  return Checked(fields, cursor);
}

// A life of a store, which begins when the store starts.
struct StoreLife
{
  StoreId mStore;
  std::uint64_t mEpoch = 0;

  bool operator==(const StoreLife&) const = default;
};

Json
ToJson(const std::vector<CachePosition>& aPositions)
{
  auto list = Json::array();
  for (const auto& it : aPositions) {
    list.push_back(it.mStore.Text());
    list.push_back(it.mEpoch);
    list.push_back(it.mNext);
  }
  return list;
}

std::vector<CachePosition>
ReadPositions(JsonFields& aFields, std::string_view aName)
{
  std::vector<CachePosition> positions;
  ListReader reader(aFields.List(aName), 3);
  while (reader.HasMore()) {
    CachePosition position{ StoreId(reader.Text()) };
    position.mEpoch = reader.Unsigned();
    position.mNext = reader.Unsigned();
    positions.push_back(std::move(position));
  }
  if (!reader.IsGood()) {
    aFields.Reject(aName);
  }
  return positions;
}

std::vector<StoreId>
ReadStores(JsonFields& aFields)
{
  std::vector<StoreId> stores;
  for (auto& it : ReadListField(aFields, "stores", ReadText)) {
    stores.emplace_back(std::move(it));
  }
  return stores;
}

std::vector<StoreLife>
ReadLives(JsonFields& aFields, const std::vector<StoreId>& aStores)
{
  std::vector<StoreLife> lives;
  ListReader reader(aFields.List("lives"), 2);
  while (reader.HasMore()) {
    StoreLife life{ reader.In(aStores) };
    life.mEpoch = reader.Unsigned();
    lives.push_back(std::move(life));
  }
  if (!reader.IsGood()) {
    aFields.Reject("lives");
  }
  return lives;
}

std::vector<CacheChange>
ReadChanges(JsonFields& aFields, const std::vector<StoreLife>& aLives)
{
  const auto salts = ReadListField(aFields, "salts", ReadText);
  std::vector<CacheChange> changes;
  ListReader reader(aFields.List("changes"), kChangeValues);
  while (reader.HasMore()) {
    CacheChange change;
    const auto life = reader.In(aLives);
    change.mStore = life.mStore;
    change.mEpoch = life.mEpoch;
    change.mKind = reader.Kind();
    change.mSalt = reader.In(salts);
    change.mPart = reader.Text();
    change.mNumber = reader.Unsigned();
    changes.push_back(std::move(change));
  }
  if (!reader.IsGood()) {
    aFields.Reject("changes");
  }
  return changes;
}

std::vector<StoreAge>
ReadAges(JsonFields& aFields, const std::vector<StoreId>& aStores)
{
  std::vector<StoreAge> ages;
  ListReader reader(aFields.List("ages"), 2);
  while (reader.HasMore()) {
    StoreAge age{ reader.In(aStores) };
    age.mAge = reader.Age();
    ages.push_back(std::move(age));
  }
  if (!reader.IsGood()) {
    aFields.Reject("ages");
  }
  return ages;
}

} // namespace

std::string
EncodeCacheQuery(const CacheQuery& aQuery)
{
  return WriteCbor({ { "cursor", ToJson(aQuery.mCursor) },
                     { "positions", ToJson(aQuery.mPositions) } });
}

Result<CacheQuery>
DecodeCacheQuery(std::string_view aBytes)
{
  const auto json = ReadCbor(aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  CacheQuery query;
  query.mCursor = ReadObjectField(fields, "cursor", ReadCursor);
  query.mPositions = ReadPositions(fields, "positions");
  return Checked(fields, std::move(query));
}

std::string
EncodeCacheReply(Duration aSince,
                 const std::vector<CachePosition>& aResets,
                 std::string_view aPage)
{
  return WriteCbor({ { "since_ms", ToMillis(aSince) },
                     { "resets", ToJson(aResets) },
                     { "page", ToBinary(aPage) } });
}

Result<CacheReply>
DecodeCacheReply(std::string_view aBytes)
{
  const auto json = ReadCbor(aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  CacheReply reply;
  const double since = fields.Real("since_ms");
  if (!IsAge(since)) {
    fields.Reject("since_ms");
  } else {
    reply.mSince = FromMillis(since);
  }
  reply.mResets = ReadPositions(fields, "resets");
  reply.mPage = ReadBinary(fields, json.value(), "page");
  return Checked(fields, std::move(reply));
}

// The stores, lives and salts of a page are listed once; what follows names
// their places in these lists.
std::string
EncodeCachePage(const CachePage& aPage)
{
  TextList stores;
  TextList salts;
  std::map<std::pair<StoreId, std::uint64_t>, std::size_t> numbers;
  auto lives = Json::array();
  auto changes = Json::array();
  for (const auto& it : aPage.mChanges) {
    const auto [life, isNew] =
      numbers.emplace(std::pair(it.mStore, it.mEpoch), numbers.size());
    if (isNew) {
      lives.push_back(stores.Number(it.mStore.Text()));
      lives.push_back(it.mEpoch);
    }
    changes.push_back(life->second);
    changes.push_back(static_cast<unsigned>(it.mKind));
    changes.push_back(salts.Number(it.mSalt));
    changes.push_back(it.mPart);
    changes.push_back(it.mNumber);
  }
  auto ages = Json::array();
  for (const auto& it : aPage.mStoreAges) {
    if (IsAge(ToMillis(it.mAge))) {
      ages.push_back(stores.Number(it.mStore.Text()));
      ages.push_back(ToMillis(it.mAge));
    }
  }
  Json json{ { "cursor", ToJson(aPage.mCursor) }, { "more", aPage.mHasMore },
             { "resets", ToJson(aPage.mResets) }, { "stores", stores.Texts() },
             { "lives", std::move(lives) },       { "salts", salts.Texts() },
             { "changes", std::move(changes) },   { "ages", std::move(ages) } };
  if (aPage.mServersClockMs) {
    json["clock_ms"] = *aPage.mServersClockMs;
  }
  return WriteCbor(json);
}

Result<CachePage>
DecodeCachePage(std::string_view aBytes)
{
  const auto json = ReadCbor(aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  CachePage page;
  page.mCursor = ReadObjectField(fields, "cursor", ReadCursor);
  page.mHasMore = fields.Flag("more");
  page.mResets = ReadPositions(fields, "resets");
  const auto stores = ReadStores(fields);
  page.mChanges = ReadChanges(fields, ReadLives(fields, stores));
  page.mStoreAges = ReadAges(fields, stores);
  if (fields.Has("clock_ms")) {
    page.mServersClockMs = fields.Unsigned("clock_ms");
  }
  return Checked(fields, std::move(page));
}

} // namespace bilberrytrail
