#include "fleet/row_table.h"

#include <bilberrytrail/base/base64.h>

#include <algorithm>

namespace bilberrytrail::standins {

namespace {

constexpr Duration kFeedStep = 5ms;
constexpr Duration kSilentTime = 30s;

// Reads the query of a target; "%2F" and the like are decoded.
std::map<std::string, std::string>
ReadQuery(std::string_view aTarget)
{
  std::map<std::string, std::string> query;
  const auto mark = aTarget.find('?');
  if (mark == std::string_view::npos) {
    return query;
  }
  std::string name;
  std::string text;
  const auto finish = [&] {
    if (!name.empty()) {
      query[name] = text;
    }
    name.clear();
    text.clear();
  };
  constexpr int kHexadecimal = 16;
  for (std::size_t n = mark + 1; n < aTarget.size(); ++n) {
    const char c = aTarget[n];
    if (c == '=') {
      name = std::exchange(text, {});
    } else if (c == '&') {
      finish();
    } else if (c == '%' && n + 2 < aTarget.size()) {
      const std::string digits(aTarget.substr(n + 1, 2));
      text += static_cast<char>(std::stoi(digits, nullptr, kHexadecimal));
      n += 2;
    } else {
      text += c;
    }
  }
  finish();
  return query;
}

std::string
Find(const std::map<std::string, std::string>& aQuery, const std::string& aName)
{
  const auto it = aQuery.find(aName);
  return it == aQuery.end() ? std::string() : it->second;
}

std::uint64_t
FindNumber(const std::map<std::string, std::string>& aQuery,
           const std::string& aName)
{
  const auto text = Find(aQuery, aName);
  return text.empty() ? 0 : std::stoull(text);
}

std::uint64_t
SteadyMillis()
{
  return static_cast<std::uint64_t>(
    ToMillis(MonotonicNow().time_since_epoch()));
}

HttpResponse
JsonResponse(unsigned aStatus, const Json& aBody)
{
  return { aStatus, { { "Content-Type", "application/json" } }, aBody.dump() };
}

} // namespace

std::string
RowTable::Value(const std::string& aTable, const std::string& aKey) const
{
  const auto it = mRows.find({ aTable, aKey });
  return it == mRows.end() || it->second.mRemoved ? std::string()
                                                  : it->second.mValue;
}

void
RowTable::Put(const std::string& aTable,
              const std::string& aKey,
              std::string aValue)
{
  mRows[{ aTable, aKey }] = { std::move(aValue), ++mVersion, false };
}

void
RowTable::Remove(const std::string& aTable, const std::string& aKey)
{
  mRows[{ aTable, aKey }] = { {}, ++mVersion, true };
}

void
RowTable::Restore()
{
  mRows = mCopy;
  mVersion = mCopyVersion;
  mOldest = std::min(mOldest, mVersion);
  mEra = mEra.value_or(0) + 1;
}

RowTableFault
RowTable::FaultOf(const HttpRequest& aRequest) const
{
  const bool isAffected =
    mFaultTable.empty() ||
    Find(ReadQuery(aRequest.mTarget), "table") == mFaultTable;
  return isAffected ? mFault : RowTableFault::None;
}

void
RowTable::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  ++mCalls;
  const auto send = [&](HttpResponse aResponse) {
    if (mEra) {
      aResponse.mHeaders.push_back({ "Store-Era", std::to_string(*mEra) });
    }
    (void)aResponder.Send(std::move(aResponse));
  };
  switch (FaultOf(aRequest)) {
    case RowTableFault::Busy:
      send({ 503, {}, {} });
      return;
    case RowTableFault::Many:
      send({ 429, {}, {} });
      return;
    case RowTableFault::LostAnswer:
      (void)Serve(aRequest);
      (void)mLoop.Sleep(kSilentTime);
      return;
    case RowTableFault::Silent:
      (void)mLoop.Sleep(kSilentTime);
      return;
    case RowTableFault::None:
      break;
  }
  send(Serve(aRequest));
}

