#pragma once

#include "port_block.h"
#include "process.h"
#include "site_call.h"

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Shape of a local site of real processes on the loopback address.
struct SiteShape
{
  std::size_t mDaemons = 3;
  std::size_t mEngines = 3;
  std::size_t mOrderServers = 1;
  // Availability zones over which all are spread in turn.
  std::size_t mZones = 1;
  // Every engine has a store VM.
  bool mStores = true;
  std::vector<std::string> mEngineOptions;
  std::vector<std::string> mStoreOptions;
  std::vector<std::string> mOrderOptions;
  std::vector<std::string> mPlatformOptions;
  // Lines of settings by section, besides addresses and names.
  std::map<std::string, std::string> mSettings;
};

// One process of a site and where it listens.
struct SiteProcess
{
  std::string mName;
  std::string mZone;
  Endpoint mEndpoint;
  // Daemons: the addresses for callers and operators.
  Endpoint mCallers;
  Endpoint mOperators;
  std::unique_ptr<Process> mProcess;
};

// A site of stand-ins and daemons. All processes end with the object.
//
//   Site site(SiteShape{});
//   site.Start();
//   site.ApplyRelease(1, note);
//   auto answer = site.Complete(0, "token", "prompt", 8);
class Site
{
public:
  explicit Site(SiteShape aShape);
  ~Site();

  [[nodiscard]] std::vector<SiteProcess>& Daemons() { return mDaemons; }
  [[nodiscard]] std::vector<SiteProcess>& Engines() { return mEngines; }
  [[nodiscard]] std::vector<SiteProcess>& Stores() { return mStores; }
  [[nodiscard]] std::vector<SiteProcess>& OrderServers() { return mOrders; }
  [[nodiscard]] SiteProcess& Platform() { return mPlatform; }
  // Folder with the settings and outputs of all processes.
  [[nodiscard]] const std::string& Folder() const { return mFolder; }
  // Token of the site's operators.
  [[nodiscard]] static std::string OperatorToken() { return "operator-token"; }

  // Starts everything and waits until each daemon answers.
  void Start();
  // Starts daemon n again with its settings, after it has ended.
  void RestartDaemon(std::size_t aDaemon);
  void RestartEngine(std::size_t aEngine);
  // Sends the present processes to the platform's list; those named are
  // listed as leaving or left out.
  void PublishList(const std::vector<std::string>& aLeaving = {},
                   const std::vector<std::string>& aAbsent = {});
  // Sets faults of a stand-in.
  void SetFault(const Endpoint& aEndpoint, const std::string& aJson);

  // Makes one HTTP call; a failed exchange has status 0 and the reason as its
  // body.
  [[nodiscard]] HttpResponse Call(const Endpoint& aEndpoint,
                                  const HttpRequest& aRequest,
                                  Duration aTimeout = 30s);
  // Calls an operator endpoint.
  [[nodiscard]] HttpResponse Operate(std::size_t aDaemon,
                                     const std::string& aMethod,
                                     const std::string& aTarget,
                                     const std::string& aBody = {});
  // Waits until daemon n has the release of the product in force.
  [[nodiscard]] bool AwaitRelease(std::size_t aDaemon,
                                  int aNumber,
                                  Duration aTimeout);
  // Waits until the condition holds; false after the time.
  template<class Condition>
  [[nodiscard]] bool Await(Duration aTimeout, Condition aCondition)
  {
    const auto end = MonotonicNow() + aTimeout;
    while (!aCondition()) {
      if (MonotonicNow() >= end) {
        return false;
      }
      Pause();
    }
    return true;
  }

private:
  void Pause();
  void StartPlatform();
  void StartEngines();
  void StartDaemon(SiteProcess& aDaemon);
  void AwaitDaemon(SiteProcess& aDaemon);
  SiteProcess StartStandIn(const std::string& aProgram,
                           const std::string& aName,
                           std::size_t aIndex,
                           const std::vector<std::string>& aOptions,
                           std::uint16_t aPort = 0);
  [[nodiscard]] std::string ZoneOf(std::size_t aIndex) const;

  SiteShape mShape;
  std::string mFolder;
  PortBlock mPorts;
  SiteProcess mPlatform;
  std::vector<SiteProcess> mEngines;
  std::vector<SiteProcess> mStores;
  std::vector<SiteProcess> mOrders;
  std::vector<SiteProcess> mDaemons;
};

// A release note for a product with the model "guide", the service "orders"
// and accounts "large" and "small" whose tokens are "token-large" and
// "token-small".
[[nodiscard]] std::string
SampleNote(const std::string& aProduct,
           int aAgainst,
           const std::string& aVersion,
           std::size_t aServers);

} // namespace bilberrytrail
