#include <bilberrytrail/ctl/operator_api.h>

#include <doctest/doctest.h>

#include "fake_transport.h"

using namespace bilberrytrail;

namespace {

const ApplyRequest kApply{ ProductId("guides"),
                           ReleaseNumber(4),
                           "id-1",
                           "[release]\n" };

} // namespace

TEST_CASE("requests carry the token and an encoded query")
{
  FakeTransport transport({ Answered(200, "{}") });
  OperatorApi api(transport, "secret");
  CHECK(api.Get("/operator/release/show", { { "product", "a&b =\xC3\xA9" } })
          .mKind == ReplyKind::Done);
  REQUIRE(transport.mRequests.size() == 1);
  const auto& request = transport.mRequests[0];
  CHECK(request.mMethod == "GET");
  CHECK(request.mTarget == "/operator/release/show?product=a%26b%20%3D%C3%A9");
  CHECK(FindHeader(request.mHeaders, "Authorization") == "Bearer secret");
}

TEST_CASE("an apply request carries product, against, id and note")
{
  FakeTransport transport({ Answered(200, R"({"number":5})") });
  OperatorApi api(transport, "secret");
  CHECK(api.Apply(kApply).mKind == ReplyKind::Done);
  REQUIRE(transport.mRequests.size() == 1);
  CHECK(transport.mRequests[0].mMethod == "POST");
  CHECK(transport.mRequests[0].mTarget == "/operator/release/apply");
  CHECK(transport.mRequests[0].mBody ==
        R"({"against":4,"id":"id-1","note":"[release]\n","product":"guides"})");
}

TEST_CASE("an apply with an unknown outcome is retried with the same id")
{
  const auto done = Answered(200, R"({"number":5,"already":true})");
  const auto conflict = Answered(409, R"({"conflict_with":7,"id":"x"})");
  const auto notRun = Answered(503, R"({"disposition":"not_run"})");
  const auto unknown = Answered(503, R"({"disposition":"unknown"})");
  const auto lost = NoAnswer(SendState::MaybeSent);
  const auto unsent = NoAnswer(SendState::NotSent);
  struct Row
  {
    std::vector<FakeTransport::Answer> mAnswers;
    ReplyKind mKind;
    std::size_t mRequests;
  };
  const Row rows[] = {
    { { done }, ReplyKind::Done, 1 },
    { { conflict }, ReplyKind::Conflict, 1 },
    { { notRun }, ReplyKind::NotRun, 1 },
    { { unsent }, ReplyKind::NotRun, 1 },
    { { Answered(401, "") }, ReplyKind::Unauthorized, 1 },
    { { Answered(404, "") }, ReplyKind::NotFound, 1 },
    { { Answered(400, "") }, ReplyKind::Refused, 1 },
    { { lost, done }, ReplyKind::Done, 2 },
    { { lost, conflict }, ReplyKind::Conflict, 2 },
    { { unknown, unsent, done }, ReplyKind::Done, 3 },
    { { Answered(500, ""), done }, ReplyKind::Done, 2 },
    { { Answered(503, "{}"), done }, ReplyKind::Done, 2 },
    { { lost, notRun }, ReplyKind::Unknown, 4 },
    { { lost, unsent }, ReplyKind::Unknown, 4 },
    { { lost, Answered(401, "") }, ReplyKind::Unknown, 4 },
    { { lost }, ReplyKind::Unknown, 4 },
  };
  for (std::size_t n = 0; n < std::size(rows); ++n) {
    CAPTURE(n);
    FakeTransport transport(rows[n].mAnswers);
    OperatorApi api(transport, "secret");
    CHECK(ToName(api.Apply(kApply).mKind) == ToName(rows[n].mKind));
    REQUIRE(transport.mRequests.size() == rows[n].mRequests);
    for (const auto& request : transport.mRequests) {
      CHECK(request.mBody == transport.mRequests[0].mBody);
    }
  }
}

TEST_CASE("a lost reply is Unknown for a change and NotRun for a read")
{
  FakeTransport transport({ NoAnswer(SendState::MaybeSent) });
  OperatorApi api(transport, "secret");
  CHECK(api.Get("/operator/status", {}).mKind == ReplyKind::NotRun);
  CHECK(api.Post("/operator/drain", "{}").mKind == ReplyKind::Unknown);
}

TEST_CASE("error replies are described in the message")
{
  struct Row
  {
    unsigned mStatus;
    const char* mBody;
    const char* mMessage;
  };
  const Row rows[] = {
    { 409,
      R"({"conflict_with":7,"id":"x"})",
      "conflict: release 7 (id x) was applied first; nothing changed" },
    { 409,
      "",
      "conflict: release another (id ) was applied first; nothing changed" },
    { 422,
      R"({"errors":[{"line":3,"message":"a"},{"message":"b"}]})",
      "line 3: a\nb" },
    { 422, "[]", "the daemon reported errors without listing them" },
    { 404,
      R"({"message":"no such product"})",
      "the daemon answered 404: no such product" },
    { 400, "{broken", "the daemon answered 400: " },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mBody);
    FakeTransport transport({ Answered(row.mStatus, row.mBody) });
    OperatorApi api(transport, "secret");
    CHECK(api.Post("/x", "{}").mMessage == row.mMessage);
  }
}
