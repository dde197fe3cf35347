#include "list_message.h"

#include <bilberrytrail/platform/json_read.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

std::uint64_t
Micros(Duration aLength)
{
  return static_cast<std::uint64_t>(
    std::max(aLength, Duration::zero()).count());
}

// Ages are bounded, so that no sum of them overflows.
Duration
ReadAge(JsonFields& aFields, std::string_view aName)
{
  constexpr std::uint64_t kMost = 1ULL << 60U;
  const std::uint64_t age = aFields.Unsigned(aName);
  if (age > kMost) {
    aFields.Reject(aName);
  }
  return Duration(static_cast<std::int64_t>(std::min(age, kMost)));
}

} // namespace

Json
MakeListNews(const DaemonId& aReader,
             const ListMessage& aMessage,
             const ListFollower& aList,
             const std::optional<VmListChange>& aChange,
             Instant aNow)
{
  Json params = { { "reader", aReader.Text() },
                  { "digest", aList.Digest() },
                  { "tag", aList.Tag() },
                  { "from_age_us", Micros(aNow - aList.Span().mFrom) },
                  { "to_age_us", Micros(aNow - aList.Span().mTo) } };
  if (aMessage.mClock) {
    params["clock_us"] = *aMessage.mClock;
    params["clock_age_us"] = Micros(aNow - aMessage.mAnsweredAt);
  }
  if (aChange && aMessage.mHeld != aList.Digest()) {
    params["base"] = aMessage.mHeld;
    params["change"] = ToJson(*aChange);
  }
  return params;
}

Result<ListUpdate>
ReadListNews(const Json& aParams, Instant aNow)
{
  JsonFields fields(aParams);
  ListUpdate news;
  news.mReader = DaemonId(fields.Text("reader"));
  news.mDigest = fields.Text("digest");
  news.mTag = fields.Text("tag");
  const Duration fromAge = ReadAge(fields, "from_age_us");
  news.mSpan.mTo = aNow - ReadAge(fields, "to_age_us");
  // Without the receiver's clock nothing is known of the earliest moment.
  news.mSpan.mFrom = Instant();
  if (fields.Has("clock_us")) {
    const Instant answeredAt{ ReadAge(fields, "clock_us") };
    const Instant from = answeredAt + ReadAge(fields, "clock_age_us") - fromAge;
    news.mSpan.mFrom = std::min(from, news.mSpan.mTo);
  }
  if (fields.Has("change")) {
    news.mFrom = fields.Text("base");
    auto change = ReadVmListChange(fields.Object("change"));
    if (!change) {
      return std::move(change).error();
    }
    news.mChange = std::move(change).value();
  }
  return Checked(fields, std::move(news));
}

Json
ToJson(const DepartureNotice& aWord)
{
  return { { "server", aWord.mName },
           { "host", aWord.mEndpoint.mHost },
           { "port", aWord.mEndpoint.mPort },
           { "left_us", Micros(aWord.mRemaining) } };
}

Result<DepartureNotice>
ReadLeavingWord(const Json& aJson)
{
  JsonFields fields(aJson);
  DepartureNotice word;
  word.mName = fields.Text("server");
  word.mEndpoint.mHost = fields.Text("host");
  word.mEndpoint.mPort = fields.Unsigned16("port");
  word.mRemaining = ReadAge(fields, "left_us");
  return Checked(fields, std::move(word));
}

} // namespace bilberrytrail