HttpResponse
RowTable::Serve(const HttpRequest& aRequest)
{
  const auto query = ReadQuery(aRequest.mTarget);
  if (aRequest.mTarget.starts_with("/rows-get?")) {
    return Get(query);
  }
  if (aRequest.mTarget.starts_with("/rows-feed?")) {
    const auto wait = std::chrono::milliseconds(FindNumber(query, "wait_ms"));
    const auto end = MonotonicNow() + wait;
    const auto after = FindNumber(query, "after");
    while (HasHistory(after) && Rows(query, after).empty() &&
           MonotonicNow() < end && mLoop.Sleep(kFeedStep)) {
    }
    return Feed(query);
  }
  if (aRequest.mTarget == "/rows-tx") {
    const auto body = ParseJson(aRequest.mBody);
    return body ? Commit(body.value()) : HttpResponse{ 400, {}, {} };
  }
  return { 404, {}, {} };
}

Json
RowTable::Rows(const Query& aQuery, std::uint64_t aAfter) const
{
  const auto to = Find(aQuery, "target");
  auto rows = Json::array();
  for (const auto& [name, row] : mRows) {
    const bool isIn = name.first == Find(aQuery, "table") &&
                      name.second >= Find(aQuery, "from") &&
                      (to.empty() || name.second < to);
    if (!isIn || row.mVersion <= aAfter || (row.mRemoved && aAfter == 0)) {
      continue;
    }
    Json json{ { "table", name.first },
               { "part", "" },
               { "key", name.second },
               { "ver", row.mVersion } };
    if (row.mRemoved) {
      json["removed"] = true;
    } else {
      json["value"] = ToBase64(row.mValue);
    }
    rows.push_back(std::move(json));
  }
  return rows;
}

HttpResponse
RowTable::Page(Json aRows, bool aHasMore) const
{
  return JsonResponse(200,
                      { { "rows", std::move(aRows) },
                        { "has_more", aHasMore },
                        { "ver", mVersion },
                        { "now_ms", SteadyMillis() } });
}

HttpResponse
RowTable::Get(const Query& aQuery) const
{
  auto rows = Rows(aQuery, 0);
  const auto limit = FindNumber(aQuery, "limit");
  const auto most = limit == 0 ? mPageRows : std::min(limit, mPageRows);
  const bool hasMore = rows.size() > most;
  if (hasMore) {
    rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(most), rows.end());
  }
  return Page(std::move(rows), hasMore);
}

HttpResponse
RowTable::Feed(const Query& aQuery) const
{
  const auto after = FindNumber(aQuery, "after");
  if (!HasHistory(after)) {
    return { 410, {}, {} };
  }
  return Page(Rows(aQuery, after), false);
}

HttpResponse
RowTable::Commit(const Json& aBody)
{
  const auto nameOf = [](const Json& aRow) {
    return std::pair(aRow.at("table").get<std::string>(),
                     aRow.at("key").get<std::string>());
  };
  for (const auto& it : aBody.at("expected")) {
    const auto row = mRows.find(nameOf(it));
    const std::uint64_t version =
      row == mRows.end() || row->second.mRemoved ? 0 : row->second.mVersion;
    if (version != it.at("ver").get<std::uint64_t>()) {
      return JsonResponse(412, { { "rows", Json::array() } });
    }
  }
  ++mVersion;
  for (const auto& it : aBody.at("put")) {
    auto value = FromBase64(it.at("value").get<std::string>());
    auto text = value ? std::move(value).value() : std::string();
    const auto name = nameOf(it);
    if (mRewrite) {
      text = mRewrite(name.second, std::move(text));
    }
    mRows[name] = { std::move(text), mVersion, false };
  }
  for (const auto& it : aBody.at("remove")) {
    mRows[nameOf(it)] = { {}, mVersion, true };
  }
  return JsonResponse(200,
                      { { "ver", mVersion }, { "now_ms", SteadyMillis() } });
}

} // namespace bilberrytrail::standins
