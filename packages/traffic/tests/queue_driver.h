#pragma once

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/traffic/server_queue.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace bilberrytrail {

// One simulated request and its outcome.
struct TrialRequest
{
  QueueEntry mEntry;
  Instant mArrival;
  // Actual running time, unknown to the queue.
  Duration mTrueService{};
  std::optional<Instant> mFinished{};
  std::optional<Instant> mRefused{};

  [[nodiscard]] Duration Latency() const { return *mFinished - mArrival; }
  [[nodiscard]] bool IsGood() const
  {
    return mFinished && *mFinished <= mEntry.mDeadline;
  }
};

// Simulates requests on one queue in virtual time. A pause takes effect after
// kPauseDelay.
class QueueDriver
{
public:
  static constexpr Duration kPauseDelay = 2ms;

  QueueDriver(ServerQueue& aQueue, std::vector<TrialRequest> aRequests)
    : mQueue(aQueue)
    , mRequests(std::move(aRequests))
  {
    std::stable_sort(mRequests.begin(),
                     mRequests.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.mArrival < aRight.mArrival;
                     });
    for (std::size_t n = 0; n < mRequests.size(); ++n) {
      mRequests[n].mEntry.mTicket = Ticket(n);
    }
  }

  // Runs until aEnd, or until no event is left.
  const std::vector<TrialRequest>& Run(Instant aEnd = Instant::max())
  {
    std::size_t next = 0;
    while (true) {
      const auto arrival =
        next < mRequests.size() ? mRequests[next].mArrival : Instant::max();
      const auto event =
        mEvents.empty() ? Instant::max() : mEvents.begin()->first;
      const auto tick = mQueue.NextTick(mNow).value_or(Instant::max());
      mNow = std::min({ arrival, event, tick });
      if (mNow >= aEnd) {
        return mRequests;
      }
      if (mNow == event) {
        RunEvent();
      } else if (mNow == arrival) {
        Apply(mQueue.Offer(mRequests[next++].mEntry, mNow));
      } else {
        Apply(mQueue.Tick(mNow));
      }
    }
  }

  [[nodiscard]] std::size_t Pauses() const noexcept { return mPauses; }
  [[nodiscard]] std::size_t MostRunning() const noexcept
  {
    return mMostRunning;
  }

private:
  struct Event
  {
    std::uint64_t mTicket;
    bool mIsPause;
  };
  struct Progress
  {
    Instant mStarted;
    Duration mLeft{};
    bool mActive = false;
  };

  void RunEvent()
  {
    const auto event = mEvents.begin()->second;
    mEvents.erase(mEvents.begin());
    auto& progress = mProgress[event.mTicket];
    const auto ran = mNow - progress.mStarted;
    if (!progress.mActive || (!event.mIsPause && ran < progress.mLeft)) {
      return;
    }
    progress.mActive = false;
    if (event.mIsPause) {
      progress.mLeft -= ran;
      Apply(mQueue.ConfirmPaused(Ticket(event.mTicket), mNow));
      return;
    }
    mRequests[event.mTicket].mFinished = mNow;
    Apply(mQueue.Finish(Ticket(event.mTicket), mNow));
  }

  void Start(std::uint64_t aTicket)
  {
    auto& progress = mProgress[aTicket];
    progress.mStarted = mNow;
    progress.mActive = true;
    mEvents.emplace(mNow + progress.mLeft, Event{ aTicket, false });
  }

  void Apply(const QueueActions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* grant = std::get_if<GrantAction>(&action)) {
        const auto ticket = grant->mTicket.Value();
        mProgress[ticket].mLeft = mRequests[ticket].mTrueService;
        Start(ticket);
      } else if (const auto* resume = std::get_if<ResumeAction>(&action)) {
        Start(resume->mTicket.Value());
      } else if (const auto* pause = std::get_if<PauseAction>(&action)) {
        ++mPauses;
        mEvents.emplace(mNow + kPauseDelay,
                        Event{ pause->mTicket.Value(), true });
      } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
        mRequests[refuse->mTicket.Value()].mRefused = mNow;
      }
    }
    mMostRunning = std::max(mMostRunning, mQueue.Running());
  }

  ServerQueue& mQueue;
  std::vector<TrialRequest> mRequests;
  std::multimap<Instant, Event> mEvents;
  std::map<std::uint64_t, Progress> mProgress;
  Instant mNow;
  std::size_t mPauses = 0;
  std::size_t mMostRunning = 0;
};

// Parameters of a stream of requests with exponential interarrival times.
struct TrialStream
{
  const char* mAccount;
  WorkClass mClass;
  double mPerSecond;
  Duration mService;
  Duration mDeadline;
  Instant mFrom{};
  Instant mTo{};
  // One in this many requests runs mStragglerFactor times longer; 0 for none.
  unsigned mStragglerOneIn = 0;
  double mStragglerFactor = 10;
};

// Appends the requests of the stream. Actual running times are uniform between
// 0.5 and 1.5 times the estimate, before the straggler factor.
inline void
AddStream(std::vector<TrialRequest>& aRequests,
          const TrialStream& aStream,
          std::uint64_t aSeed)
{
  Random random(aSeed);
  auto at = aStream.mFrom;
  while (true) {
    at += FromMillis(-std::log(1 - random.Unit()) * 1000 / aStream.mPerSecond);
    if (at >= aStream.mTo) {
      return;
    }
    double factor = 0.5 + random.Unit();
    if (aStream.mStragglerOneIn > 0 &&
        random.Below(aStream.mStragglerOneIn) == 0) {
      factor *= aStream.mStragglerFactor;
    }
    QueueEntry entry;
    entry.mAccount = AccountId(aStream.mAccount);
    entry.mClass = aStream.mClass;
    entry.mService = aStream.mService;
    entry.mCostTokens = ToMillis(aStream.mService);
    entry.mDeadline = at + aStream.mDeadline;
    aRequests.push_back(
      { entry, at, FromMillis(ToMillis(aStream.mService) * factor) });
  }
}

// Returns the quantile of the latencies, in milliseconds, of the finished
// requests selected by aSelect; 0 when there are none.
template<class Select>
double
LatencyQuantile(const std::vector<TrialRequest>& aRequests,
                double aQuantile,
                Select aSelect)
{
  std::vector<double> millis;
  for (const auto& request : aRequests) {
    if (request.mFinished && aSelect(request)) {
      millis.push_back(ToMillis(request.Latency()));
    }
  }
  if (millis.empty()) {
    return 0;
  }
  std::sort(millis.begin(), millis.end());
  const auto n = static_cast<std::size_t>(
    aQuantile * static_cast<double>(millis.size() - 1));
  return millis[n];
}

} // namespace bilberrytrail
