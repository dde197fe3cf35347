#include "fake_server.h"

#include <bilberrytrail/backend/http_backend.h>

using namespace bilberrytrail;
using namespace bilberrytrail::tests;

namespace {

struct Row
{
  const char* mName;
  FakeAnswer mAnswer;
  CallDisposition mDisposition;
  ErrorCode mCode;
};

// Failures that have the same meaning for every call.
const Row kFailureRows[] = {
  { "old fencing number",
    { .mStatus = 412 },
    CallDisposition::NotRun,
    ErrorCode::Refused },
  { "version not loaded",
    { .mStatus = 409 },
    CallDisposition::NotRun,
    ErrorCode::Conflict },
  { "refused because the server is leaving",
    { .mStatus = 503, .mHeaders = { { "Not-Run", "true" } } },
    CallDisposition::NotRun,
    ErrorCode::Unavailable },
  { "unavailable, may have run",
    { .mStatus = 503 },
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
  { "failed",
    { .mStatus = 500 },
    CallDisposition::Failed,
    ErrorCode::Internal },
  { "connection cut",
    { .mCut = true },
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
};

// Successful responses with a malformed body.
const Row kMalformedRows[] = {
  { "not JSON",
    { .mBody = "hello" },
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
  { "no fields",
    { .mBody = "{}" },
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
};

// Responses to a generate request without a valid head.
const Row kBadHeadRows[] = {
  { "ends without a head",
    { .mBody = ": comment\n\n", .mStream = true },
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
  { "cut before the head",
    { .mBody = ": comment\n\n", .mCut = true, .mStream = true },
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
  { "cut within the head",
    { .mBody = "data: {\"versi", .mCut = true, .mStream = true },
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
  { "ends within the head",
    { .mBody = "data: {\"versi", .mStream = true },
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
  { "head is not JSON",
    { .mBody = "data: hello\n\n", .mStream = true },
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
  { "head without a version",
    { .mBody = "data: {\"prompt_tokens\":1,\"cached_tokens\":0}\n\n",
      .mStream = true },
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
};

GenerateRequest
MakeRequest()
{
  GenerateRequest request;
  request.mAttempt = AttemptId("a1");
  request.mModel = ModelId("m");
  request.mVersion = VersionId("v1");
  request.mPrompt = "fold";
  return request;
}

template<class T>
void
CheckError(const Row& aRow, const CallResult<T>& aResult)
{
  CAPTURE(aRow.mName);
  REQUIRE_FALSE(aResult.has_value());
  CHECK(ToName(aResult.error().mDisposition) == ToName(aRow.mDisposition));
  CHECK(ToName(aResult.error().mError.mCode) == ToName(aRow.mCode));
}

} // namespace

TEST_CASE(
  "an attempt that fails before its head reports whether it may have run")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto engine = MakeHttpEngine(aClient, aEndpoint);
      const auto run = [&](const Row& aRow) {
        aHandler.mAnswer = aRow.mAnswer;
        aHandler.mRequests = 0;
        CheckError(aRow, engine->Generate(MakeRequest(), 5s));
        CHECK(aHandler.mRequests == 1);
      };
      for (const auto& row : kFailureRows) {
        run(row);
      }
      for (const auto& row : kBadHeadRows) {
        run(row);
      }
      const auto closed = MakeHttpEngine(aClient, ClosedEndpoint());
      CHECK(closed->Generate(MakeRequest(), 5s).error().mDisposition ==
            CallDisposition::NotRun);
      auto request = MakeRequest();
      request.mPrompt = "\xff";
      CHECK(engine->Generate(request, 5s).error().mDisposition ==
            CallDisposition::NotRun);
    });
}

TEST_CASE("engine calls other than generate report whether they may have run")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto engine = MakeHttpEngine(aClient, aEndpoint);
      for (const auto& row : kFailureRows) {
        aHandler.mAnswer = row.mAnswer;
        CheckError(row, engine->Cancel(AttemptId("a1"), 5s));
        CheckError(row, engine->SendOrder(EngineOrder(), 5s));
        CheckError(row, engine->ReadState(5s));
        CheckError(row, engine->Subscribe(0, 2s, 5s));
        CheckError(row, engine->ImportBlocks(TransferRequest(), 5s));
        CheckError(row, engine->ExportBlocks(TransferRequest(), 5s));
      }
      for (const auto& row : kMalformedRows) {
        aHandler.mAnswer = row.mAnswer;
        CheckError(row, engine->ReadState(5s));
        CheckError(row, engine->ImportBlocks(TransferRequest(), 5s));
        CheckError(row, engine->ExportBlocks(TransferRequest(), 5s));
      }
      aHandler.mAnswer = { .mBody = "{}" };
      CHECK(engine->Cancel(AttemptId("a1"), 5s).has_value());
      CHECK(engine->SendOrder(EngineOrder(), 5s).has_value());
    });
}
