#include "running_site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

using namespace bilberrytrail;

namespace {

constexpr int kTokens = 250;

// How the news that a server leaves reaches the first daemon, and what fails
// at that moment.
enum class News : unsigned char
{
  Listed,
  ListedToOneThenListDown,
  DrainedWithListDown,
  ListedAndHomeKilled
};

struct Row
{
  const char* mName;
  News mNews;
};

constexpr Row kRows[] = {
  { "listed as leaving", News::Listed },
  { "list down after one daemon read it", News::ListedToOneThenListDown },
  { "drained by an operator while the list is down",
    News::DrainedWithListDown },
  { "listed, and the home is killed", News::ListedAndHomeKilled },
};

bool
IsLeavingAt(RunningSite& aSite, std::size_t aDaemon)
{
  const Json status = aSite.Status(aDaemon);
  const Json servers = status.value("servers", Json::array());
  return std::any_of(servers.begin(), servers.end(), [](const Json& aServer) {
    return aServer.value("name", "") == "engine-1" &&
           aServer.value("state", "") == "leaving";
  });
}

// Sends a short prompt that must be answered soon.
HttpResponse
Ask(RunningSite& aSite, std::size_t aDaemon)
{
  return aSite->Call(
    aSite->Daemons()[aDaemon].mCallers,
    { "POST",
      "/v1/completions",
      { { "Authorization", "Bearer token-large" }, { "X-Deadline-Ms", "700" } },
      R"({"model":"guide","max_tokens":1,"prompt":"now"})" });
}

// Spreads the news; returns when daemon 0 knows.
void
Spread(RunningSite& aSite, News aNews)
{
  const auto& platform = aSite->Platform().mEndpoint;
  const bool isHidden = aNews == News::ListedToOneThenListDown;
  if (aNews == News::DrainedWithListDown) {
    aSite->SetFault(platform, R"({"list":"down"})");
    const auto drained =
      aSite->Operate(0, "POST", "/operator/drain", R"({"server":"engine-1"})");
    REQUIRE(drained.mStatus == 200);
  } else {
    for (std::size_t n = 1; isHidden && n < 3; ++n) {
      aSite->Daemons()[n].mProcess->Signal(SIGSTOP);
    }
    aSite->PublishList({ "engine-1" });
  }
  REQUIRE(aSite->Await(kPatience, [&] { return IsLeavingAt(aSite, 0); }));
  if (isHidden) {
    aSite->SetFault(platform, R"({"list":"down"})");
    for (std::size_t n = 1; n < 3; ++n) {
      aSite->Daemons()[n].mProcess->Signal(SIGCONT);
    }
  }
}

} // namespace

TEST_CASE("A leaving server gets no new work 3 s after the news reached any "
          "daemon, and finishes what it runs")
{
  for (const auto& row : kRows) {
    CAPTURE(std::string(row.mName));
    RunningSite site;
    const std::size_t home = site.HomeOf("engine-1");
    const std::size_t entry = home == 0 ? 1 : 0;
    const std::string prompt = std::string("long guide ") + row.mName;
    const auto running = site.StreamOn(0, entry, prompt, kTokens);
    Spread(site, row.mNews);
    const auto toldAt = MonotonicNow();
    if (row.mNews == News::ListedAndHomeKilled) {
      site.Kill(site->Daemons()[home]);
    }
    std::this_thread::sleep_until(toldAt + kLeavingBound);
    // No other engine takes work, so that each daemon would choose this one.
    site.RunOnlyOn(0);
    const auto before = site.Count(site->Engines()[0], "attempts");
    for (std::size_t n = 0; n < 3; ++n) {
      const bool isDead = row.mNews == News::ListedAndHomeKilled && n == home;
      if (!isDead) {
        CAPTURE(n);
        const auto refused = Ask(site, n);
        CAPTURE(refused.mBody);
        CHECK(refused.mStatus == 503);
        CHECK(refused.mBody.find("\"not_run\"") != std::string::npos);
      }
    }
    CHECK(site.Count(site->Engines()[0], "attempts") == before);
    site.RunOnlyOn(-1);
    const auto answer = running->Take();
    CHECK(answer.mDone);
    CHECK(answer.mText == ExpectedText(prompt, kTokens));
  }
}
