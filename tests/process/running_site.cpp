#include "running_site.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/membership/gossip.h>

#include <doctest/doctest.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr int kFirstTokens = 3;

std::string
CompletionBody(const std::string& aPrompt, int aTokens)
{
  return Json{
    { "model", "guide" },
    { "stream", true },
    { "max_tokens", aTokens },
    { "prompt", aPrompt }
  }.dump();
}

SiteShape
WithTestTimes(SiteShape aShape)
{
  aShape.mPlatformOptions.push_back("--download-ms=50");
  aShape.mSettings["membership"] +=
    "gossip_period = " + std::to_string(kTestGossipPeriod / 1ms) + "ms\n";
  return aShape;
}

} // namespace

Duration
DeathBound()
{
  GossipSettings settings;
  settings.mPeriod = kTestGossipPeriod;
  return DeathDetectionBound(settings, 3);
}

std::string
ExpectedText(const std::string& aPrompt, int aTokens)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kLength = 8;
  auto hash = StableHash64(aPrompt);
  std::string word = "w";
  for (int n = 0; n < kLength; ++n) {
    word += kDigits[hash & 15U];
    hash >>= 4U;
  }
  std::string text;
  for (int n = 0; n < aTokens; ++n) {
    text += word + "-" + std::to_string(n) + " ";
  }
  return text;
}

BackgroundStream::BackgroundStream(const Endpoint& aEndpoint,
                                   const std::string& aPrompt,
                                   int aTokens)
  : mAnswer(std::async(std::launch::async, [=, this] {
    return StreamCompletion(aEndpoint,
                            "token-large",
                            CompletionBody(aPrompt, aTokens),
                            kPatience,
                            [this](const std::string& aText) {
                              mTokens = static_cast<int>(
                                std::count(aText.begin(), aText.end(), ' '));
                            });
  }))
{
}

BackgroundStream::~BackgroundStream() = default;

bool
BackgroundStream::HasEnded() const
{
  return mAnswer.wait_for(0s) == std::future_status::ready;
}

RunningSite::RunningSite(SiteShape aShape)
  : mSite(WithTestTimes(std::move(aShape)))
{
  mSite.Start();
  const auto note = SampleNote("brotlag", 0, "v1", mSite.Engines().size());
  REQUIRE(Apply(0, 0, "note-1", note).mStatus == 200);
  for (std::size_t n = 0; n < mSite.Daemons().size(); ++n) {
    REQUIRE(mSite.AwaitRelease(n, 1, kReleaseBound));
  }
  for (auto& engine : mSite.Engines()) {
    REQUIRE(mSite.Await(kPatience, [&] {
      const auto state = ParseJson(
        mSite.Call(engine.mEndpoint, { "GET", "/state", {}, {} }).mBody);
      return state && !state.value()["versions"].empty() &&
             state.value()["versions"][0].value("ready", false);
    }));
  }
  for (std::size_t n = 0; n < mSite.Daemons().size(); ++n) {
    REQUIRE(Complete(n, "warm up", 1).mDone);
  }
}

Json
RunningSite::Status(std::size_t aDaemon)
{
  const auto status = mSite.Operate(aDaemon, "GET", "/operator/status");
  auto json = ParseJson(status.mBody);
  return json ? json.value() : Json::object();
}

std::size_t
RunningSite::HomeOf(const std::string& aServer, std::size_t aAsked)
{
  const Json status = Status(aAsked);
  std::string home;
  for (const auto& it : status.value("servers", Json::array())) {
    if (it.value("name", "") == aServer) {
      home = it.value("home", "");
    }
  }
  const std::string name = home.substr(0, home.find('~'));
  for (std::size_t n = 0; n < mSite.Daemons().size(); ++n) {
    if (mSite.Daemons()[n].mName == name) {
      return n;
    }
  }
  FAIL("no home of " << aServer);
  return 0;
}

