#include "engine/answer_text.h"
#include "engine/engine_server.h"

#include <bilberrytrail/backend/http_backend.h>
#include <bilberrytrail/runtime/http_server.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr const char* kPrompt = "sixteen bytes of sheet and a tail";

EngineSettings
MakeSettings()
{
  EngineSettings settings;
  settings.mSlots = 1;
  settings.mPrefillTokensPerSecond = 1e6;
  settings.mDecodeTokensPerSecond = 1e4;
  settings.mLoadTime = 1ms;
  settings.mReportPeriod = 5ms;
  return settings;
}

GenerateRequest
MakeRequest(const std::string& aAttempt, std::uint32_t aMaxTokens)
{
  GenerateRequest request;
  request.mAttempt = AttemptId(aAttempt);
  request.mModel = ModelId("m");
  request.mVersion = VersionId("v1");
  request.mPrompt = kPrompt;
  request.mBlocks = { BlockId(1), BlockId(2) };
  request.mBlockBytes = 16;
  request.mMaxTokens = aMaxTokens;
  return request;
}

// Runs the body on a fiber beside an engine with version v1 of model m:
// aBody(loop, engine).
template<class Body>
void
WithEngine(Body aBody)
{
  Loop loop;
  EngineServer standin(loop, MakeSettings());
  standin.Preload(ModelId("m"), VersionId("v1"));
  HttpServer server(loop, HttpLimits());
  const auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.has_value());
  server.Serve(standin.Handler());
  loop.Spawn([&] {
    HttpClient client(loop);
    const auto engine =
      MakeHttpEngine(client, Endpoint{ "127.0.0.1", port.value() });
    aBody(loop, *engine);
    loop.Stop();
  });
  loop.Run();
}

// What a caller gets of an answer.
struct Received
{
  GenerateHead mHead;
  std::string mText;
  bool mEnded = false;
};

Received
Receive(Engine& aEngine, const GenerateRequest& aRequest)
{
  Received received;
  const auto stream = aEngine.Generate(aRequest, 5s);
  REQUIRE(stream.has_value());
  received.mHead = stream.value()->Head();
  auto chunk = stream.value()->Next(5s);
  while (chunk && !chunk.value().mEnd) {
    CHECK(chunk.value().mAttempt == aRequest.mAttempt);
    received.mText += chunk.value().mText;
    chunk = stream.value()->Next(5s);
  }
  received.mEnded = chunk.has_value();
  return received;
}

} // namespace

TEST_CASE("an answer is whole, and its prompt is cached for the next")
{
  WithEngine([](Loop&, Engine& aEngine) {
    const auto first = Receive(aEngine, MakeRequest("a1", 5));
    CHECK(first.mEnded);
    CHECK(first.mText == Answer(kPrompt).Text(0, 5));
    CHECK(first.mHead.mVersion == VersionId("v1"));
    CHECK(first.mHead.mCachedTokens == 0);
    const auto second = Receive(aEngine, MakeRequest("a2", 5));
    CHECK(second.mHead.mCachedTokens == 8);
  });
}

TEST_CASE("an answer goes on behind the text of an earlier attempt")
{
  WithEngine([](Loop&, Engine& aEngine) {
    const Answer answer(kPrompt);
    auto request = MakeRequest("a1", 5);
    request.mStartPosition = 2;
    request.mResumeText = answer.Text(0, 2);
    CHECK(Receive(aEngine, request).mText == answer.Text(2, 5));
    request.mAttempt = AttemptId("a2");
    request.mResumeText = answer.Text(0, 1);
    const auto refused = aEngine.Generate(request, 5s);
    CHECK(refused.error().mDisposition == CallDisposition::NotRun);
  });
}

