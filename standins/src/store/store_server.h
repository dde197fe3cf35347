#pragma once

#include "common/fault.h"
#include "common/json_server.h"
#include "common/rate_limiter.h"
#include "store/block_table.h"
#include "store/link_meter.h"

namespace bilberrytrail::standins {

// Settings of a store VM that stands in for a real one. Rates are in bytes
// per second, 0 for no limit.
struct StoreSettings
{
  BlockTableLimits mLimits;
  double mLinkBytesPerSecond = 0;
  double mMemoryBytesPerSecond = 0;
  double mDiskBytesPerSecond = 0;
  // Time over which the use of the link is counted.
  Duration mMeterWindow = 1s;
};

// A store VM: calls of the control interface under the fault switch "calls",
// bytes of blocks at /blocks/ID under "bytes". Modes "full" and "corrupt"
// belong to "calls" and "bytes".
class StoreServer
{
public:
  StoreServer(Loop& aLoop, const StoreSettings& aSettings);

  [[nodiscard]] HttpHandler& Handler() noexcept { return mServer; }

private:
  void AddCallRoutes();
  void AddByteRoutes();
  void AddTestRoutes();
  [[nodiscard]] HttpResponse Reserve(const Json& aJson);
  [[nodiscard]] HttpResponse Pin(const Json& aJson);
  [[nodiscard]] HttpResponse Unpin(const Json& aJson);
  [[nodiscard]] HttpResponse ReadInventory();
  [[nodiscard]] HttpResponse ReadBytes(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse WriteBytes(const HttpRequest& aRequest);
  // Waits until tier and link have moved the bytes.
  [[nodiscard]] bool Move(StoreTier aTier, std::uint64_t aBytes);
  void Restart();

  Loop& mLoop;
  StoreSettings mSettings;
  FaultTable mFaults;
  JsonServer mServer;
  BlockTable mTable;
  RateLimiter mLink;
  LinkMeter mMeter;
  RateLimiter mMemory;
  RateLimiter mDisk;
  std::uint64_t mIncarnation;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mReadBytes = 0;
  std::uint64_t mWrittenBytes = 0;
  std::uint64_t mRefusedReads = 0;
  std::uint64_t mPinsAsked = 0;
};

} // namespace bilberrytrail::standins
