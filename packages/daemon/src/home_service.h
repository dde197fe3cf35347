#pragma once

#include "control_view.h"
#include "estimate_message.h"
#include "health_watch.h"
#include "home_message.h"
#include "homed_server.h"
#include "kept_cache.h"
#include "quarantine_service.h"
#include "thread_context.h"

#include <bilberrytrail/settings/daemon_settings.h>

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace bilberrytrail {

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
  // Returns whether the object is the one that is held now for its name.
  [[nodiscard]] bool Holds(const HomedServer& aServer) const;
  // Returns the servers held now.
  [[nodiscard]] std::vector<HomedServerPtr> Servers() const;
  [[nodiscard]] std::vector<ServerEstimate> Estimate(
    const EstimateQuery& aQuery);
  // Returns the servers held now that stand in the list and match, with what a
  // request of the query would meet there. Takes no probe.
  using ListedPredicate = std::function<bool(const BackendView&)>;
  [[nodiscard]] std::vector<ServerEstimate> EstimateHeld(
    const EstimateQuery& aQuery,
    const ListedPredicate& aMatches);
  // Returns the newest view.
  [[nodiscard]] ControlViewPtr View() const noexcept { return mViews.Load(); }

  // Runs a request to its end on the calling fiber. The last frame tells how
  // the server stands. A request whose entry did not ask is sent back when
  // its server would not take it at once.
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
  // Returns the estimate for one server but for its weight.
  [[nodiscard]] ServerEstimate EstimateFor(const HomedServer& aServer,
                                           const EstimateQuery& aQuery,
                                           Instant aNow);
  // Returns what there is to say of the request's server now. Takes no probe.
  [[nodiscard]] ServerEstimate Report(const HomedServer& aServer,
                                      const HomeRequest& aRequest);
  void RunOn(ThreadContext& aThread,
             const HomedServerPtr& aServer,
             const HomeRequest& aRequest,
             FrameSink& aSink);
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
