#include "fleet/fleet_server.h"

#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>
#include <cstdlib>

namespace bilberrytrail::standins {

namespace {

constexpr int kEvents = 5;
constexpr Duration kLoadTime = 50ms;
// Time between two looks whether the server is back.
constexpr Duration kDownPeriod = 10ms;

} // namespace

void
FleetServer::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (IsDown() && mCrashKind == CrashKind::Silent) {
    LoseAnswer(aResponder);
    return;
  }
  if (aRequest.mTarget == "/report") {
    const Json report{ { "models",
                         { { { "name", "m" },
                             { "version", mWeights },
                             { "adapters", Json::array() } } } },
                       { "busy", mIsLoading },
                       { "sequence", mOrders } };
    (void)aResponder.Send({ 200, {}, report.dump() });
    return;
  }
  if (aRequest.mTarget == "/order") {
    TakeOrder(aRequest, aResponder);
    return;
  }
  mArrivals.push_back(MonotonicNow());
  if (IsDeadly(aRequest)) {
    mDeadlyArrivals.push_back(MonotonicNow());
  }
  const auto& headers = aRequest.mHeaders;
  const auto weights = FindHeader(headers, "Bilberrytrail-Expected-Version");
  // Refusals name their request too, as the platform's page says.
  const HttpHeader request{ "Bilberrytrail-Request-Id",
                            std::string(FindHeader(
                              headers, "Bilberrytrail-Request-Id")) };
  mArrivalIds.push_back(request.mValue);
  if (FindHeader(headers, "Bilberrytrail-Target-Instance") != mId ||
      (!weights.empty() && weights != std::to_string(mWeights))) {
    (void)aResponder.Send(
      { 421,
        WithState({ request, { "Bilberrytrail-Instance-Id", mId } }),
        {} });
    return;
  }
  if (mIsFull || !Queue(aRequest)) {
    auto refusal =
      WithState({ request, { "Bilberrytrail-Not-Executed", "1" } });
    if (!mRetryAfter.empty()) {
      refusal.push_back({ "Retry-After", mRetryAfter });
    }
    (void)aResponder.Send({ 503, std::move(refusal), {} });
    return;
  }
  Run(aRequest, aResponder);
}

bool
FleetServer::IsDeadly(const HttpRequest& aRequest) const
{
  if (!mDeadlyBody.empty() && aRequest.mBody == mDeadlyBody) {
    return true;
  }
  return !mDeadlyPart.empty() &&
         FindHeader(aRequest.mHeaders, "Bilberrytrail-Prompt-Prefix")
             .find(mDeadlyPart) != std::string_view::npos;
}

// The server starts anew only after each answer in progress has broken off.
void
FleetServer::Crash()
{
  if (mCrashes.size() < mStarts) {
    mCrashes.push_back(MonotonicNow());
    mOnCrash();
  }
}

void
FleetServer::LoseAnswer(HttpResponder& aResponder)
{
  while (IsDown() && mCrashKind == CrashKind::Silent &&
         mLoop.Sleep(kDownPeriod)) {
  }
  aResponder.Abort();
}

std::vector<Instant>
FleetServer::ArrivalsOf(std::string_view aIdPrefix) const
{
  std::vector<Instant> arrivals;
  for (std::size_t n = 0; n < mArrivals.size(); ++n) {
    if (mArrivalIds[n].starts_with(aIdPrefix)) {
      arrivals.push_back(mArrivals[n]);
    }
  }
  return arrivals;
}

HttpHeaders
FleetServer::WithState(HttpHeaders aHeaders) const
{
  if (!mLimit.empty()) {
    aHeaders.push_back({ "Server-Limit", mLimit });
  }
  if (mIsLeaving) {
    aHeaders.push_back({ "Server-Leaving", "1" });
  }
  return aHeaders;
}

bool
FleetServer::Queue(const HttpRequest& aRequest)
{
  const auto limit = FindHeader(aRequest.mHeaders, "Bilberrytrail-Deadline-Ms");
  const auto deadline =
    limit.empty() ? Duration::max()
                  : Duration(std::chrono::milliseconds(
                      std::strtoll(std::string(limit).c_str(), nullptr, 10)));
  if (mQueueTime > Duration(0)) {
    (void)mLoop.Sleep(std::min(mQueueTime, deadline));
  }
  return mQueueTime < deadline;
}

void
FleetServer::Run(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const std::string id(
    FindHeader(aRequest.mHeaders, "Bilberrytrail-Request-Id"));
  ++mRuns[id];
  mBegun.push_back({ MonotonicNow(), mWeights });
  mLastHeaders = aRequest.mHeaders;
  auto headers =
    WithState({ { "Bilberrytrail-Request-Id", id },
                { "Bilberrytrail-Response-Signature", "sig-" + id } });
  if (aRequest.mTarget.find("/stream/") == std::string::npos) {
    if (IsDeadly(aRequest)) {
      Crash();
      LoseAnswer(aResponder);
      return;
    }
    (void)aResponder.Send({ 200, std::move(headers), aRequest.mBody });
    return;
  }
  headers.push_back(
    { "Bilberrytrail-Weight-Versions", std::to_string(mWeights) });
  if (!aResponder.BeginStream(200, std::move(headers))) {
    return;
  }
  if (IsDeadly(aRequest)) {
    (void)mLoop.Sleep(mEventTime);
    Crash();
  }
  Stream(aRequest, aResponder);
}

void
FleetServer::Stream(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const auto after = FindHeader(aRequest.mHeaders, "Last-Event-Id");
  int next = after.empty() ? 1 : std::stoi(std::string(after)) + 1;
  for (int sent = 1; next <= kEvents; ++next, ++sent) {
    (void)mLoop.Sleep(mEventTime);
    if (IsDown()) {
      LoseAnswer(aResponder);
      return;
    }
    const auto event = "id: " + std::to_string(next) + "\ndata: x\n\n";
    if (!aResponder.WriteChunk(event)) {
      return;
    }
    if (sent == mCutAfter) {
      aResponder.Cut();
      return;
    }
  }
  (void)aResponder.EndStream();
}

void
FleetServer::TakeOrder(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const auto body = ParseJson(aRequest.mBody);
  if (!body) {
    (void)aResponder.Send({ 400, {}, {} });
    return;
  }
  JsonFields fields(body.value());
  const auto version = fields.Unsigned("version");
  const auto fence = fields.Unsigned("fencing_token");
  const auto expected = fields.Unsigned("expected");
  const auto holder = fields.Text("holder");
  if (!fields.Check() || holder.empty()) {
    (void)aResponder.Send({ 400, {}, {} });
    return;
  }
  ++mOrdersReceived;
  const bool isLate = mOrderDelay > 0ms;
  if (isLate) {
    (void)mLoop.Sleep(mOrderDelay);
  }
  const bool isAccepted = !mRefusesOrders && expected == mOrders && !mIsLoading;
  if (!isLate) {
    (void)aResponder.Send({ isAccepted ? 202U : 409U, {}, {} });
  }
  if (!isAccepted) {
    return;
  }
  ++mOrders;
  mFences.push_back(fence);
  mIsLoading = true;
  (void)mLoop.Sleep(kLoadTime);
  mIsLoading = false;
  mWeights = version;
}

} // namespace bilberrytrail::standins
