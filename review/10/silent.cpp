// One daemon, two services with a server each, and a spare one. The daemon's
// open connections to the store go silent, and then a route is moved to the
// other service. Exits with 1 if requests that are sent when the daemon is in
// touch again, and later than config_apply_ms after the move, run at the former
// service.

#include "../site-2/site.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>

using namespace site;

namespace {

constexpr double kApplyMs = 2000;
constexpr double kStableMs = 3000;
constexpr double kPeriodMs = 10;

// A server of a plain service.
class Server
{
public:
  Server(Table& aTable,
         Record& aRecord,
         std::string aId,
         const std::string& aService)
    : mRecord(aRecord)
    , mId(std::move(aId))
    , mPort(FreePort("127.0.0.1"))
    , mListener("127.0.0.1", mPort, [this](const Request& aRequest) {
      return Handle(aRequest);
    })
  {
    mListener.Start();
    aTable.Put("servers",
               mId,
               { { "service", aService },
                 { "address", "127.0.0.1:" + std::to_string(mPort) },
                 { "zone", "z" },
                 { "version", 1 },
                 { "slots", 64 },
                 { "state", "ready" },
                 { "cold_remaining_ms", 0 },
                 { "sequence", 1 },
                 { "born", 1700000000000 } });
  }

private:
  std::optional<Answer> Handle(const Request& aRequest)
  {
    const auto id = Find(aRequest.mHeaders, "Bilberrytrail-Request-Id");
    Headers headers{ { "Bilberrytrail-Request-Id", id },
                     { "Bilberrytrail-Instance-Id", mId } };
    if (Find(aRequest.mHeaders, "Bilberrytrail-Target-Instance") != mId) {
      return Answer{ 421, headers, "" };
    }
    mRecord.Line(id + " runs at " + mId);
    SleepMs(5);
    headers.emplace_back("Bilberrytrail-Response-Signature", mId + "." + id);
    return Answer{ 200, headers, "done" };
  }

  Record& mRecord;
  const std::string mId;
  const std::uint16_t mPort;
  Listener mListener;
};

class Case
{
public:
  explicit Case(Record& aRecord)
    : mRecord(aRecord)
  {
    Configure(3, "former");
  }

  int Run(bool aHasTrouble);

private:
  void Configure(std::uint64_t aVersion, const std::string& aService)
  {
    mTable.Put(
      "op",
      "config",
      { { "version", aVersion },
        { "routes", { RouteJson("o", "/o/", "non_idempotent", aService) } },
        { "services",
          { { { "name", "former" } },
            { { "name", "new" } },
            { { "name", "spare" } } } },
        { "tenants", { { { "name", "t" }, { "api_keys", { "key" } } } } } });
    mRecord.Line("configuration " + std::to_string(aVersion) +
                 " acknowledged: the route leads to the service " + aService);
  }

  // Sends a request, and notes when it was sent if the former service ran it.
  void Send(const std::string& aTarget = "/o/1")
  {
    const auto id = "r" + std::to_string(++mRequests);
    const auto sentAt = Now();
    mRecord.Line(id + " sent");
    Answer answer;
    if (const auto connection = mDaemon.Call()) {
      connection->SetTimeout(3000);
      (void)connection->Write(
        ToText(Request{ "POST",
                        aTarget,
                        { { "Host", "h.example" },
                          { "Bilberrytrail-Request-Id", id },
                          { "Bilberrytrail-Credential", "key" },
                          { "Bilberrytrail-Deadline-Ms", "1000" },
                          { "Connection", "close" } },
                        "order" }));
      answer = ReadAnswer(*connection);
    }
    const auto server = Find(answer.mHeaders, "Bilberrytrail-Instance-Id");
    mRecord.Line(id + " answered " + std::to_string(answer.mStatus) + " by " +
                 (server.empty() ? "the daemon" : server));
    if (server == "i-former") {
      const std::lock_guard lock(mMutex);
      mAtFormer.push_back(sentAt);
    }
  }

  Record& mRecord;
  Table mTable{ "127.0.0.1" };
  Server mFormer{ mTable, mRecord, "i-former", "former" };
  Server mNew{ mTable, mRecord, "i-new", "new" };
  std::optional<Server> mSpare;
  Daemon mDaemon{ "entry-1", "127.0.0.1", mTable.AddDoor(), "z" };
  std::atomic<int> mRequests = 0;
  std::mutex mMutex;
  std::vector<double> mAtFormer;
};

int
Case::Run(bool aHasTrouble)
{
  mDaemon.Start();
  if (!mDaemon.AwaitReady(15000)) {
    return 2;
  }
  SleepMs(4000);
  std::vector<std::thread> callers;
  std::atomic<bool> isOver = false;
  std::thread traffic([&] {
    while (!isOver) {
      callers.emplace_back([this] { Send(); });
      SleepMs(kPeriodMs);
    }
  });
  SleepMs(1000);
  // A route that never existed: the daemon asks the store once more.
  Send("/none/1");
  Configure(5, "former");
  SleepMs(100);
  // The list of servers changes, too.
  mSpare.emplace(mTable, mRecord, "i-spare", "spare");
  SleepMs(150);
  const auto silentAt = Now();
  if (aHasTrouble) {
    mTable.Silence(mDaemon.Door());
    mRecord.Line("the open connections to the store go silent");
  }
  SleepMs(100);
  Configure(8, "new");
  const auto movedAt = Now();
  SleepMs(6000);
  isOver = true;
  traffic.join();
  for (auto& it : callers) {
    it.join();
  }
  int late = 0;
  double last = 0;
  for (const auto sentAt : mAtFormer) {
    if (sentAt > movedAt + kApplyMs && sentAt > silentAt + kStableMs) {
      ++late;
      last = std::max(last, sentAt - movedAt);
    }
  }
  if (late > 0) {
    mRecord.Line("BROKEN: " + std::to_string(late) +
                 " requests, sent when the daemon was in touch and up to " +
                 std::to_string(last) +
                 " ms after the route was moved, ran at the former service");
  }
  mRecord.Line(late > 0 ? "rule broken" : "rule held");
  return late > 0 ? 1 : 0;
}

} // namespace

int
main()
{
  const char* trouble = std::getenv("TROUBLE");
  Record record(std::string(std::getenv("CASE_FOLDER")) + "/record.txt");
  Case theCase(record);
  return theCase.Run(trouble == nullptr || std::strcmp(trouble, "0") != 0);
}
