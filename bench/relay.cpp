// Cost of what daemons that follow a relay cost it, and of a relay's answers
// at the daemons that read them.

#include "report.h"
#include "timing.h"

#include "cache_page_codec.h"
#include "peer_replicas.h"
#include "site_notice.h"

#include <bilberrytrail/runtime/rpc.h>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

constexpr Instant kNow{ 1000s };
constexpr std::size_t kStores = 49;
constexpr std::size_t kRounds = 50;

CacheChangeLog
MakeLog(std::size_t aChanges)
{
  CacheChangeLog log(7);
  std::vector<CacheStore> stores;
  for (std::size_t n = 0; n < kStores; ++n) {
    CacheStore store;
    store.mName = StoreId("store" + std::to_string(n));
    store.mEndpoint = { "10.0.0.1", static_cast<std::uint16_t>(n + 1) };
    stores.push_back(store);
  }
  log.SetStores(stores);
  for (std::size_t n = 0; n < kStores; ++n) {
    CacheEvents events;
    events.mEpoch = 1'700'000'000'000 + n;
    for (auto i = n; i < aChanges; i += kStores) {
      events.mEvents.push_back({ true,
                                 "account/3/abcdef012345",
                                 std::to_string(1'000'000 + i * 7),
                                 ++events.mNext });
    }
    log.OnEvents(stores[n].mName, events, kNow);
  }
  return log;
}

void
Show(const std::string& aWhat, double aMicros, std::size_t aBytes)
{
  Print({ aWhat,
          "both",
          Format(aMicros, 0, " us, ") + std::to_string(aBytes) + " bytes",
          "",
          Verdict::Stated });
}

void
MeasureCachePage(std::size_t aChanges)
{
  const auto log = MakeLog(aChanges);
  const auto page = log.PageAt({ 7, 1 }, kNow);
  const auto bytes = EncodeCachePage(page);
  const auto reply = EncodeCacheReply(10ms, {}, bytes);
  const auto size = std::to_string(aChanges) + " cache changes";
  const double build = MicrosPerCall(kRounds, [&](std::size_t) {
    (void)EncodeCachePage(log.PageAt({ 7, 1 }, kNow));
  });
  Show("relay builds a page of " + size, build, bytes.size());
  const double wrap = MicrosPerCall(
    kRounds, [&](std::size_t) { (void)EncodeCacheReply(10ms, {}, bytes); });
  Show("relay answers with it", wrap, reply.size());
  const double read = MicrosPerCall(kRounds, [&](std::size_t) {
    (void)DecodeCachePage(DecodeCacheReply(reply).value().mPage);
  });
  Show("a daemon reads it", read, reply.size());
  const auto section = "relay_" + std::to_string(aChanges);
  PrintSlope(section, "build_micros", build);
  PrintSlope(section, "answer_micros", wrap);
  PrintSlope(section, "read_micros", read);
  PrintSlope(section, "bytes", static_cast<double>(reply.size()));
}

void
MeasureNotice()
{
  SiteNotice notice;
  for (auto& it : notice.mTables) {
    it = { { 500, 1 }, { 480, 1 }, 250ms, std::nullopt };
  }
  RpcMethods methods;
  methods.Add(std::string(kNoticeMethod),
              [&](const Json& aParams) -> Result<Json> {
                (void)ReadNoticeQuery(aParams);
                return ToJson(notice);
              });
  const auto query = ToJson(NoticeQuery());
  std::string request;
  std::string answer;
  const auto call = [&](const std::string& aText) -> Result<std::string> {
    request = aText;
    answer = methods.Serve(aText);
    return answer;
  };
  (void)CallRpc(std::string(kNoticeMethod), query, call);
  const double serve = MicrosPerCall(
    kRounds, [&](std::size_t) { answer = methods.Serve(request); });
  Show("relay answers a query without news", serve, answer.size());
  const double read = MicrosPerCall(kRounds, [&](std::size_t) {
    const auto reply = CallRpc(
      std::string(kNoticeMethod),
      query,
      [&](const std::string&) -> Result<std::string> { return answer; });
    (void)ReadSiteNotice(reply.value());
  });
  Show("a daemon reads that answer", read, answer.size());
  PrintSlope("relay_notice", "serve_micros", serve);
  PrintSlope("relay_notice", "read_micros", read);
  PrintSlope("relay_notice", "bytes", static_cast<double>(answer.size()));
}

void
MeasureRows(std::size_t aRoutes)
{
  std::string value = R"({"version":7,"routes":[)";
  for (std::size_t n = 0; n < aRoutes; ++n) {
    value += R"({"name":"r-)" + std::to_string(n * 7919) +
             R"(","host":"pupu76.example","prefix":"/bapu)" +
             std::to_string(n) +
             R"(/","route_type":"streaming","timeout_ms":10000,)"
             R"("target_latency_ms":400,"priority":1,"service":"huvo11a"},)";
  }
  const ReplicaRows rows{ false,
                          { { { "config", value, 7 } }, 7, std::nullopt } };
  const auto bytes = EncodeRows(rows);
  const auto reply = EncodeRowsReply(100ms, bytes);
  const auto size = "rows of " + std::to_string(aRoutes) + " routes";
  const double build =
    MicrosPerCall(kRounds, [&](std::size_t) { (void)EncodeRows(rows); });
  Show("relay builds " + size, build, bytes.size());
  const double read =
    MicrosPerCall(kRounds, [&](std::size_t) { (void)DecodeRowsReply(reply); });
  Show("a daemon reads them", read, value.size());
  const auto section = "relay_rows_" + std::to_string(aRoutes);
  PrintSlope(section, "build_micros", build);
  PrintSlope(section, "read_micros", read);
  PrintSlope(section, "bytes", static_cast<double>(reply.size()));
}

} // namespace

int
main()
{
  MeasureNotice();
  for (const std::size_t changes : { 0, 20, 300, 2048 }) {
    MeasureCachePage(changes);
  }
  for (const std::size_t routes : { 30, 1400 }) {
    MeasureRows(routes);
  }
  return 0;
}
