#include "trace_recorder.h"

#include "world_node.h"

#include <bilberrytrail/platform/json_fields.h>

#include <doctest/doctest.h>

namespace bilberrytrail {
namespace {

// Answers nobody.
class NoResponder final : public HttpResponder
{
public:
  bool HasBegun() const noexcept override { return false; }
  bool IsPeerOpen() noexcept override { return true; }
  Result<void> Send(HttpResponse /*aResponse*/) override { return Ok(); }
  Result<void> BeginStream(unsigned /*aStatus*/,
                           HttpHeaders /*aHeaders*/) override
  {
    return Ok();
  }
  Result<void> WriteChunk(std::string_view /*aData*/) override { return Ok(); }
  Result<void> EndStream() override { return Ok(); }
  void Abort() override {}
};

TEST_CASE("a recorded line has no text of a caller")
{
  Loop loop;
  NoSeal seal;
  ThreadContext thread(loop, seal, Endpoint());
  DaemonSettings settings = DefaultDaemonSettings();
  settings.mSiteKey = "a site key of thirty-two bytes !";
  settings.mBlockBytes = 64;
  NoResponder responder;
  HttpRequest http;
  http.mBody = "SECRET-BODY";
  RequestContext context{ .mHttp = http,
                          .mResponder = responder,
                          .mThread = thread,
                          .mView = std::make_shared<const ControlView>(),
                          .mArrivedAt = MonotonicNow() };
  context.mAccount = { ProductId("shop"), AccountId("SECRET-ACCOUNT") };
  context.mService = ServiceRequest{ "orders", "/book", false, "SECRET-KEY" };

  const auto line = RenderTraceLine(context, settings, 1500ms);
  CHECK(line.find("SECRET") == std::string::npos);
  const auto json = ParseJson(line);
  REQUIRE(json.has_value());
  CHECK(json.value().value("kind", "") == "request");
  CHECK(json.value().value("at_ms", 0) == 1500);
  CHECK(json.value().contains("key"));
  // Equal requests give equal lines, and another account gives another one.
  CHECK(RenderTraceLine(context, settings, 1500ms) == line);
  context.mAccount.mAccount = AccountId("other");
  CHECK(RenderTraceLine(context, settings, 1500ms) != line);

  context.mService.reset();
  context.mCompletion = CompletionRequest();
  context.mCompletion->mPrompt = "SECRET-PROMPT" + std::string(200, 'x');
  const auto prompt = RenderTraceLine(context, settings, 0ms);
  CHECK(prompt.find("SECRET") == std::string::npos);
  CHECK(ParseJson(prompt).value().value("blocks", 0) == 3);
}

} // namespace
} // namespace bilberrytrail
