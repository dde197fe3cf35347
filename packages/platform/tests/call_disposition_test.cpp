#include "disposition_row.h"

#include <bilberrytrail/platform/http_platform.h>

using namespace bilberrytrail;
using namespace bilberrytrail::tests;

namespace {

constexpr auto kAnyDisposition = CallDisposition::Unknown;
constexpr auto kAnyCode = ErrorCode::Internal;

// Responses with the same meaning for every call.
const DispositionRow kCommonRows[] = {
  { "bad request",
    { .mStatus = 400, .mBody = "{}" },
    false,
    CallDisposition::NotRun,
    ErrorCode::InvalidInput },
  { "unauthorized",
    { .mStatus = 401 },
    false,
    CallDisposition::NotRun,
    ErrorCode::Unauthorized },
  { "too many requests",
    { .mStatus = 429 },
    false,
    CallDisposition::NotRun,
    ErrorCode::Exhausted },
  { "unavailable, with Not-Run: true",
    { .mStatus = 503, .mHeaders = { { "Not-Run", "true" } } },
    false,
    CallDisposition::NotRun,
    ErrorCode::Unavailable },
  { "unavailable, with Not-Run: false",
    { .mStatus = 503, .mHeaders = { { "Not-Run", "false" } } },
    false,
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
  { "unavailable",
    { .mStatus = 503 },
    false,
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
  { "internal error",
    { .mStatus = 500 },
    false,
    CallDisposition::Failed,
    ErrorCode::Internal },
  { "bad gateway",
    { .mStatus = 502 },
    false,
    CallDisposition::Unknown,
    ErrorCode::Unknown },
  { "gateway timeout, with Not-Run: true",
    { .mStatus = 504, .mHeaders = { { "Not-Run", "true" } } },
    false,
    CallDisposition::Unknown,
    ErrorCode::Unknown },
  { "connection closed before the response",
    { .mCut = true },
    false,
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
  { "connection closed within the response",
    { .mBody = "{\"comm", .mCut = true, .mStream = true },
    false,
    CallDisposition::Unknown,
    ErrorCode::Unavailable },
};

// Malformed responses.
const DispositionRow kMalformedRows[] = {
  { "not JSON",
    { .mBody = "<html>" },
    false,
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
  { "empty body",
    { .mBody = "" },
    false,
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
  { "not an object",
    { .mBody = "[1]" },
    false,
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
  { "fields missing",
    { .mBody = "{}" },
    false,
    CallDisposition::Unknown,
    ErrorCode::Corrupt },
};

} // namespace

TEST_CASE("a commit has the disposition of its response")
{
  const DispositionRow own[] = {
    { "committed",
      { .mBody = R"({"committed":true,"current":[]})" },
      true,
      kAnyDisposition,
      kAnyCode },
    { "conflict is a successful call",
      { .mBody = R"({"committed":false,"current":[
           {"key":"a","value":"x","version":3}]})" },
      true,
      kAnyDisposition,
      kAnyCode },
    { "version is a string",
      { .mBody = R"({"committed":false,"current":[
           {"key":"a","value":"x","version":"3"}]})" },
      false,
      CallDisposition::Unknown,
      ErrorCode::Corrupt },
    { "version is negative",
      { .mBody = R"({"committed":false,"current":[
           {"key":"a","value":"x","version":-1}]})" },
      false,
      CallDisposition::Unknown,
      ErrorCode::Corrupt },
  };
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto table = MakeHttpTableService(aClient, aEndpoint);
      const auto run = [&](const DispositionRow& aRow) {
        aHandler.mAnswer = aRow.mAnswer;
        aHandler.mRequests = 0;
        CheckDisposition(aRow, table->Commit({ { "a", "x", 2 } }, 5s));
        CHECK(aHandler.mRequests == 1);
      };
      for (const auto& row : own) {
        run(row);
      }
      for (const auto& row : kCommonRows) {
        run(row);
      }
      for (const auto& row : kMalformedRows) {
        run(row);
      }
    });
}

