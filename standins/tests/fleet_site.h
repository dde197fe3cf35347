#pragma once

#include "common/fault_proxy.h"
#include "fleet/fleet_rows.h"
#include "fleet/fleet_server.h"
#include "fleet/row_table.h"

#include <bilberrytrail/entry/entry_daemon.h>
#include <bilberrytrail/fleet/fleet_platform.h>
#include <bilberrytrail/runtime/http_client.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bilberrytrail::standins {

// Passes the calls of one daemon to the table service, or holds them back as a
// network that is cut, or a daemon that is frozen, would.
class TableGate final : public HttpHandler
{
public:
  TableGate(Loop& aLoop, HttpHandler& aTable)
    : mLoop(aLoop)
    , mTable(aTable)
  {
  }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

  bool mIsClosed = false;
  // Time that each answer is under way, as a large one on a narrow link.
  Duration mAnswerTime{};

private:
  Loop& mLoop;
  HttpHandler& mTable;
};

// A site of the fleet on loopback: the table service, two engines, two servers
// of a plain service and some daemons, all in this process.
class FleetSite
{
public:
  FleetSite();

  // Starts another daemon; it is ready some time later.
  void StartDaemon();
  // Runs the body on a fiber beside the site, with so many daemons.
  void Run(int aDaemons, const std::function<void()>& aBody);

  void PutConfig(std::uint64_t aVersion, const std::string& aKey);
  void PutServer(const FleetServer& aServer,
                 const Endpoint& aEndpoint,
                 const std::string& aService,
                 const std::string& aState = "ready");
  // Makes the engines crash on prompts with this part; they are back after a
  // time.
  void SetDeadlyPart(const std::string& aPart,
                     Duration aDownTime,
                     CrashKind aKind = CrashKind::Reset);
  // Makes all servers crash on requests with this body.
  void SetDeadlyBody(const std::string& aBody,
                     Duration aDownTime,
                     CrashKind aKind = CrashKind::Reset);
  // Puts the row of a server of the site.
  void PutServer(std::size_t aNumber, const std::string& aState = "ready");
  [[nodiscard]] Result<HttpResponse, HttpError> Send(
    std::size_t aDaemon,
    const std::string& aId,
    const std::string& aTarget,
    const std::string& aKey = "key",
    const std::string& aParts = "a:10,b:10");
  [[nodiscard]] Result<HttpResponse, HttpError> Send(
    std::size_t aDaemon,
    const HttpRequest& aRequest);
  [[nodiscard]] unsigned Status(std::size_t aDaemon,
                                const std::string& aId,
                                const std::string& aTarget,
                                const std::string& aKey = "key");
  [[nodiscard]] unsigned Readiness(std::size_t aDaemon);
  // Waits up to 15 s, which bounds a hung test only.
  [[nodiscard]] bool Await(const std::function<bool()>& aHolds);
  [[nodiscard]] std::string Runs() const;
  // Returns the times that all servers recorded, in order.
  [[nodiscard]] std::vector<Instant> Times(
    const std::vector<Instant>& (FleetServer::*aTimes)() const noexcept) const;

  // The setting weights.within of the daemons that start from now on.
  Duration mWeightsWithin = EntrySettings().mWeightsWithin;
  // The setting daemon.memory_mb of the daemons that start from now on.
  double mMemoryMb = 0;
  // The settings of the retry allowance of the daemons that start from now on.
  // They may repeat some sends soon after their start, when they take their
  // part of the slack for that of a daemon of the largest sites.
  Duration mRetryWindow = 100ms;
  double mRetrySlack = 25'000;
  // The time that the daemons that start from now on have to stop.
  Duration mStopTime = EntrySettings().mStopTime;
  Loop mLoop;
  RowTable mTable{ mLoop };
  std::vector<std::unique_ptr<FleetServer>> mServers;
  std::vector<Endpoint> mEndpoints;
  std::unique_ptr<EntryPlatform> mPlatform = MakeFleetPlatform();
  std::vector<std::unique_ptr<EntryDaemon>> mDaemons;
  std::vector<EntrySettings> mSettings;
  // The way of each daemon to the table service: first a link, if those that
  // start have one, then a gate.
  bool mHasLinks = false;
  std::vector<std::unique_ptr<FaultProxy>> mLinks;
  std::vector<std::unique_ptr<TableGate>> mGates;

private:
  Endpoint Listen(HttpHandler& aHandler);
  EntrySettings MakeSettings(int aNumber);
  void OnCrash(std::size_t aNumber,
               Duration aDownTime,
               CrashKind aKind = CrashKind::Reset);

  std::vector<std::unique_ptr<HttpServer>> mHttpServers;
  std::unique_ptr<HttpClient> mClient;
};

} // namespace bilberrytrail::standins
