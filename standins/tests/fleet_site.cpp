#include "fleet_site.h"

#include "silent_port.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace bilberrytrail::standins {

namespace {

constexpr Duration kGatePeriod = 10ms;

// An address of this process's own on loopback, so that a free port of it stays
// free whatever runs beside.
std::string
OwnAddress()
{
  const auto pid = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + (pid >> 8U) % 250) + "." +
         std::to_string(pid % 256) + ".1";
}

} // namespace

void
TableGate::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  while (mIsClosed && mLoop.Sleep(kGatePeriod)) {
  }
  if (mAnswerTime > Duration(0)) {
    (void)mLoop.Sleep(mAnswerTime);
  }
  mTable.Handle(aRequest, aResponder);
}

FleetSite::FleetSite()
  : mClient(std::make_unique<HttpClient>(mLoop))
{
  for (int n = 0; n < 4; ++n) {
    mServers.push_back(
      std::make_unique<FleetServer>(mLoop, "i-" + std::to_string(n)));
    mEndpoints.push_back(Listen(*mServers.back()));
    PutServer(static_cast<std::size_t>(n));
  }
  PutConfig(1, "key");
}

Endpoint
FleetSite::Listen(HttpHandler& aHandler)
{
  mHttpServers.push_back(std::make_unique<HttpServer>(mLoop, HttpLimits()));
  const auto port = mHttpServers.back()->Listen({ "127.0.0.1", 0 });
  REQUIRE(port.has_value());
  mHttpServers.back()->Serve(aHandler);
  return { "127.0.0.1", port.value() };
}

// Free ports are found by listening on all of them for a moment: a port that is
// closed before the next one is sought may be found twice.
EntrySettings
FleetSite::MakeSettings(int aNumber)
{
  EntrySettings settings;
  settings.mName = DaemonId("d" + std::to_string(aNumber));
  settings.mZone = ZoneId("z");
  mGates.push_back(std::make_unique<TableGate>(mLoop, mTable));
  settings.mStore = Listen(*mGates.back());
  if (mHasLinks) {
    mLinks.push_back(std::make_unique<FaultProxy>(Endpoint{ "127.0.0.1", 0 },
                                                  settings.mStore));
    settings.mStore = mLinks.back()->Address();
  }
  settings.mWeightsWithin = mWeightsWithin;
  settings.mStopTime = mStopTime;
  settings.mMemoryMb = mMemoryMb;
  settings.mRetryWindow = mRetryWindow;
  settings.mRetrySlack = mRetrySlack;
  std::vector<std::unique_ptr<HttpServer>> probes;
  for (auto* it : { &settings.mCallers,
                    &settings.mReadiness,
                    &settings.mPeers,
                    &settings.mMetrics }) {
    probes.push_back(std::make_unique<HttpServer>(mLoop, HttpLimits()));
    const auto port = probes.back()->Listen({ OwnAddress(), 0 });
    REQUIRE(port.has_value());
    *it = { OwnAddress(), port.value() };
  }
  return settings;
}

void
FleetSite::PutConfig(std::uint64_t aVersion, const std::string& aKey)
{
  mTable.Put("op", "config", SmallSiteConfig(aVersion, { aKey }));
}

void
FleetSite::PutServer(const FleetServer& aServer,
                     const Endpoint& aEndpoint,
                     const std::string& aService,
                     const std::string& aState)
{
  mTable.Put(
    "servers", aServer.Id(), ServerRow(aServer, aEndpoint, aService, aState));
}

void
FleetSite::PutServer(std::size_t aNumber, const std::string& aState)
{
  PutServer(*mServers[aNumber],
            mEndpoints[aNumber],
            aNumber < 2 ? "llm" : "shop",
            aState);
}

void
FleetSite::StartDaemon()
{
  mSettings.push_back(MakeSettings(static_cast<int>(mDaemons.size())));
  mDaemons.push_back(
    std::make_unique<EntryDaemon>(mSettings.back(), *mPlatform));
  REQUIRE(mDaemons.back()->Start().has_value());
}

