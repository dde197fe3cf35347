#include "disposition_row.h"

#include <bilberrytrail/backend/http_backend.h>

using namespace bilberrytrail;
using namespace bilberrytrail::tests;

namespace {

constexpr const char* kRef =
  R"({"block":7,"generation":3,"bytes":32,"checksum":9})";

} // namespace

TEST_CASE("a failed reservation reports whether it may have run")
{
  const DispositionRow rows[] = {
    { "reserved", { .mBody = kRef }, true, {}, {} },
    { "store is full",
      { .mStatus = 429 },
      false,
      CallDisposition::NotRun,
      ErrorCode::Exhausted },
    { "block already stored",
      { .mStatus = 409 },
      false,
      CallDisposition::NotRun,
      ErrorCode::Conflict },
    { "failed",
      { .mStatus = 500 },
      false,
      CallDisposition::Failed,
      ErrorCode::Internal },
    { "connection cut",
      { .mCut = true },
      false,
      CallDisposition::Unknown,
      ErrorCode::Unavailable },
    { "malformed body",
      { .mBody = R"({"block":7})" },
      false,
      CallDisposition::Unknown,
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
      CHECK(closed->Reserve(BlockId(7), 32, 5s).error().mDisposition ==
            CallDisposition::NotRun);
    });
}

TEST_CASE("pins and inventories with invalid fields are rejected")
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
    { "negative remaining time",
      { .mBody = pinHead + R"(,"remaining_us":-1}]})" },
      false,
      CallDisposition::Unknown,
      ErrorCode::Corrupt },
    { "remaining time out of range",
      { .mBody = pinHead + R"(,"remaining_us":18446744073709551615}]})" },
      false,
      CallDisposition::Unknown,
      ErrorCode::Corrupt },
  };
  const DispositionRow inventoryRows[] = {
    { "memory tier",
      { .mBody = inventoryHead + R"("memory","ref":)" + ref + "}]}" },
      true,
      {},
      {} },
    { "unknown tier",
      { .mBody = inventoryHead + R"("tape","ref":)" + ref + "}]}" },
      false,
      CallDisposition::Unknown,
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

TEST_CASE(
  "a plain service's own responses are returned and lost ones are errors")
{
  const DispositionRow rows[] = {
    { "created", { .mStatus = 201, .mBody = "{}" }, true, {}, {} },
    { "not found is a response", { .mStatus = 404 }, true, {}, {} },
    { "conflict is a response", { .mStatus = 409 }, true, {}, {} },
    { "refused with Not-Run",
      { .mStatus = 503, .mHeaders = { { "not-run", "true" } } },
      false,
      CallDisposition::NotRun,
      ErrorCode::Unavailable },
    { "unavailable without Not-Run",
      { .mStatus = 503 },
      false,
      CallDisposition::Unknown,
      ErrorCode::Unavailable },
    { "failed despite Not-Run",
      { .mStatus = 500, .mHeaders = { { "Not-Run", "true" } } },
      false,
      CallDisposition::Failed,
      ErrorCode::Internal },
    { "bad gateway",
      { .mStatus = 502 },
      false,
      CallDisposition::Unknown,
      ErrorCode::Unknown },
    { "connection cut",
      { .mCut = true },
      false,
      CallDisposition::Unknown,
      ErrorCode::Unavailable },
    { "connection cut within the body",
      { .mBody = "{", .mCut = true, .mStream = true },
      false,
      CallDisposition::Unknown,
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
      CHECK(closed->Invoke(call, 5s).error().mDisposition ==
            CallDisposition::NotRun);
    });
}
