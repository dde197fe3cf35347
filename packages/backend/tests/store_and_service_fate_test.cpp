#include "fate_row.h"

#include <bilberrytrail/backend/http_backend.h>

using namespace bilberrytrail;
using namespace bilberrytrail::tests;

namespace {

constexpr const char* kRef =
  R"({"block":7,"generation":3,"bytes":32,"checksum":9})";

} // namespace

TEST_CASE("a reservation has the fate that the answer states")
{
  const DispositionRow rows[] = {
    { "reserved", { .mBody = kRef }, true, {}, {} },
    { "full",
      { .mStatus = 429 },
      false,
      CallFate::NotRun,
      ErrorCode::Exhausted },
    { "kept already",
      { .mStatus = 409 },
      false,
      CallFate::NotRun,
      ErrorCode::Conflict },
    { "failed",
      { .mStatus = 500 },
      false,
      CallFate::Failed,
      ErrorCode::Internal },
    { "cut",
      { .mCut = true },
      false,
      CallFate::Unknown,
      ErrorCode::Unavailable },
    { "malformed",
      { .mBody = R"({"block":7})" },
      false,
      CallFate::Unknown,
      ErrorCode::Corrupt },
  };
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto store = MakeHttpStore(aClient, aEndpoint);
      for (const auto& row : rows) {
        aHandler.mAnswer = row.mAnswer;
        CheckDisposition(row, store->Reserve(BlockId(7), 32, 5s));
      }
      const auto closed = MakeHttpStore(aClient, ClosedEndpoint());
      CHECK(closed->Reserve(BlockId(7), 32, 5s).error().mFate ==
            CallFate::NotRun);
    });
}

TEST_CASE("pins and inventory are read with checks")
{
  const std::string ref = kRef;
  const std::string inventoryHead =
    R"({"incarnation":5,"memory_bytes":100,"memory_free_bytes":68,)"
    R"("disk_bytes":0,"disk_free_bytes":0,"blocks":[{"tier":)";
  const std::string pinHead = R"({"pins":[{"pin":"p1","ref":)" + ref;
  const DispositionRow pinRows[] = {
    { "pinned",
      { .mBody = pinHead + R"(,"remaining_us":250}]})" },
      true,
      {},
      {} },
    { "remaining time below 0",
      { .mBody = pinHead + R"(,"remaining_us":-1}]})" },
      false,
      CallFate::Unknown,
      ErrorCode::Corrupt },
    { "remaining time out of range",
      { .mBody = pinHead + R"(,"remaining_us":18446744073709551615}]})" },
      false,
      CallFate::Unknown,
      ErrorCode::Corrupt },
  };
  const DispositionRow inventoryRows[] = {
    { "memory",
      { .mBody = inventoryHead + R"("memory","ref":)" + ref + "}]}" },
      true,
      {},
      {} },
    { "unknown tier",
      { .mBody = inventoryHead + R"("tape","ref":)" + ref + "}]}" },
      false,
      CallFate::Unknown,
      ErrorCode::Corrupt },
  };
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto store = MakeHttpStore(aClient, aEndpoint);
      for (const auto& row : pinRows) {
        aHandler.mAnswer = row.mAnswer;
        CheckDisposition(row, store->Pin({}, 1s, 5s));
      }
      for (const auto& row : inventoryRows) {
        aHandler.mAnswer = row.mAnswer;
        CheckDisposition(row, store->ReadInventory(5s));
      }
      aHandler.mAnswer = pinRows[0].mAnswer;
      CHECK(store->Pin({}, 1s, 5s).value()[0].mRemaining == 250us);
    });
}

TEST_CASE("a plain service's own answers are handed on, losses are not")
{
  const DispositionRow rows[] = {
    { "done", { .mStatus = 201, .mBody = "{}" }, true, {}, {} },
    { "not found is an answer", { .mStatus = 404 }, true, {}, {} },
    { "conflict is an answer", { .mStatus = 409 }, true, {}, {} },
    { "refused, said to be not run",
      { .mStatus = 503, .mHeaders = { { "not-run", "true" } } },
      false,
      CallFate::NotRun,
      ErrorCode::Unavailable },
    { "unavailable",
      { .mStatus = 503 },
      false,
      CallFate::Unknown,
      ErrorCode::Unavailable },
    { "failed, though said to be not run",
      { .mStatus = 500, .mHeaders = { { "Not-Run", "true" } } },
      false,
      CallFate::Failed,
      ErrorCode::Internal },
    { "bad gateway",
      { .mStatus = 502 },
      false,
      CallFate::Unknown,
      ErrorCode::Unknown },
    { "cut",
      { .mCut = true },
      false,
      CallFate::Unknown,
      ErrorCode::Unavailable },
    { "cut within the answer",
      { .mBody = "{", .mCut = true, .mStream = true },
      false,
      CallFate::Unknown,
      ErrorCode::Unavailable },
  };
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto service = MakeHttpPlainService(aClient, aEndpoint);
      const ServiceCall call{ AttemptId("a1"), "POST", "/book", "text/x", "b" };
      for (const auto& row : rows) {
        aHandler.mAnswer = row.mAnswer;
        aHandler.mRequests = 0;
        const auto answer = service->Invoke(call, 5s);
        CheckDisposition(row, answer);
        CHECK(aHandler.mRequests == 1);
        if (row.mDone) {
          CHECK(answer.value().mStatus == row.mAnswer.mStatus);
          CHECK(answer.value().mBody == row.mAnswer.mBody);
        }
      }
      CHECK(aHandler.mLast.mMethod == "POST");
      CHECK(aHandler.mLast.mTarget == "/book");
      CHECK(aHandler.mLast.mBody == "b");
      CHECK(FindHeader(aHandler.mLast.mHeaders, "Content-Type") == "text/x");
      CHECK(FindHeader(aHandler.mLast.mHeaders, "Attempt-Id") == "a1");
      const auto closed = MakeHttpPlainService(aClient, ClosedEndpoint());
      CHECK(closed->Invoke(call, 5s).error().mFate == CallFate::NotRun);
    });
}