TEST_CASE("a cancelled attempt has no end and frees its slot")
{
  WithEngine([](Loop&, Engine& aEngine) {
    const auto stream = aEngine.Generate(MakeRequest("a1", 1000000), 5s);
    REQUIRE(stream.has_value());
    REQUIRE(aEngine.Cancel(AttemptId("a1"), 5s));
    auto chunk = stream.value()->Next(5s);
    while (chunk && !chunk.value().mEnd) {
      chunk = stream.value()->Next(5s);
    }
    CHECK_FALSE(chunk.has_value());
    CHECK(Receive(aEngine, MakeRequest("a2", 2)).mEnded);
    CHECK(aEngine.Cancel(AttemptId("unknown"), 5s).has_value());
  });
}

TEST_CASE("a dropped stream frees its slot")
{
  WithEngine([](Loop&, Engine& aEngine) {
    static_cast<void>(aEngine.Generate(MakeRequest("a1", 1000000), 5s));
    CHECK(Receive(aEngine, MakeRequest("a2", 2)).mEnded);
  });
}

TEST_CASE("orders are obeyed, and refused when their fencing number is old")
{
  WithEngine([](Loop& aLoop, Engine& aEngine) {
    EngineOrder order;
    order.mFencing = FencingNumber(5);
    order.mModel = ModelId("m");
    order.mVersion = VersionId("v2");
    REQUIRE(aEngine.SendOrder(order, 5s));
    const LoadedVersion ready{ ModelId("m"), VersionId("v2"), true };
    auto state = aEngine.ReadState(5s);
    while (state && state.value().mVersions.back() != ready) {
      REQUIRE(aLoop.Sleep(1ms));
      state = aEngine.ReadState(5s);
    }
    CHECK(state.value().mHighestFencing == FencingNumber(5));
    order.mFencing = FencingNumber(4);
    const auto old = aEngine.SendOrder(order, 5s);
    REQUIRE_FALSE(old.has_value());
    CHECK(old.error().mDisposition == CallDisposition::NotRun);
    CHECK(old.error().mError.mCode == ErrorCode::Refused);
    auto request = MakeRequest("a1", 1);
    request.mVersion = VersionId("v3");
    CHECK(aEngine.Generate(request, 5s).error().mDisposition ==
          CallDisposition::NotRun);
  });
}

TEST_CASE("cached blocks and load are published")
{
  WithEngine([](Loop&, Engine& aEngine) {
    const auto events = aEngine.Subscribe(0, 0s, 5s);
    REQUIRE(events.has_value());
    CHECK(Receive(aEngine, MakeRequest("a1", 1)).mEnded);
    bool hasLoad = false;
    std::vector<BlockId> cached;
    while (!hasLoad || cached.empty()) {
      const auto event = events.value()->Next(5s);
      REQUIRE(event.has_value());
      hasLoad = hasLoad || event.value().mState.has_value();
      if (event.value().mKind == EngineEventKind::BlockCached) {
        cached = event.value().mBlocks;
      }
    }
    CHECK(cached == std::vector<BlockId>{ BlockId(1), BlockId(2) });
  });
}

TEST_CASE("a reader that asks for reports on change gets no others")
{
  WithEngine([](Loop& aLoop, Engine& aEngine) {
    const auto events = aEngine.Subscribe(0, 60s, 5s);
    REQUIRE(events.has_value());
    REQUIRE(aLoop.Sleep(500ms));
    EngineOrder order;
    order.mKind = OrderKind::LoadAdapter;
    order.mModel = ModelId("m");
    order.mVersion = VersionId("v1");
    order.mFencing = FencingNumber(5);
    order.mArgument = "adapter";
    REQUIRE(aEngine.SendOrder(order, 5s).has_value());
    std::size_t reports = 0;
    while (true) {
      const auto event = events.value()->Next(5s);
      REQUIRE(event.has_value());
      ++reports;
      const auto& state = event.value().mState;
      if (state && !state->mAdapters.empty()) {
        break;
      }
    }
    // At the engine's own period there would be a hundred.
    CHECK(reports <= 20);
  });
}
