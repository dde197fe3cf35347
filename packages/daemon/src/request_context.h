#pragma once

#include "account_limit_service.h"
#include "control_view.h"
#include "estimate_cache.h"
#include "thread_context.h"

#include <bilberrytrail/backend/plain_service.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/traffic/attempt_ledger.h>
#include <bilberrytrail/traffic/classify.h>
#include <bilberrytrail/traffic/quarantine.h>
#include <bilberrytrail/traffic/refusal.h>

#include <cstdint>
#include <optional>
#include <string>

namespace bilberrytrail {

// What a caller asks of a model.
struct CompletionRequest
{
  ModelId mModel;
  std::string mAdapter;
  std::string mPrompt;
  std::uint32_t mMaxTokens = 0;
  bool mStream = false;
};

// What a caller asks of a plain service.
struct ServiceRequest
{
  std::string mService;
  // Path behind the service's own, with the query.
  std::string mPath;
  bool mRepeatable = false;
  std::string mIdempotencyKey;
};

// One request on its way through the filters.
struct RequestContext
{
  const HttpRequest& mHttp;
  HttpResponder& mResponder;
  ThreadContext& mThread;
  // The view of control state for the whole request.
  ControlViewPtr mView;
  // Newer view by which servers and homes are chosen; taken before each choice.
  ControlViewPtr mRouting = mView;
  Instant mArrivedAt;
  Instant mDeadline{};
  AccountView mAccount{};
  const ProductState* mProduct = nullptr;
  std::optional<CompletionRequest> mCompletion{};
  std::optional<ServiceRequest> mService{};
  // What the thread knows of servers without asking.
  EstimateCache* mKnown = nullptr;
  // A home sent the request back: the next server is chosen by asking.
  bool mMustAsk = false;
  // Weight version that the request uses: the one in force at admission, or the
  // one served instead until that is loaded. It stays once text has come.
  VersionId mVersion{};
  RequestShape mShape{};
  WorkEstimate mEstimate{};
  // Identifies a completion for the quarantine.
  Fingerprint mFingerprint{};
  // Counts against the account's limits while the request runs.
  std::optional<Admission> mAdmission{};
  AttemptLedger mLedger{};
  std::optional<Instant> mFirstTokenAt{};
  std::uint32_t mRetries = 0;
  std::uint32_t mHedges = 0;
  // The answer began and did not reach its caller whole.
  bool mIncomplete = false;

  // Returns the group of servers of the request's plain service.
  [[nodiscard]] const std::string& ServiceGroup() const
  {
    return mProduct->mServices.at(mService->mService).mGroup;
  }
  // Returns the kind of request for which estimates are remembered.
  [[nodiscard]] EstimateKey KindOfRequest() const
  {
    return { mAccount.mProduct,
             mCompletion ? "model/" + mCompletion->mModel.Text()
                         : "group/" + ServiceGroup(),
             mVersion,
             mEstimate.mClass };
  }

  // Refuses with the disposition that the ledger proves.
  [[nodiscard]] Refusal Refuse(RefusalReason aReason,
                               std::string aText,
                               std::optional<Duration> aRetryAfter = {})
  {
    return Refusal::From(mLedger, aReason, std::move(aText), aRetryAfter);
  }
};

// One step of a request. Returns a refusal when the request ends here.
class RequestFilter
{
public:
  virtual ~RequestFilter() = default;

  [[nodiscard]] virtual std::optional<Refusal> Apply(
    RequestContext& aContext) = 0;
};

} // namespace bilberrytrail
