#include "running_site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <mutex>
#include <thread>

using namespace bilberrytrail;

namespace {

// Exit status of a daemon that was told to stop twice.
constexpr int kExitForced = 5;

// Clients that use the daemons that say they are ready, each one after the
// other, as the platform's balancer does. Keeps what went wrong.
class Load
{
public:
  explicit Load(RunningSite& aSite)
    : mSite(aSite)
  {
    for (int n = 0; n < kClients; ++n) {
      mClients.emplace_back([this, n] { Run(n); });
    }
  }
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Stop()
  {
    mStopping = true;
    for (auto& it : mClients) {
      it.join();
    }
    mClients.clear();
  }
  [[nodiscard]] int Requests() const { return mRequests; }
  [[nodiscard]] std::string Faults()
  {
    const std::lock_guard lock(mMutex);
    return mFaults;
  }

private:
  static constexpr int kClients = 4;
  // About 1.6 s: longer than the others need to learn of a stop.
  static constexpr int kTokens = 80;

  void Run(int aClient)
  {
    for (int n = 0; !mStopping; ++n) {
      const auto daemon = static_cast<std::size_t>(aClient + n) % 3;
      if (!mSite.IsReady(daemon)) {
        continue;
      }
      ++mRequests;
      const std::string name =
        "load-" + std::to_string(aClient) + "-" + std::to_string(n);
      if (aClient == 0) {
        Book(daemon, name);
      } else {
        Complete(daemon, name);
      }
    }
  }

  void Book(std::size_t aDaemon, const std::string& aName)
  {
    const auto booking = mSite.Book(aDaemon, aName, aName);
    if (booking.mStatus / 100 != 2) {
      AddFault(aName + ": " + std::to_string(booking.mStatus) + " " +
               booking.mBody);
    }
  }

  void Complete(std::size_t aDaemon, const std::string& aName)
  {
    const auto answer = mSite.Complete(aDaemon, aName, kTokens);
    if (!answer.mDone || answer.mText != ExpectedText(aName, kTokens)) {
      AddFault(aName + ": " + std::to_string(answer.mStatus) + " " +
               answer.mBody);
    }
  }

  void AddFault(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    mFaults += aText + "\n";
  }

  RunningSite& mSite;
  std::atomic<bool> mStopping = false;
  std::atomic<int> mRequests = 0;
  std::mutex mMutex;
  std::string mFaults;
  std::vector<std::thread> mClients;
};

} // namespace

TEST_CASE("Two daemons that stop at once finish open streams, waiting work "
          "and bookings")
{
  constexpr int kStreams = 30;
  constexpr int kTokens = 60;
  RunningSite site;
  site->SetFault(site->OrderServers()[0].mEndpoint,
                 R"({"book":"slow","delay_ms":1500})");
  const std::size_t home = site.HomeOf("orders-1");
  const std::size_t other = (home + 1) % 3;
  auto booking = std::async(std::launch::async,
                            [&] { return site.Book(other, "stop", "stop"); });
  // More streams than the engines have slots.
  std::vector<std::unique_ptr<BackgroundStream>> streams;
  for (int n = 0; n < kStreams; ++n) {
    const auto daemon = static_cast<std::size_t>(n) % 3;
    streams.push_back(std::make_unique<BackgroundStream>(
      site->Daemons()[daemon].mCallers, "stop " + std::to_string(n), kTokens));
  }
  REQUIRE(site->Await(kPatience, [&] {
    return std::any_of(streams.begin(), streams.end(), [](const auto& it) {
      return it->Tokens() >= 10;
    });
  }));
  site->Daemons()[home].mProcess->Signal(SIGTERM);
  site->Daemons()[other].mProcess->Signal(SIGTERM);
  for (int n = 0; n < kStreams; ++n) {
    const auto answer = streams[static_cast<std::size_t>(n)]->Take();
    CAPTURE(answer.mStatus);
    CAPTURE(answer.mBody);
    CHECK(answer.mDone);
    CHECK(answer.mText == ExpectedText("stop " + std::to_string(n), kTokens));
  }
  const auto booked = booking.get();
  CAPTURE(booked.mBody);
  CHECK(booked.mStatus / 100 == 2);
  CHECK(site.RunsOf("stop") == 1);
  CHECK(site->Daemons()[home].mProcess->Wait(kPatience) == 0);
  CHECK(site->Daemons()[other].mProcess->Wait(kPatience) == 0);
}

TEST_CASE("A rolling stop of all daemons under load cuts and loses no request")
{
  RunningSite site;
  Load load(site);
  for (std::size_t n = 0; n < 3; ++n) {
    site->Daemons()[n].mProcess->Signal(SIGTERM);
    CHECK(site->Daemons()[n].mProcess->Wait(kPatience) == 0);
    site->RestartDaemon(n);
  }
  load.Stop();
  MESSAGE(load.Requests() << " requests during the rolling stop");
  CHECK(load.Requests() > 0);
  CHECK(load.Faults() == "");
}

TEST_CASE("A second SIGTERM ends the process at once")
{
  RunningSite site;
  const std::size_t entry = (site.HomeOf("engine-1") + 1) % 3;
  const auto stream = site.StreamOn(0, entry, "no hurry", 1000);
  auto& daemon = site->Daemons()[entry];
  daemon.mProcess->Signal(SIGTERM);
  REQUIRE(site->Await(kPatience, [&] { return !site.IsReady(entry); }));
  CHECK_FALSE(stream->HasEnded());
  daemon.mProcess->Signal(SIGTERM);
  CHECK(daemon.mProcess->Wait(kPatience) == kExitForced);
  CHECK_FALSE(stream->Take().mDone);
}
