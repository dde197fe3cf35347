#pragma once

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail::standins {

// A run of a request, as it began at a server.
struct FleetRun
{
  Instant mAt;
  // Version of the weights loaded then.
  std::uint64_t mWeights = 0;
};

// What happens to the open connections of a server that crashes.
enum class CrashKind : unsigned char
{
  // They are reset.
  Reset,
  // Its host loses power: they fall silent, and are reset when it is back.
  Silent
};

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

  // Number of orders received, including those not executed yet or at all.
  [[nodiscard]] std::uint64_t OrdersReceived() const noexcept
  {
    return mOrdersReceived;
  }

  // Arrival times of all requests, refused ones included.
  [[nodiscard]] const std::vector<Instant>& Arrivals() const noexcept
  {
    return mArrivals;
  }

  // Runs in the order in which they began.
  [[nodiscard]] const std::vector<FleetRun>& Begun() const noexcept
  {
    return mBegun;
  }

  // Number of times that the server has started.
  [[nodiscard]] std::uint64_t Starts() const noexcept { return mStarts; }
  // Times of its crashes, and arrival times of the requests that crash it.
  [[nodiscard]] const std::vector<Instant>& Crashes() const noexcept
  {
    return mCrashes;
  }
  [[nodiscard]] const std::vector<Instant>& DeadlyArrivals() const noexcept
  {
    return mDeadlyArrivals;
  }

  // Crashes the server when it begins to answer a prompt with this part: all
  // its answers break off, and aOnCrash is to close its port.
  void SetDeadlyPart(std::string aPart,
                     CrashKind aKind,
                     std::function<void()> aOnCrash)
  {
    mDeadlyPart = std::move(aPart);
    mCrashKind = aKind;
    mOnCrash = std::move(aOnCrash);
  }
  // Crashes the server when it begins to run a request with this body.
  void SetDeadlyBody(std::string aBody,
                     CrashKind aKind,
                     std::function<void()> aOnCrash)
  {
    mDeadlyBody = std::move(aBody);
    mCrashKind = aKind;
    mOnCrash = std::move(aOnCrash);
  }
  // The last start in Unix milliseconds.
  [[nodiscard]] std::uint64_t StartedAtMs() const noexcept
  {
    return mStartedAtMs;
  }
  // Starts the server again.
  void Restart() noexcept
  {
    ++mStarts;
    mStartedAtMs = UnixMillisNow();
  }

  // Returns the arrival times of the requests, refused ones included, whose id
  // begins with this text.
  [[nodiscard]] std::vector<Instant> ArrivalsOf(
    std::string_view aIdPrefix) const;
  // Says in every answer that the server is leaving.
  void SetLeaving(bool aIsLeaving) noexcept { mIsLeaving = aIsLeaving; }
  // Names a limit, in requests per second, in every answer; empty for none.
  void SetLimit(std::string aLimit) { mLimit = std::move(aLimit); }
  // Names a time in seconds in every refusal with status 503; empty for none.
  void SetRetryAfter(std::string aSeconds)
  {
    mRetryAfter = std::move(aSeconds);
  }
  // Refuses requests as not run while set.
  void SetFull(bool aIsFull) noexcept { mIsFull = aIsFull; }
  // Breaks streams off behind so many events; 0 for never.
  void SetCutAfter(int aEvents) noexcept { mCutAfter = aEvents; }
  // Executes orders so much later and sends no reply to them; 0 for neither.
  void SetOrderDelay(Duration aDelay) noexcept { mOrderDelay = aDelay; }
  void SetEventTime(Duration aTime) noexcept { mEventTime = aTime; }
  // Holds each request in a queue for so long before it begins, even when its
  // connection has closed meanwhile. A request whose deadline passes in the
  // queue is refused as not run.
  void SetQueueTime(Duration aTime) noexcept { mQueueTime = aTime; }
  // Refuses orders while set, as a server that carries out another one.
  void SetRefusesOrders(bool aRefuses) noexcept { mRefusesOrders = aRefuses; }
  // Loads a version of the weights at once.
  void SetWeights(std::uint64_t aVersion) noexcept { mWeights = aVersion; }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  // Waits in the queue. Returns whether the request may begin before its
  // deadline.
  [[nodiscard]] bool Queue(const HttpRequest& aRequest);
  [[nodiscard]] bool IsDeadly(const HttpRequest& aRequest) const;
  // Adds what the server says in all its answers to the headers of one.
  [[nodiscard]] HttpHeaders WithState(HttpHeaders aHeaders) const;
  void Run(const HttpRequest& aRequest, HttpResponder& aResponder);
  void Crash();
  [[nodiscard]] bool IsDown() const noexcept
  {
    return mCrashes.size() == mStarts;
  }
  // Breaks off the answer of a server that has crashed.
  void LoseAnswer(HttpResponder& aResponder);
  void Stream(const HttpRequest& aRequest, HttpResponder& aResponder);
  void TakeOrder(const HttpRequest& aRequest, HttpResponder& aResponder);

  Loop& mLoop;
  const std::string mId;
  std::uint64_t mWeights = 1;
  std::uint64_t mOrders = 0;
  std::uint64_t mOrdersReceived = 0;
  Duration mOrderDelay{};
  bool mIsLoading = false;
  bool mIsFull = false;
  int mCutAfter = 0;
  Duration mEventTime = 5ms;
  Duration mQueueTime{};
  bool mRefusesOrders = false;
  std::map<std::string, int> mRuns;
  HttpHeaders mLastHeaders;
  std::vector<std::uint64_t> mFences;
  std::vector<Instant> mArrivals;
  std::vector<FleetRun> mBegun;
  std::uint64_t mStarts = 1;
  std::uint64_t mStartedAtMs = UnixMillisNow();
  std::string mDeadlyPart;
  std::string mDeadlyBody;
  CrashKind mCrashKind = CrashKind::Reset;
  std::function<void()> mOnCrash;
  std::vector<Instant> mCrashes;
  std::vector<Instant> mDeadlyArrivals;
  // Ids of the requests in mArrivals.
  std::vector<std::string> mArrivalIds;
  std::string mLimit;
  std::string mRetryAfter;
  bool mIsLeaving = false;
};

} // namespace bilberrytrail::standins