TEST_CASE("reading a row returns it, its absence or the error")
{
  const DispositionRow own[] = {
    { "present",
      { .mBody = R"({"row":{"key":"a","value":"x","version":3}})" },
      true,
      kAnyDisposition,
      kAnyCode },
    { "absent",
      { .mBody = R"({"row":null})" },
      true,
      kAnyDisposition,
      kAnyCode },
    { "status 404 is not an absent row",
      { .mStatus = 404 },
      false,
      CallDisposition::NotRun,
      ErrorCode::NotFound },
  };
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto table = MakeHttpTableService(aClient, aEndpoint);
      const auto run = [&](const DispositionRow& aRow) {
        aHandler.mAnswer = aRow.mAnswer;
        CheckDisposition(aRow, table->Read("a", 5s));
      };
      for (const auto& row : own) {
        run(row);
      }
      for (const auto& row : kCommonRows) {
        run(row);
      }
      for (const auto& row : kMalformedRows) {
        run(row);
      }
      aHandler.mAnswer = own[0].mAnswer;
      CHECK(table->Read("a", 5s).value()->mVersion == 3);
      aHandler.mAnswer = own[1].mAnswer;
      CHECK_FALSE(table->Read("a", 5s).value().has_value());
    });
}

TEST_CASE("a scan and the VM list have the disposition of their response")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto table = MakeHttpTableService(aClient, aEndpoint);
      const auto list = MakeHttpVmList(aClient, aEndpoint);
      const auto run = [&](const DispositionRow& aRow) {
        aHandler.mAnswer = aRow.mAnswer;
        CheckDisposition(aRow, table->Scan("a", 10, 5s));
        CheckDisposition(aRow, list->Fetch("", 5s));
      };
      for (const auto& row : kCommonRows) {
        run(row);
      }
      for (const auto& row : kMalformedRows) {
        run(row);
      }
    });
}

TEST_CASE("an object of any bytes is read and written, and errors are reported")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto objects = MakeHttpObjectStore(aClient, aEndpoint);
      for (const auto& row : kCommonRows) {
        aHandler.mAnswer = row.mAnswer;
        CheckDisposition(row, objects->Get("k", 5s));
        CheckDisposition(row, objects->Put("k", "b", 5s));
      }
      const std::string bytes("\0\xff\r\n", 4);
      aHandler.mAnswer = { .mBody = bytes };
      CHECK(objects->Get("a/b c", 5s).value() == bytes);
      CHECK(aHandler.mLast.mTarget == "/objects/a%2Fb%20c");
      REQUIRE(objects->Put("k", bytes, 5s).has_value());
      CHECK(aHandler.mLast.mBody == bytes);
      aHandler.mAnswer = { .mStatus = 404 };
      CHECK_FALSE(objects->Get("k", 5s).value().has_value());
      CHECK(objects->Put("k", "b", 5s).error().mDisposition ==
            CallDisposition::NotRun);
    });
}

TEST_CASE("a call that was never sent has the disposition NotRun")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto closed = MakeHttpTableService(aClient, ClosedEndpoint());
      CHECK(closed->Commit({}, 5s).error().mDisposition ==
            CallDisposition::NotRun);

      const auto table = MakeHttpTableService(aClient, aEndpoint);
      const auto outcome = table->Commit({ { "k", "\xff", 0 } }, 5s);
      CHECK(outcome.error().mDisposition == CallDisposition::NotRun);
      CHECK(outcome.error().mError.mCode == ErrorCode::InvalidInput);
      CHECK(aHandler.mRequests == 0);
    });
}

TEST_CASE("a call that timed out has the disposition Unknown")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      aHandler.mAnswer = { .mBody = R"({"committed":true,"current":[]})",
                           .mDelay = 10s };
      const auto table = MakeHttpTableService(aClient, aEndpoint);
      const auto outcome = table->Commit({}, 20ms);
      REQUIRE_FALSE(outcome.has_value());
      CHECK(outcome.error().mDisposition == CallDisposition::Unknown);
      CHECK(outcome.error().mError.mCode == ErrorCode::Timeout);
    });
}
