// Two daemons, three servers of a plain service. One order ends the machine of
// each server that begins to run it, and comes again. The machine doesn't
// respond for some seconds. Exits with 1 if that order reaches servers in more
// than three retries later than stable_window_ms after the third crash.

#include "../site-2/site.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace site;

namespace {

constexpr std::size_t kServers = 3;
constexpr double kDownMs = 3000;
constexpr double kStableMs = 3000;
constexpr std::size_t kMostRetries = 3;
constexpr double kPlayMs = 30000;
constexpr double kDeadlyPeriodMs = 1000;
constexpr double kSoundPeriodMs = 50;
constexpr double kWorkMs = 100;
constexpr const char* kDeadlyBody = "three reels, cut to 0 m";

// What the servers have seen.
struct Seen
{
  std::mutex mMutex;
  std::vector<double> mCrashes;
  std::vector<double> mDeadlyRuns;
  std::size_t mLost = 0;
};

// A server whose machine may lose power: then nothing responds at its address,
// neither on open connections nor on new ones, until it is back.
class Server
{
public:
  Server(Table& aTable, Record& aRecord, Seen& aSeen, std::string aId)
    : mTable(aTable)
    , mRecord(aRecord)
    , mSeen(aSeen)
    , mId(std::move(aId))
  {
    mAddress.sin_family = AF_INET;
    mAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Open();
  }

private:
  struct Session
  {
    explicit Session(int aHandle)
      : mHandle(aHandle)
      , mConnection(aHandle)
    {
    }
    const int mHandle;
    Connection mConnection;
  };

