#pragma once

#include "control_state.h"
#include "home_service.h"
#include "list_runner.h"
#include "release_runner.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/settings/daemon_settings.h>

#include <functional>

namespace bilberrytrail {

// Serves operators on the control thread; docs/PROTOCOL-OPERATOR.md has the
// calls.
class OperatorService : public HttpHandler
{
public:
  OperatorService(const DaemonSettings& aSettings,
                  ControlState& aState,
                  ReleaseRunner& aReleases,
                  ListRunner& aList,
                  HomeService& aHomes,
                  std::function<void()> aDrain);

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  [[nodiscard]] bool IsOperator(const HttpRequest& aRequest) const;
  [[nodiscard]] HttpResponse Route(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Apply(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Show(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Status();
  [[nodiscard]] HttpResponse Drain(const HttpRequest& aRequest);

  const DaemonSettings& mSettings;
  ControlState& mState;
  ReleaseRunner& mReleases;
  ListRunner& mList;
  HomeService& mHomes;
  std::function<void()> mDrain;
};

} // namespace bilberrytrail
