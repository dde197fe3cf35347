// An order crashes each server that begins to run it, and comes again. Other
// orders are at work at the servers that crash.

#include "standin.h"

using namespace review;

namespace {

constexpr std::size_t kServers = 3;
constexpr std::size_t kDaemons = 2;
// How long a server that has crashed is away.
constexpr double kDownTime = 3;
constexpr double kStableWindow = 3;
constexpr std::size_t kMostRetries = 3;
constexpr double kPlayTime = 30;
constexpr double kCrashingPeriod = 1;
constexpr double kSoundPeriod = 0.05;
constexpr double kWorkTime = 0.1;
const std::string kCrashingBody = "three reels of wick 7, cut to 0 m";

Table sTable;
std::mutex sMutex;
std::vector<double> sCrashes;
std::vector<double> sArrivals;
std::atomic<int> sLost = 0;

// A server of the order service whose process may crash: its connections and
// its port are closed.
class OrderServer
{
public:
  void Start(std::string aId)
  {
    mId = std::move(aId);
    Open();
  }

private:
  void Open()
  {
    const std::lock_guard lock(mMutex);
    mListener = Listen(OwnHost(), mPort, mPort);
    ++mBorn;
    auto row = ServerRow(OwnHost() + ":" + std::to_string(mPort), "shop");
    row["born"] = mBorn;
    sTable.Put("servers", mId, row);
    std::thread([this, listener = mListener] { Accept(listener); }).detach();
  }
  void Accept(int aListener)
  {
    while (true) {
      const int fd = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        ::close(aListener);
        return;
      }
      const std::lock_guard lock(mMutex);
      if (aListener != mListener) {
        ::close(fd);
        continue;
      }
      const auto stream = std::make_shared<Stream>(fd);
      mStreams.push_back(stream);
      std::thread([this, stream] { Serve(*stream); }).detach();
    }
  }
  void Serve(Stream& aStream)
  {
    while (const auto request = aStream.Read(Clock::now() + 600s)) {
      if (!request->mIsWhole || !Run(*request, aStream)) {
        return;
      }
    }
  }
  bool Run(const Message& aRequest, Stream& aStream)
  {
    if (IsMisdirected(mId, aRequest, aStream)) {
      return true;
    }
    const auto id = aRequest.Header("Bilberrytrail-Request-Id");
    if (aRequest.mBody == kCrashingBody) {
      Note("server " + mId + ": " + id + " begins to run, and crashes it");
      Crash();
      return false;
    }
    Sleep(kWorkTime);
    return aStream.Write(
      ToText(200,
             { { "Bilberrytrail-Request-Id", id },
               { "Bilberrytrail-Response-Signature", "sig-" + id } },
             "answer to " + id));
  }
  void Crash()
  {
    {
      const std::lock_guard lock(sMutex);
      sArrivals.push_back(Seconds());
      sCrashes.push_back(Seconds());
    }
    const std::lock_guard lock(mMutex);
    ::shutdown(mListener, SHUT_RDWR);
    mListener = -1;
    for (const auto& it : mStreams) {
      ::shutdown(it->Handle(), SHUT_RDWR);
    }
    mStreams.clear();
    std::thread([this] {
      Sleep(kDownTime);
      Open();
    }).detach();
  }

  std::mutex mMutex;
  std::string mId;
  int mListener = -1;
  int mPort = 0;
  std::uint64_t mBorn = 1'700'000'000'000;
  std::vector<std::shared_ptr<Stream>> mStreams;
};

int
Send(const Daemon& aDaemon, const std::string& aId, const std::string& aBody)
{
  auto stream = Connect(OwnHost(), aDaemon.Port());
  if (stream == nullptr) {
    return 0;
  }
  stream->Write(
    ClientRequest("POST", "/order/reels", aId, "key-1", 1000, aBody));
  const auto answer = stream->Read(Clock::now() + 2s);
  return answer && answer->mIsWhole ? answer->mStatus : 0;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto folder = Begin(argc, argv);
  Server store([](const Message& aRequest, Stream& aStream) {
    return sTable.Serve(aRequest, aStream);
  });
  sTable.Put("op", "config", Config(1, { "key-1" }));
  std::array<OrderServer, kServers> servers;
  for (std::size_t n = 0; n < kServers; ++n) {
    servers[n].Start("i-" + std::to_string(n + 1));
  }
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    daemons.push_back(std::make_unique<Daemon>(
      "d" + std::to_string(n + 1), store.Address(), folder));
    daemons.back()->Start();
  }
  for (const auto& it : daemons) {
    it->AwaitReady();
  }
  Sleep(4);
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> running = 0;
  const auto end = Seconds() + kPlayTime;
  double nextCrashing = Seconds();
  for (std::size_t n = 0; Seconds() < end; ++n) {
    const auto& daemon = *daemons[n % kDaemons];
    if (HasTrouble() && Seconds() >= nextCrashing) {
      nextCrashing += kCrashingPeriod;
      ++running;
      std::thread([&, n] {
        const auto id = "crashing-" + std::to_string(n);
        const auto status = Send(daemon, id, kCrashingBody);
        Note("client: " + id + " status " + std::to_string(status));
        --running;
      }).detach();
    }
    ++running;
    std::thread([&, n] {
      const auto id = "sound-" + std::to_string(n);
      const auto status = Send(daemon, id, "one reel of wick 7");
      (status == 200                    ? served
       : status == 503 || status == 429 ? refused
                                        : failed)++;
      if (status != 200) {
        Note("client: " + id + " status " + std::to_string(status));
      }
      --running;
    }).detach();
    Sleep(kSoundPeriod);
  }
  while (running > 0) {
    Sleep(0.01);
  }
  const std::lock_guard lock(sMutex);
  std::size_t late = 0;
  if (sCrashes.size() >= 3) {
    const auto from = sCrashes[2] + kStableWindow;
    late = static_cast<std::size_t>(std::ranges::count_if(
      sArrivals, [&](double aTime) { return aTime > from; }));
  }
  Note("crashes " + std::to_string(sCrashes.size()) +
       ", arrivals later than 3 s after the third one " + std::to_string(late) +
       ", other orders: served " + std::to_string(served) + ", refused " +
       std::to_string(refused) + ", lost " + std::to_string(failed));
  bool isRunning = true;
  for (const auto& it : daemons) {
    isRunning = it->IsRunning() && isRunning;
    it->Kill();
  }
  if (served == 0 || !isRunning) {
    CannotRun("nothing was served");
  }
  Finish(late > kMostRetries);
}
