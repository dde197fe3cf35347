#include "claim_model.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/orders/claim_batch.h>

#include <doctest/doctest.h>

#include <memory>

using namespace bilberrytrail;

namespace {

constexpr int kDaemons = 3;
constexpr int kKeys = 400;
constexpr int kRequests = 2000;
constexpr Duration kTick = 1ms;

// One request on a daemon.
struct RunningRequest
{
  std::unique_ptr<ClaimedCall> mCall;
  std::string mKey;
  std::string mAttempt;
  std::optional<ClaimVerdict> mVerdict;
};

// Requests of several daemons on one table; each daemon has its own batcher.
class Site
{
public:
  explicit Site(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    mBatchers.assign(kDaemons, ClaimBatcher({}));
  }

  void Run()
  {
    for (int n = 0; n < kRequests; ++n) {
      Begin("k" + std::to_string(mRandom.Below(kKeys)));
      Tick();
    }
    for (int n = 0; n < 30000; ++n) {
      Tick();
    }
  }

  std::map<std::string, std::vector<std::string>> mRuns;
  std::vector<RunningRequest> mRequests;

private:
  struct ScheduledAction
  {
    Instant mAt;
    std::size_t mRequest = 0;
    ClaimAction mAction;
  };

  void Begin(const std::string& aKey)
  {
    const auto attempt = "a" + std::to_string(mRequests.size());
    ClaimRequest request{ aKey, AttemptId(attempt), "hash", 0, mNow + 30s };
    mRequests.push_back({ std::make_unique<ClaimedCall>(request, ClaimLimits()),
                          aKey,
                          attempt,
                          std::nullopt });
    const auto n = mRequests.size() - 1;
    Push(n, mRequests[n].mCall->Start(mNow));
  }

  void Push(std::size_t aRequest, const ClaimActions& aActions)
  {
    for (const auto& action : aActions) {
      mScheduled.push_back({ mNow + action.mDelay, aRequest, action });
    }
  }

  void Tick()
  {
    mNow += kTick;
    auto scheduled = std::move(mScheduled);
    mScheduled.clear();
    for (auto& item : scheduled) {
      if (item.mAt > mNow) {
        mScheduled.push_back(std::move(item));
      } else {
        Perform(item.mRequest, item.mAction);
      }
    }
    for (auto& batcher : mBatchers) {
      while (const auto batch = batcher.Poll(mNow)) {
        Complete(batcher.OnCommitted(batch->mNumber, Commit(*batch)));
      }
    }
  }

  CallResult<CommitOutcome> Commit(const ClaimBatch& aBatch)
  {
    const auto fault = mRandom.Below(12);
    if (fault == 0) {
      return FailCall(CallDisposition::NotRun, ErrorCode::Unavailable, "down");
    }
    if (fault == 1) {
      return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "timeout");
    }
    const auto outcome = mTable.Commit(aBatch.mWrites);
    if (fault == 2) {
      return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "timeout");
    }
    return outcome;
  }

  void Complete(const std::vector<CompletedWrite>& aCompleted)
  {
    for (const auto& it : aCompleted) {
      const auto n = static_cast<std::size_t>(it.mTicket / 2);
      auto& call = *mRequests[n].mCall;
      Push(n,
           it.mTicket % 2 == 0 ? call.OnClaimWritten(it.mOutcome, mNow)
                               : call.OnOutcomeWritten(it.mOutcome, mNow));
    }
  }

  void Perform(std::size_t aRequest, const ClaimAction& aAction)
  {
    auto& request = mRequests[aRequest];
    auto& call = *request.mCall;
    const auto ticket = static_cast<std::uint64_t>(aRequest) * 2;
    auto& batcher = mBatchers[aRequest % kDaemons];
    switch (aAction.mKind) {
      case ClaimActionKind::ReadRow:
        Push(aRequest, call.OnRowRead(mTable.Read(aAction.mWrite.mKey), mNow));
        break;
      case ClaimActionKind::WriteClaim:
        REQUIRE(batcher.Add(ticket, aAction.mWrite, mNow));
        break;
      case ClaimActionKind::WriteOutcome:
        REQUIRE(batcher.Add(ticket + 1, aAction.mWrite, mNow));
        break;
      case ClaimActionKind::Invoke:
        Push(aRequest,
             call.BeginSend(mNow) ? call.OnServiceResult(Invoke(request), mNow)
                                  : call.OnSendSkipped(mNow));
        break;
      case ClaimActionKind::AnswerCaller:
        CHECK_FALSE(request.mVerdict);
        request.mVerdict = aAction.mVerdict;
        break;
    }
  }

  CallResult<RecordedAnswer> Invoke(const RunningRequest& aRequest)
  {
    const auto fault = mRandom.Below(10);
    if (fault == 0) {
      return FailCall(CallDisposition::NotRun, ErrorCode::Unavailable, "busy");
    }
    mRuns[aRequest.mKey].push_back(aRequest.mAttempt);
    if (fault == 1) {
      return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "timeout");
    }
    return RecordedAnswer{ 200, "text/plain", aRequest.mAttempt, false };
  }

  Random mRandom;
  Instant mNow{ 100s };
  claim_model::Table mTable;
  std::vector<ClaimBatcher> mBatchers;
  std::vector<ScheduledAction> mScheduled;
};

} // namespace

TEST_CASE("each key runs at most once under many requests and table faults")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    Site site(seed);
    site.Run();
    for (const auto& run : site.mRuns) {
      CAPTURE(run.first);
      CHECK(run.second.size() == 1);
    }
    for (const auto& request : site.mRequests) {
      CAPTURE(request.mAttempt);
      REQUIRE(request.mVerdict);
      CHECK(request.mCall->IsFinished());
      if (*request.mVerdict == ClaimVerdict::RefuseNotRun) {
        const auto& runs = site.mRuns[request.mKey];
        CHECK(std::count(runs.begin(), runs.end(), request.mAttempt) == 0);
      }
    }
  }
}
