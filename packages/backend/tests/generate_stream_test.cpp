#include "fake_server.h"

#include <bilberrytrail/backend/http_backend.h>

using namespace bilberrytrail;
using namespace bilberrytrail::tests;

namespace {

constexpr const char* kHead =
  "data: {\"version\":\"v1\",\"prompt_tokens\":9,\"cached_tokens\":4}\n\n";

// A response body and the expected result of reading it.
struct Row
{
  const char* mName;
  const char* mBody;
  bool mCut;
  // Concatenated text of the chunks before the end.
  const char* mText;
  bool mEnded;
  ErrorCode mCode;
};

const Row kRows[] = {
  { "complete",
    "data: {\"attempt\":\"a1\",\"position\":0,\"text\":\"x \"}\n\n"
    ": comment\n\n"
    "data: {\"attempt\":\"a1\",\"position\":1,\"text\":\"y \"}\n\n"
    "data: {\"attempt\":\"a1\",\"position\":2,\"end\":true}\n\n",
    false,
    "x y ",
    true,
    ErrorCode::Internal },
  { "closed before the end chunk",
    "data: {\"attempt\":\"a1\",\"position\":0,\"text\":\"x \"}\n\n",
    false,
    "x ",
    false,
    ErrorCode::Unavailable },
  { "connection cut before the end chunk",
    "data: {\"attempt\":\"a1\",\"position\":0,\"text\":\"x \"}\n\n",
    true,
    "x ",
    false,
    ErrorCode::Unavailable },
  { "connection cut within a chunk",
    "data: {\"attempt\":\"a1\",\"position\":0,\"te",
    true,
    "",
    false,
    ErrorCode::Unavailable },
  { "end: false does not end the stream",
    "data: "
    "{\"attempt\":\"a1\",\"position\":0,\"end\":false,\"text\":\"x\"}\n\n",
    false,
    "x",
    false,
    ErrorCode::Unavailable },
  { "not JSON", "data: {\n\n", false, "", false, ErrorCode::Corrupt },
  { "text is not a string",
    "data: {\"attempt\":\"a1\",\"position\":0,\"text\":1}\n\n",
    false,
    "",
    false,
    ErrorCode::Corrupt },
  { "attempt id is absent",
    "data: {\"position\":0,\"text\":\"x\"}\n\n",
    false,
    "",
    false,
    ErrorCode::Corrupt },
  { "negative position",
    "data: {\"attempt\":\"a1\",\"position\":-1,\"text\":\"x\"}\n\n",
    false,
    "",
    false,
    ErrorCode::Corrupt },
};

} // namespace

TEST_CASE("a generate stream is read up to its end or the first error")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      const auto engine = MakeHttpEngine(aClient, aEndpoint);
      for (const auto& row : kRows) {
        CAPTURE(row.mName);
        aHandler.mAnswer = { .mBody = std::string(kHead) + row.mBody,
                             .mCut = row.mCut,
                             .mStream = true };
        const auto stream = engine->Generate(GenerateRequest(), 5s);
        REQUIRE(stream.has_value());
        CHECK(stream.value()->Head().mCachedTokens == 4);
        std::string text;
        auto chunk = stream.value()->Next(5s);
        while (chunk && !chunk.value().mEnd) {
          text += chunk.value().mText;
          chunk = stream.value()->Next(5s);
        }
        CHECK(text == row.mText);
        REQUIRE(chunk.has_value() == row.mEnded);
        if (!row.mEnded) {
          CHECK(ToName(chunk.error().mCode) == ToName(row.mCode));
        }
        CHECK_FALSE(stream.value()->Next(5s).has_value());
      }
    });
}

TEST_CASE("a chunk of another attempt is returned with that attempt's id")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      aHandler.mAnswer = {
        .mBody = std::string(kHead) +
                 "data: {\"attempt\":\"a2\",\"position\":7,\"text\":\"z\"}\n\n",
        .mStream = true
      };
      const auto engine = MakeHttpEngine(aClient, aEndpoint);
      const auto stream = engine->Generate(GenerateRequest(), 5s);
      REQUIRE(stream.has_value());
      const auto chunk = stream.value()->Next(5s);
      CHECK(chunk.value().mAttempt == AttemptId("a2"));
      CHECK(chunk.value().mPosition == 7);
    });
}

TEST_CASE("events are read in order with their sequence numbers")
{
  WithFakeServer(
    [&](HttpClient& aClient, const Endpoint& aEndpoint, FakeHandler& aHandler) {
      aHandler.mAnswer = { .mBody =
                             "data: {\"kind\":\"block_cached\",\"sequence\":4,"
                             "\"blocks\":[18446744073709551615]}\n\n"
                             "data: {\"kind\":\"load\",\"sequence\":6}\n\n",
                           .mStream = true };
      const auto engine = MakeHttpEngine(aClient, aEndpoint);
      const auto events = engine->Subscribe(3, 0s, 5s);
      REQUIRE(events.has_value());
      CHECK(aHandler.mLast.mTarget == "/events?after=3");
      REQUIRE(engine->Subscribe(3, 2s, 5s).has_value());
      CHECK(aHandler.mLast.mTarget == "/events?after=3&report_within_ms=2000");
      const auto cached = events.value()->Next(5s);
      REQUIRE(cached.has_value());
      CHECK(cached.value().mSequence == 4);
      CHECK(cached.value().mBlocks[0] == BlockId(18446744073709551615ULL));
      const auto load = events.value()->Next(5s);
      CHECK(load.error().mCode == ErrorCode::Corrupt);
      const auto end = events.value()->Next(5s);
      CHECK(end.error().mCode == ErrorCode::Unavailable);
    });
}
