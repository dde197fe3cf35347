#pragma once

#include "common/fault.h"
#include "common/json_server.h"
#include "platform/lagging_list.h"
#include "platform/table.h"
#include "platform/weight_store.h"

#include <map>
#include <string>

namespace bilberrytrail::standins {

// Settings of a platform that stands in for the real one.
struct PlatformSettings
{
  Duration mListLag{};
  Duration mDownloadTime = 2s;
  std::uint64_t mFullSpeedDownloads = 2;
  std::uint64_t mMostDownloads = 8;
};

// Table service, object store, VM list and weight store, with fault switches
// for the parts "table", "objects", "list" and "weights".
class PlatformServer
{
public:
  PlatformServer(Loop& aLoop, const PlatformSettings& aSettings);

  [[nodiscard]] HttpHandler& Handler() noexcept { return mServer; }

private:
  struct Counts
  {
    std::uint64_t mReads = 0;
    std::uint64_t mWrites = 0;
    std::uint64_t mConflicts = 0;
    std::uint64_t mObjectReads = 0;
    std::uint64_t mObjectWrites = 0;
    std::uint64_t mListReads = 0;
    // Reads answered with "unchanged".
    std::uint64_t mListUnchanged = 0;
  };

  void AddTableRoutes();
  void AddObjectRoutes();
  void AddListRoutes();
  [[nodiscard]] HttpResponse Commit(const Json& aJson);
  [[nodiscard]] HttpResponse SetList(const HttpRequest& aRequest);
  [[nodiscard]] Json Stats() const;

  FaultTable mFaults;
  JsonServer mServer;
  Table mTable;
  std::map<std::string, std::string> mObjects;
  LaggingList mList;
  WeightStore mWeights;
  Counts mCounts;
};

} // namespace bilberrytrail::standins