  void Open()
  {
    const std::lock_guard lock(mMutex);
    mHandle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(mHandle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socklen_t size = sizeof(mAddress);
    if (bind(mHandle, reinterpret_cast<sockaddr*>(&mAddress), size) != 0 ||
        listen(mHandle, 128) != 0 ||
        getsockname(mHandle, reinterpret_cast<sockaddr*>(&mAddress), &size) !=
          0) {
      std::perror("listen");
      std::exit(2);
    }
    ++mStart;
    std::thread([this, start = mStart] { Accept(start); }).detach();
    mTable.Put(
      "servers",
      mId,
      { { "service", "shop" },
        { "address", "127.0.0.1:" + std::to_string(ntohs(mAddress.sin_port)) },
        { "zone", "z" },
        { "version", 1 },
        { "slots", 6 },
        { "state", "ready" },
        { "cold_remaining_ms", 0 },
        { "sequence", 1 },
        { "born", 1700000000000 + 1000 * mStart } });
  }

  void Accept(std::uint64_t aStart)
  {
    while (true) {
      {
        const std::lock_guard lock(mMutex);
        if (mIsDown || aStart != mStart) {
          return;
        }
        const int handle = accept4(mHandle, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle >= 0) {
          const int on = 1;
          setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
          const auto session = std::make_shared<Session>(handle);
          mSessions.push_back(session);
          std::thread([this, session, aStart] {
            Serve(*session, aStart);
          }).detach();
          continue;
        }
      }
      SleepMs(1);
    }
  }

  [[nodiscard]] bool IsUp(std::uint64_t aStart)
  {
    const std::lock_guard lock(mMutex);
    return !mIsDown && aStart == mStart;
  }

  void Serve(Session& aSession, std::uint64_t aStart)
  {
    Request request;
    auto& connection = aSession.mConnection;
    while (ReadRequest(connection, request) && IsUp(aStart)) {
      const auto id = Find(request.mHeaders, "Bilberrytrail-Request-Id");
      Headers headers{ { "Bilberrytrail-Request-Id", id },
                       { "Bilberrytrail-Instance-Id", mId } };
      if (Find(request.mHeaders, "Bilberrytrail-Target-Instance") != mId) {
        (void)connection.Write(ToText(Answer{ 421, headers, "" }));
        continue;
      }
      if (request.mBody == kDeadlyBody) {
        mRecord.Line(id + " begins to run at " + mId + " and ends its machine");
        const std::lock_guard lock(mSeen.mMutex);
        mSeen.mDeadlyRuns.push_back(Now());
        mSeen.mCrashes.push_back(Now());
        LosePower();
        return;
      }
      mRecord.Line(id + " runs at " + mId);
      SleepMs(kWorkMs);
      if (!IsUp(aStart)) {
        mRecord.Line(id + " is lost at " + mId);
        const std::lock_guard lock(mSeen.mMutex);
        ++mSeen.mLost;
        return;
      }
      headers.emplace_back("Bilberrytrail-Response-Signature", mId + "." + id);
      (void)connection.Write(ToText(Answer{ 200, headers, "booked" }));
    }
  }

  void LosePower()
  {
    const std::lock_guard lock(mMutex);
    mIsDown = true;
    // The queue of new connections runs full, so that the packets that open one
    // are dropped.
    listen(mHandle, 0);
    for (int n = 0; n < 4; ++n) {
      const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect(
        handle, reinterpret_cast<sockaddr*>(&mAddress), sizeof(mAddress));
      mFillers.push_back(handle);
    }
    std::thread([this] {
      SleepMs(kDownMs);
      ComeBack();
    }).detach();
  }

  void ComeBack()
  {
    {
      const std::lock_guard lock(mMutex);
      // A machine that has started again resets the connections of before.
      const linger now{ 1, 0 };
      for (const auto& it : mSessions) {
        setsockopt(it->mHandle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        it->mConnection.Shutdown();
      }
      mSessions.clear();
      for (const int it : mFillers) {
        close(it);
      }
      mFillers.clear();
      close(mHandle);
      mIsDown = false;
    }
    Open();
    mRecord.Line(mId + " is back");
  }

  Table& mTable;
  Record& mRecord;
  Seen& mSeen;
  const std::string mId;
  std::mutex mMutex;
  sockaddr_in mAddress{};
  int mHandle = -1;
  std::uint64_t mStart = 0;
  bool mIsDown = false;
  std::vector<std::shared_ptr<Session>> mSessions;
  std::vector<int> mFillers;
};

class Case
{
public:
  explicit Case(Record& aRecord)
    : mRecord(aRecord)
  {
    auto route = RouteJson("o", "/o/", "non_idempotent", "shop");
    route["timeout_ms"] = 1000;
    route["target_latency_ms"] = 100;
    mTable.Put(
      "op",
      "config",
      { { "version", 3 },
        { "routes", { route } },
        { "services", { { { "name", "shop" } } } },
        { "tenants", { { { "name", "t" }, { "api_keys", { "key" } } } } } });
    for (std::size_t n = 0; n < kServers; ++n) {
      mServers.push_back(std::make_unique<Server>(
        mTable, mRecord, mSeen, "i-" + std::to_string(n + 1)));
    }
    for (int n = 1; n <= 2; ++n) {
      mDaemons.push_back(
        std::make_unique<Daemon>("entry-" + std::to_string(n),
                                 "127.0.0." + std::to_string(n),
                                 mTable.AddDoor(),
                                 "z"));
    }
  }

  int Run(bool aHasTrouble);

private:
  void Send(std::size_t aDaemon, const std::string& aBody)
  {
    const auto id = "r" + std::to_string(++mRequests);
    mRecord.Line(id + " sent: " + aBody);
    Answer answer;
    if (const auto connection = mDaemons[aDaemon]->Call()) {
      connection->SetTimeout(3000);
      (void)connection->Write(
        ToText(Request{ "POST",
                        "/o/1",
                        { { "Host", "h.example" },
                          { "Bilberrytrail-Request-Id", id },
                          { "Bilberrytrail-Credential", "key" },
                          { "Bilberrytrail-Deadline-Ms", "1000" },
                          { "Connection", "close" } },
                        aBody }));
      answer = ReadAnswer(*connection);
    }
    const auto server = Find(answer.mHeaders, "Bilberrytrail-Instance-Id");
    mRecord.Line(id + " answered " + std::to_string(answer.mStatus) + " by " +
                 (server.empty() ? "the daemon" : server));
  }

  Record& mRecord;
  Seen mSeen;
  Table mTable{ "127.0.0.1" };
  std::vector<std::unique_ptr<Server>> mServers;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::atomic<int> mRequests = 0;
};

int
Case::Run(bool aHasTrouble)
{
  for (const auto& it : mDaemons) {
    it->Start();
  }
  for (const auto& it : mDaemons) {
    if (!it->AwaitReady(15000)) {
      return 2;
    }
  }
  // Each daemon reads the list of daemons every 10 s.
  SleepMs(11000);
  std::vector<std::thread> callers;
  const auto begin = Now();
  auto deadlyAt = begin + 2000;
  std::size_t turn = 0;
  for (int n = 0; Now() < begin + kPlayMs; ++n) {
    callers.emplace_back([this, n] {
      Send(static_cast<std::size_t>(n) % 2, "reel " + std::to_string(n));
    });
    if (aHasTrouble && Now() >= deadlyAt) {
      deadlyAt += kDeadlyPeriodMs;
      callers.emplace_back(
        [this, daemon = ++turn % 2] { Send(daemon, kDeadlyBody); });
    }
    SleepMs(kSoundPeriodMs);
  }
  for (auto& it : callers) {
    it.join();
  }
  SleepMs(kDownMs + 500);
  mDaemons.clear();
  const std::lock_guard lock(mSeen.mMutex);
  std::size_t late = 0;
  if (mSeen.mCrashes.size() >= 3) {
    late = static_cast<std::size_t>(std::count_if(
      mSeen.mDeadlyRuns.begin(), mSeen.mDeadlyRuns.end(), [&](double aAt) {
        return aAt > mSeen.mCrashes[2] + kStableMs;
      }));
  }
  mRecord.Line(std::to_string(mSeen.mCrashes.size()) + " crashes; " +
               std::to_string(late) +
               " retries reached servers later than 3 s after the third; " +
               std::to_string(mSeen.mLost) + " other orders were lost");
  const bool isBroken = late > kMostRetries;
  mRecord.Line(isBroken ? "rule broken" : "rule held");
  return isBroken ? 1 : 0;
}

} // namespace

int
main()
{
  const char* trouble = std::getenv("TROUBLE");
  Record record(std::string(std::getenv("CASE_FOLDER")) + "/record.txt");
  Case theCase(record);
  const int status =
    theCase.Run(trouble == nullptr || std::strcmp(trouble, "0") != 0);
  // Threads of the servers still wait.
  std::_Exit(status);
}