std::uint64_t
RunningSite::Count(const SiteProcess& aProcess, const std::string& aName)
{
  const auto json = ParseJson(
    mSite.Call(aProcess.mEndpoint, { "GET", "/stats", {}, {} }, 5s).mBody);
  return json ? json.value().value(aName, std::uint64_t{ 0 }) : 0;
}

std::uint64_t
RunningSite::RunsOf(const std::string& aOrder)
{
  std::uint64_t runs = 0;
  for (const auto& server : mSite.OrderServers()) {
    const auto json = ParseJson(
      mSite.Call(server.mEndpoint, { "GET", "/stats", {}, {} }, 5s).mBody);
    if (json && json.value().contains("runs")) {
      runs += json.value()["runs"].value(aOrder, std::uint64_t{ 0 });
    }
  }
  return runs;
}

bool
RunningSite::IsReady(std::size_t aDaemon)
{
  return mSite
           .Call(mSite.Daemons()[aDaemon].mCallers,
                 { "GET", "/healthz", {}, {} },
                 1s)
           .mStatus == 200;
}

int
RunningSite::ReleaseOn(std::size_t aDaemon)
{
  const Json status = Status(aDaemon);
  for (const auto& it : status.value("products", Json::array())) {
    if (it.value("product", "") == "brotlag") {
      return it.value("release", 0);
    }
  }
  return 0;
}

HttpResponse
RunningSite::Apply(std::size_t aDaemon,
                   int aAgainst,
                   const std::string& aId,
                   const std::string& aNote)
{
  return mSite.Operate(aDaemon,
                       "POST",
                       "/operator/release/apply",
                       Json{ { "product", "brotlag" },
                             { "against", aAgainst },
                             { "id", aId },
                             { "note", aNote } }
                         .dump());
}

StreamedAnswer
RunningSite::Complete(std::size_t aDaemon,
                      const std::string& aPrompt,
                      int aTokens)
{
  return StreamCompletion(mSite.Daemons()[aDaemon].mCallers,
                          "token-large",
                          CompletionBody(aPrompt, aTokens),
                          kPatience);
}

Booking
RunningSite::Book(std::size_t aDaemon,
                  const std::string& aKey,
                  const std::string& aOrder)
{
  const auto response =
    mSite.Call(mSite.Daemons()[aDaemon].mCallers,
               { "POST",
                 "/v1/products/brotlag/services/orders/book",
                 { { "Authorization", "Bearer token-small" },
                   { "Content-Type", "application/json" },
                   { "Idempotency-Key", aKey } },
                 Json{ { "order", aOrder } }.dump() });
  Booking booking{ response.mStatus, {}, response.mBody };
  const auto json = ParseJson(response.mBody);
  if (json && json.value().is_object()) {
    booking.mDisposition = json.value().value("disposition", "");
  }
  return booking;
}

void
RunningSite::RunOnlyOn(int aEngine)
{
  for (std::size_t n = 0; n < mSite.Engines().size(); ++n) {
    const bool isRefusing = aEngine >= 0 && static_cast<int>(n) != aEngine;
    mSite.SetFault(mSite.Engines()[n].mEndpoint,
                   Json{ { "refuse", isRefusing } }.dump());
  }
}

std::unique_ptr<BackgroundStream>
RunningSite::StreamOn(std::size_t aEngine,
                      std::size_t aDaemon,
                      const std::string& aPrompt,
                      int aTokens)
{
  RunOnlyOn(static_cast<int>(aEngine));
  auto stream = std::make_unique<BackgroundStream>(
    mSite.Daemons()[aDaemon].mCallers, aPrompt, aTokens);
  REQUIRE(
    mSite.Await(kPatience, [&] { return stream->Tokens() >= kFirstTokens; }));
  REQUIRE(Count(mSite.Engines()[aEngine], "running") == 1);
  RunOnlyOn(-1);
  return stream;
}

void
RunningSite::Kill(SiteProcess& aProcess)
{
  aProcess.mProcess->Signal(SIGKILL);
  REQUIRE(aProcess.mProcess->Wait(kPatience).has_value());
}

} // namespace bilberrytrail
