// A store of kept KV cache in trouble answers GET /kv-events with bytes without
// end. The platform kills a daemon that exceeds the memory of its machine, and
// starts it again.

#include "standin.h"

using namespace review;

namespace {

// memory_mb and link_mbps of the machines of the site.
constexpr double kMemoryMb = 110;
constexpr double kLinkMbps = 1000;
constexpr std::size_t kDaemons = 3;
// Copies of the store on the site; one of them is in trouble.
constexpr std::size_t kStores = 3;
constexpr double kTroubleTime = 30;
constexpr double kRestartDelay = 1;
// Two machines at least, and three ends on each of them.
constexpr int kMachinesAtLeast = 2;
constexpr int kEndsAtLeast = 3;

std::atomic<bool> sIsInTrouble = false;

// Writes bytes that are no answer until the caller closes, no faster than the
// link of the caller's machine.
void
WriteWithoutEnd(Stream& aStream)
{
  constexpr std::size_t kPieceBytes = 32768;
  constexpr double kPieceTime = kPieceBytes * 8 / (kLinkMbps * 1e6);
  const std::string piece = "8000\r\n" + std::string(kPieceBytes, 'x') + "\r\n";
  const auto start = Seconds();
  double pieces = 0;
  aStream.Write("HTTP/1.1 200 X\r\nContent-Type: application/json\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
  while (aStream.Write(piece)) {
    ++pieces;
    const auto ahead = start + pieces * kPieceTime - Seconds();
    if (ahead > 0) {
      Sleep(ahead);
    }
  }
  Note("store: the caller of /kv-events has closed after " +
       std::to_string(Seconds() - start) + " s and " +
       std::to_string(pieces * kPieceBytes / 1e6) + " MB");
}

bool
ServeEvents(bool aMayFail, const Message& aRequest, Stream& aStream)
{
  if (!aRequest.mTarget.starts_with("/kv-events")) {
    return aStream.Write(ToText(404, {}, ""));
  }
  if (aMayFail && sIsInTrouble) {
    WriteWithoutEnd(aStream);
    return false;
  }
  Sleep(0.3);
  const Json events{ { "epoch", 1 },
                     { "next", 1 },
                     { "lost", false },
                     { "events", Json::array() },
                     { "clock_ms", static_cast<int>(Seconds() * 1000) } };
  return aStream.Write(
    ToText(200, { { "Content-Type", "application/json" } }, events.dump()));
}

bool
ServePlain(const Message& aRequest, Stream& aStream)
{
  if (IsMisdirected("i-1", aRequest, aStream)) {
    return true;
  }
  const auto id = aRequest.Header("Bilberrytrail-Request-Id");
  Note("server: runs " + id);
  return aStream.Write(
    ToText(200,
           { { "Bilberrytrail-Request-Id", id },
             { "Bilberrytrail-Response-Signature", "sig-" + id } },
           "answer to " + id));
}

// Sends one request. Returns whether it was served.
bool
IsServed(const Daemon& aDaemon, const std::string& aId)
{
  auto stream = Connect(OwnHost(), aDaemon.Port());
  if (stream == nullptr) {
    Note("client: " + aId + " finds no connection");
    return false;
  }
  stream->Write(ClientRequest("GET", "/read/" + aId, aId, "key-1", 1000, ""));
  const auto answer = stream->Read(Clock::now() + 1s);
  Note("client: " + aId + " status " +
       std::to_string(answer ? answer->mStatus : 0));
  return answer && answer->mStatus == 200;
}

struct Machine
{
  std::unique_ptr<Daemon> mDaemon;
  int mEnds = 0;
  double mMostMb = 0;
  std::optional<double> mStartsAt;
};

// Does what the platform does to a process: kills it when it exceeds its
// memory, and starts it again after it has ended.
void
Watch(Machine& aMachine, const std::string& aName)
{
  if (aMachine.mStartsAt) {
    if (Seconds() >= *aMachine.mStartsAt) {
      aMachine.mStartsAt.reset();
      aMachine.mDaemon->Start();
    }
    return;
  }
  const auto megabytes = aMachine.mDaemon->MemoryMb();
  aMachine.mMostMb = std::max(aMachine.mMostMb, megabytes);
  const bool isOver = megabytes > kMemoryMb;
  if (isOver) {
    Note("platform: " + aName + " uses " + std::to_string(megabytes) +
         " MB of " + std::to_string(kMemoryMb) + " MB and is killed");
    aMachine.mDaemon->Kill();
  }
  if (isOver || !aMachine.mDaemon->IsRunning()) {
    ++aMachine.mEnds;
    aMachine.mStartsAt = Seconds() + kRestartDelay;
  }
}

} // namespace

int
main(int argc, char** argv)
{
  const auto folder = Begin(argc, argv);
  Table table;
  Server store([&](const Message& aRequest, Stream& aStream) {
    return table.Serve(aRequest, aStream);
  });
  std::vector<std::unique_ptr<Server>> stores;
  for (std::size_t n = 0; n < kStores; ++n) {
    stores.push_back(
      std::make_unique<Server>([n](const Message& aRequest, Stream& aStream) {
        return ServeEvents(n == 0, aRequest, aStream);
      }));
  }
  Server shop(ServePlain);
  auto config = Config(1, { "key-1" });
  for (std::size_t n = 0; n < kStores; ++n) {
    config["services"].push_back({ { "name", "keep-" + std::to_string(n + 1) },
                                   { "kv_store_addr", stores[n]->Address() },
                                   { "zone", "z1" },
                                   { "kv_capacity_tokens", 293456 },
                                   { "link_mbps", 230000.0 },
                                   { "managed", true } });
  }
  table.Put("op", "config", config);
  table.Put("servers", "i-1", ServerRow(shop.Address(), "shop"));
  std::array<Machine, kDaemons> machines;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    machines[n].mDaemon = std::make_unique<Daemon>(
      "d" + std::to_string(n + 1), store.Address(), folder);
    machines[n].mDaemon->Start();
  }
  for (const auto& it : machines) {
    it.mDaemon->AwaitReady();
  }
  Sleep(4);
  sIsInTrouble = HasTrouble();
  if (sIsInTrouble) {
    Note("the store keep-1 is in trouble from now on");
  }
  int sent = 0;
  int served = 0;
  const auto end = Seconds() + kTroubleTime;
  for (int step = 0; Seconds() < end; ++step) {
    for (std::size_t n = 0; n < kDaemons; ++n) {
      Watch(machines[n], "d" + std::to_string(n + 1));
    }
    if (step % 40 == 0) {
      const auto number = static_cast<std::size_t>(sent++) % kDaemons;
      served +=
        IsServed(*machines[number].mDaemon, "r" + std::to_string(sent)) ? 1 : 0;
    }
    Sleep(0.005);
  }
  int broken = 0;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    Note("d" + std::to_string(n + 1) + ": ended " +
         std::to_string(machines[n].mEnds) + " times, most memory " +
         std::to_string(machines[n].mMostMb) + " MB");
    broken += machines[n].mEnds >= kEndsAtLeast ? 1 : 0;
    machines[n].mDaemon->Kill();
  }
  Note("served " + std::to_string(served) + " of " + std::to_string(sent) +
       " reads");
  Finish(broken >= kMachinesAtLeast);
}
