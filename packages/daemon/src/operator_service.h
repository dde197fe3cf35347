#pragma once

#include "control_state.h"
#include "daemon_metrics.h"
#include "home_service.h"
#include "list_runner.h"
#include "release_runner.h"
#include "thread_context.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/settings/daemon_settings.h>

#include <functional>

namespace bilberrytrail {

// Serves operators on the control thread; docs/PROTOCOL-OPERATOR.md has the
// calls.
class OperatorService : public HttpHandler
{
public:
  // aDrain begins the planned stop of this daemon.
  OperatorService(const DaemonSettings& aSettings,
                  ThreadContext& aThread,
                  ControlState& aState,
                  ReleaseRunner& aReleases,
                  ListRunner& aList,
                  HomeService& aHomes,
                  const DaemonMetrics& aMetrics,
                  std::function<void()> aDrain);

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  [[nodiscard]] bool IsOperator(const HttpRequest& aRequest) const;
  [[nodiscard]] HttpResponse Route(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Apply(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Show(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse ShowNumber(const ProductId& aProduct,
                                        std::string_view aNumber);
  [[nodiscard]] HttpResponse Log(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Histograms(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Status();
  [[nodiscard]] HttpResponse ListQuarantine();
  [[nodiscard]] HttpResponse ClearQuarantine(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Drain(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse DrainDaemon(const std::string& aName);

  const DaemonSettings& mSettings;
  ThreadContext& mThread;
  ControlState& mState;
  ReleaseRunner& mReleases;
  ListRunner& mList;
  HomeService& mHomes;
  const DaemonMetrics& mMetrics;
  std::function<void()> mDrain;
};

} // namespace bilberrytrail
