#pragma once

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberrytrail::standins {

// Stands in for a backend server of the fleet: a plain service, or an engine
// that streams events for paths with "/stream/" and takes orders to load
// weights. Counts how often each request ran.
class FleetServer final : public HttpHandler
{
public:
  FleetServer(Loop& aLoop, std::string aId)
    : mLoop(aLoop)
    , mId(std::move(aId))
  {
  }

  [[nodiscard]] const std::string& Id() const noexcept { return mId; }
  [[nodiscard]] std::uint64_t Weights() const noexcept { return mWeights; }
  // Runs by request id.
  [[nodiscard]] const std::map<std::string, int>& Runs() const noexcept
  {
    return mRuns;
  }
  // Headers of the last request that ran.
  [[nodiscard]] const HttpHeaders& LastHeaders() const noexcept
  {
    return mLastHeaders;
  }
  // Fencing numbers of the orders taken.
  [[nodiscard]] const std::vector<std::uint64_t>& Fences() const noexcept
  {
    return mFences;
  }

  // Arrival times of all requests, refused ones included.
  [[nodiscard]] const std::vector<Instant>& Arrivals() const noexcept
  {
    return mArrivals;
  }

  // Names a limit, in requests per second, in every answer; empty for none.
  void SetLimit(std::string aLimit) { mLimit = std::move(aLimit); }
  // Refuses requests as not run while set.
  void SetFull(bool aIsFull) noexcept { mIsFull = aIsFull; }
  // Breaks streams off behind so many events; 0 for never.
  void SetCutAfter(int aEvents) noexcept { mCutAfter = aEvents; }
  void SetEventTime(Duration aTime) noexcept { mEventTime = aTime; }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  // Adds the named limit to the headers of an answer.
  [[nodiscard]] HttpHeaders WithLimit(HttpHeaders aHeaders) const;
  void Run(const HttpRequest& aRequest, HttpResponder& aResponder);
  void Stream(const HttpRequest& aRequest, HttpResponder& aResponder);
  void TakeOrder(const HttpRequest& aRequest, HttpResponder& aResponder);

  Loop& mLoop;
  const std::string mId;
  std::uint64_t mWeights = 1;
  std::uint64_t mOrders = 0;
  bool mIsFull = false;
  int mCutAfter = 0;
  Duration mEventTime = 5ms;
  std::map<std::string, int> mRuns;
  HttpHeaders mLastHeaders;
  std::vector<std::uint64_t> mFences;
  std::vector<Instant> mArrivals;
  std::string mLimit;
};

} // namespace bilberrytrail::standins
