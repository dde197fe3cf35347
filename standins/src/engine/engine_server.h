#pragma once

#include "common/fault.h"
#include "common/json_server.h"
#include "engine/attempt.h"
#include "engine/engine_state.h"
#include "engine/load_reports.h"
#include "engine/transfer.h"

#include <string>

namespace bilberrytrail::standins {

// A model engine that stands in for a real one.
class EngineServer
{
public:
  EngineServer(Loop& aLoop, EngineSettings aSettings);

  [[nodiscard]] HttpHandler& Handler() noexcept { return mServer; }

  // Makes a version ready before the first order.
  void Preload(const ModelId& aModel, const VersionId& aVersion);

private:
  void AddAttemptRoutes();
  void AddOrderRoutes();
  void AddBlockRoutes();
  void AddTestRoutes();
  [[nodiscard]] HttpResponse Obey(const Json& aJson);
  [[nodiscard]] HttpResponse EvictBlocks(const Json& aJson);
  void Load(const ModelId& aModel, const VersionId& aVersion);
  [[nodiscard]] bool AwaitWeights();
  void StreamEvents(std::uint64_t aAfter, HttpResponder& aResponder);
  void ReportLoad();

  FaultTable mNoFaults;
  JsonServer mServer;
  EngineContext mContext;
  AttemptRunner mRunner;
  BlockTransfer mTransfer;
  LoadReports mReports;
  std::uint64_t mLoads = 0;
};

} // namespace bilberrytrail::standins