void
FleetSite::Run(int aDaemons, const std::function<void()>& aBody)
{
  for (int n = 0; n < aDaemons; ++n) {
    StartDaemon();
  }
  mLoop.Spawn([&] {
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      CHECK(Await([&] { return Readiness(n) == 200; }));
    }
    aBody();
    mTable.SetFault(RowTableFault::None);
    for (auto& it : mGates) {
      it->mIsClosed = false;
    }
    for (auto& it : mDaemons) {
      it->Drain();
    }
    // The daemons end on their own threads while this loop still serves them.
    std::atomic<bool> hasEnded = false;
    std::thread joiner([&] {
      for (auto& it : mDaemons) {
        it->Join();
      }
      hasEnded = true;
    });
    CHECK(Await([&] { return hasEnded.load(); }));
    joiner.join();
    mLoop.Stop();
  });
  mLoop.Run();
  mDaemons.clear();
}

bool
FleetSite::Await(const std::function<bool()>& aHolds)
{
  const auto end = MonotonicNow() + 15s;
  while (!aHolds()) {
    if (MonotonicNow() >= end || !mLoop.Sleep(10ms)) {
      return false;
    }
  }
  return true;
}

void
FleetSite::SetDeadlyPart(const std::string& aPart,
                         Duration aDownTime,
                         CrashKind aKind)
{
  for (std::size_t n = 0; n < 2; ++n) {
    mServers[n]->SetDeadlyPart(aPart, aKind, [this, n, aDownTime, aKind] {
      OnCrash(n, aDownTime, aKind);
    });
  }
}

void
FleetSite::SetDeadlyBody(const std::string& aBody,
                         Duration aDownTime,
                         CrashKind aKind)
{
  for (std::size_t n = 0; n < mServers.size(); ++n) {
    mServers[n]->SetDeadlyBody(aBody, aKind, [this, n, aDownTime, aKind] {
      OnCrash(n, aDownTime, aKind);
    });
  }
}

void
FleetSite::OnCrash(std::size_t aNumber, Duration aDownTime, CrashKind aKind)
{
  mHttpServers[aNumber]->StopAccepting();
  std::shared_ptr<SilentPort> silent;
  if (aKind == CrashKind::Silent) {
    silent = std::make_shared<SilentPort>(mEndpoints[aNumber]);
  }
  mLoop.Spawn([this, aNumber, aDownTime, silent]() mutable {
    (void)mLoop.Sleep(aDownTime);
    silent.reset();
    auto server = std::make_unique<HttpServer>(mLoop, HttpLimits());
    CHECK(server->Listen(mEndpoints[aNumber]).has_value());
    mServers[aNumber]->Restart();
    server->Serve(*mServers[aNumber]);
    mHttpServers[aNumber] = std::move(server);
    PutServer(aNumber);
  });
}

Result<HttpResponse, HttpError>
FleetSite::Send(std::size_t aDaemon,
                const std::string& aId,
                const std::string& aTarget,
                const std::string& aKey,
                const std::string& aParts)
{
  return Send(aDaemon, SmallSiteRequest(aId, aTarget, aKey, 4s, aParts));
}

Result<HttpResponse, HttpError>
FleetSite::Send(std::size_t aDaemon, const HttpRequest& aRequest)
{
  return mClient->Call(mSettings[aDaemon].mCallers, aRequest, 6s);
}

unsigned
FleetSite::Status(std::size_t aDaemon,
                  const std::string& aId,
                  const std::string& aTarget,
                  const std::string& aKey)
{
  const auto response = Send(aDaemon, aId, aTarget, aKey);
  return response ? response.value().mStatus : 0;
}

unsigned
FleetSite::Readiness(std::size_t aDaemon)
{
  HttpRequest request;
  request.mTarget = "/ready";
  const auto response =
    mClient->Call(mSettings[aDaemon].mReadiness, request, 1s);
  return response ? response.value().mStatus : 0;
}

std::vector<Instant>
FleetSite::Times(const std::vector<Instant>& (FleetServer::*aTimes)()
                   const noexcept) const
{
  std::vector<Instant> times;
  for (const auto& it : mServers) {
    const auto& own = ((*it).*aTimes)();
    times.insert(times.end(), own.begin(), own.end());
  }
  std::ranges::sort(times);
  return times;
}

std::string
FleetSite::Runs() const
{
  std::string text;
  for (const auto& server : mServers) {
    for (const auto& [id, count] : server->Runs()) {
      text += id + ":" + std::to_string(count) + " ";
    }
  }
  return text;
}

} // namespace bilberrytrail::standins
