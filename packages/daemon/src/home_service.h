#pragma once

#include "control_view.h"
#include "health_watch.h"
#include "home_message.h"
#include "homed_server.h"
#include "kept_cache.h"
#include "quarantine_service.h"
#include "thread_context.h"

#include <bilberrytrail/settings/daemon_settings.h>

#include <map>
#include <mutex>
#include <vector>

namespace bilberrytrail {

// What an entry daemon asks the home of servers before it chooses one.
struct EstimateQuery
{
  std::vector<ServerId> mServers;
  AccountId mAccount;
  WorkClass mClass = WorkClass::Short;
  ModelId mModel;
  VersionId mVersion;
  double mPromptTokens = 0;
  double mAnswerTokens = 0;
  std::vector<BlockId> mBlocks;
};

// The home's answer for one server.
struct ServerEstimate
{
  ServerId mServer;
  // The server takes new work and, for engines, serves the version.
  bool mReady = false;
  Duration mQueueWait{};
  Duration mService{};
  double mPrefillTokensPerSecond = 0;
  std::uint32_t mResidentBlocks = 0;
  // Blocks from the start that will be resident after the wait, because other
  // requests import or compute them; 0 when there are no such blocks.
  std::uint32_t mPendingBlocks = 0;
  Duration mPendingWait{};
  // Below 1 while the server is slow for a moment: its times are as many times
  // longer.
  double mWeight = 1;
};

// Encodes and decodes both for calls between daemons.
[[nodiscard]] Json
ToJson(const EstimateQuery& aQuery);
[[nodiscard]] Result<EstimateQuery>
ReadEstimateQuery(const Json& aJson);
[[nodiscard]] Json
ToJson(const std::vector<ServerEstimate>& aEstimates);
[[nodiscard]] Result<std::vector<ServerEstimate>>
ReadServerEstimates(const Json& aJson);

// The backend servers that this daemon is home to. Thread-safe.
class HomeService
{
public:
  HomeService(const DaemonSettings& aSettings, ControlViewHolder& aViews);

  [[nodiscard]] KeptCache& Cache() noexcept { return mCache; }
  // Returns the server when the platform lists it, else null. A daemon that
  // is asked for a server of another home serves it all the same: the asker's
  // view is newer or older, and the difference costs only speed.
  [[nodiscard]] HomedServerPtr Find(const ServerId& aServer);
  [[nodiscard]] QuarantineService& GetQuarantine() noexcept
  {
    return mQuarantine;
  }
  // Returns the servers held now.
  [[nodiscard]] std::vector<HomedServerPtr> Servers() const;
  [[nodiscard]] std::vector<ServerEstimate> Estimate(
    const EstimateQuery& aQuery);
  // Returns the newest view.
  [[nodiscard]] ControlViewPtr View() const noexcept { return mViews.Load(); }

  // Runs a request to its end on the calling fiber.
  void Run(ThreadContext& aThread,
           const HomeRequest& aRequest,
           FrameSink& aSink);
  // Takes in a new view: servers that this daemon is no longer home to are
  // drained, and forgotten when nothing runs on them.
  void OnView(const ControlView& aView);
  // Runs the timers of all queues.
  void Tick(Instant aNow);
  // Refuses all waiting work, which its entries then offer elsewhere.
  void DrainAll();

private:
  // Returns whether this daemon's list has the server as leaving; it then gets
  // no new work, whatever the asker's view says.
  [[nodiscard]] bool IsLeaving(const ServerId& aServer) const;
  // Adds what other requests are doing about the prompt's blocks.
  void NotePending(const EstimateQuery& aQuery,
                   Instant aNow,
                   ServerEstimate& aEstimate);
  // Returns the weight for one request of the class, 1 for a probe.
  [[nodiscard]] double WeightFor(const ServerId& aServer, WorkClass aClass);
  void RunOnEngine(ThreadContext& aThread,
                   const HomedServerPtr& aServer,
                   const HomeRequest& aRequest,
                   FrameSink& aSink);

  const DaemonSettings& mSettings;
  ControlViewHolder& mViews;
  KeptCache mCache;
  HealthWatch mHealth;
  QuarantineService mQuarantine;
  mutable std::mutex mMutex;
  std::map<ServerId, HomedServerPtr> mServers;
  bool mIsStopping = false;
};

} // namespace bilberrytrail
