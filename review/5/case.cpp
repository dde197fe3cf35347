// Engines and plain servers in trouble send bytes without end, a few at a time.
// Their callers must have a final answer soon after the route's time-out.

#include "standin.h"

using namespace review;

namespace {

constexpr int kTimeoutMs = 1000;
constexpr double kSlack = 0.5;
constexpr int kDeadlineMs = 4000;
constexpr int kBursts = 3;
constexpr int kRequestsInBurst = 30;
constexpr int kRequests = kBursts * kRequestsInBurst;
// The server sends so many chunks of a byte in each pause.
constexpr int kChunks = 20;
constexpr double kPause = 0.001;
// How long a client waits for the end of an answer.
constexpr double kPatience = kDeadlineMs / 1000.0;

std::atomic<bool> sIsInTrouble = false;

std::vector<std::pair<std::string, std::string>>
AnswerHeaders(const std::string& aId)
{
  return { { "Bilberrytrail-Request-Id", aId },
           { "Bilberrytrail-Response-Signature", "sig-" + aId } };
}

// Writes bytes that are no answer until the caller closes.
void
WriteWithoutEnd(const std::string& aId, Stream& aStream)
{
  std::string head = "HTTP/1.1 200 X\r\n";
  for (const auto& [name, value] : AnswerHeaders(aId)) {
    head += name + ": " + value + "\r\n";
  }
  const auto start = Seconds();
  std::size_t bytes = 0;
  aStream.Write(head + "Transfer-Encoding: chunked\r\n\r\n");
  std::string piece;
  for (int n = 0; n < kChunks; ++n) {
    piece += "1\r\nx\r\n";
  }
  while (aStream.Write(piece)) {
    bytes += kChunks;
    Sleep(kPause);
  }
  Note("server: caller of " + aId + " has closed after " +
       std::to_string(Seconds() - start) + " s and " + std::to_string(bytes) +
       " bytes of the body");
}

bool
ServePlain(const std::string& aServer,
           bool aMayFail,
           const Message& aRequest,
           Stream& aStream)
{
  const auto id = aRequest.Header("Bilberrytrail-Request-Id");
  if (IsMisdirected(aServer, aRequest, aStream)) {
    return true;
  }
  Note("server " + aServer + ": runs " + id);
  if (aMayFail && sIsInTrouble) {
    WriteWithoutEnd(id, aStream);
    return false;
  }
  Sleep(0.015);
  return aStream.Write(ToText(200, AnswerHeaders(id), "answer to " + id));
}

struct Outcome
{
  int mStatus = 0;
  // When the answer was whole or the connection had ended.
  double mTime = 0;
  bool mHasEnded = false;
};

Outcome
Send(const Daemon& aDaemon, const std::string& aId)
{
  auto stream = Connect(OwnHost(), aDaemon.Port());
  if (stream == nullptr) {
    return {};
  }
  const auto start = Seconds();
  stream->Write(ClientRequest(
    "POST", "/order/" + aId, aId, "key-1", kDeadlineMs, "body of " + aId));
  const auto answer =
    stream->Read(Clock::now() +
                 std::chrono::milliseconds(static_cast<int>(kPatience * 1000)));
  Outcome outcome;
  outcome.mTime = Seconds() - start;
  outcome.mStatus = answer ? answer->mStatus : 0;
  outcome.mHasEnded = !stream->mHasTimedOut;
  Note("client: " + aId + " status " + std::to_string(outcome.mStatus) +
       (outcome.mHasEnded ? " ended after " : " no answer after ") +
       std::to_string(outcome.mTime) + " s");
  return outcome;
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
  Server sound([](const Message& aRequest, Stream& aStream) {
    return ServePlain("i-1", false, aRequest, aStream);
  });
  Server other([](const Message& aRequest, Stream& aStream) {
    return ServePlain("i-3", false, aRequest, aStream);
  });
  Server faulty([](const Message& aRequest, Stream& aStream) {
    return ServePlain("i-2", true, aRequest, aStream);
  });
  table.Put("op", "config", Config(1, { "key-1" }));
  table.Put("servers", "i-1", ServerRow(sound.Address(), "shop"));
  table.Put("servers", "i-2", ServerRow(faulty.Address(), "shop"));
  table.Put("servers", "i-3", ServerRow(other.Address(), "shop"));
  Daemon daemon("d1", store.Address(), folder);
  daemon.Start();
  daemon.AwaitReady();
  // The machine is in touch.
  Sleep(4);
  sIsInTrouble = HasTrouble();
  if (sIsInTrouble) {
    Note("server i-2 is in trouble from now on");
  }
  std::vector<std::thread> clients;
  std::vector<Outcome> outcomes(kRequests);
  for (int n = 0; n < kRequests; ++n) {
    clients.emplace_back([&, n] {
      outcomes[static_cast<std::size_t>(n)] =
        Send(daemon, "r" + std::to_string(n));
    });
    if ((n + 1) % kRequestsInBurst == 0) {
      Sleep(1);
    }
  }
  for (auto& it : clients) {
    it.join();
  }
  int unanswered = 0;
  int late = 0;
  int served = 0;
  for (const auto& it : outcomes) {
    const bool isUnanswered = !it.mHasEnded || it.mTime > kTimeoutMs / 1000.0;
    const bool isLate =
      !it.mHasEnded || it.mTime > kTimeoutMs / 1000.0 + kSlack;
    unanswered += isUnanswered ? 1 : 0;
    late += isLate ? 1 : 0;
    served += it.mHasEnded && it.mStatus == 200 ? 1 : 0;
  }
  Note("served " + std::to_string(served) + " of " + std::to_string(kRequests) +
       ", unanswered at the time-out " + std::to_string(unanswered) +
       ", of these half a second later " + std::to_string(late));
  const bool isRunning = daemon.IsRunning();
  daemon.Kill();
  if (served == 0 || !isRunning) {
    CannotRun("nothing was served");
  }
  Finish(unanswered >= 8 && 2 * late > unanswered);
}
