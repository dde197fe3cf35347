#include "running_site.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

// About two seconds of decoding.
constexpr int kTokens = 100;
// Time from the news of a death to the next 20 tokens from another engine.
constexpr Duration kResumeTime = 1s;

} // namespace

TEST_CASE("A resend through another daemon gets the whole answer after the "
          "entry was killed")
{
  RunningSite site;
  const std::string prompt = "fold the corner";
  const std::size_t entry = (site.HomeOf("engine-1") + 1) % 3;
  const auto stream = site.StreamOn(0, entry, prompt, kTokens);
  site.Kill(site->Daemons()[entry]);
  const auto cut = stream->Take();
  CHECK_FALSE(cut.mDone);
  // The home stops what nobody waits for.
  CHECK(site->Await(kPatience, [&] {
    return site.Count(site->Engines()[0], "cancelled") >= 1;
  }));
  CHECK(ExpectedText(prompt, kTokens).starts_with(cut.mText));
  const auto again = site.Complete((entry + 1) % 3, prompt, kTokens);
  CHECK(again.mDone);
  CHECK(again.mText == ExpectedText(prompt, kTokens));
}

TEST_CASE("The caller gets the whole answer although the home was killed")
{
  RunningSite site;
  const std::string prompt = "press the seam";
  const std::size_t home = site.HomeOf("engine-1");
  const auto stream = site.StreamOn(0, (home + 1) % 3, prompt, kTokens);
  site.Kill(site->Daemons()[home]);
  const auto answer = stream->Take();
  INFO(answer.mBody);
  CHECK(answer.mDone);
  CHECK(answer.mText == ExpectedText(prompt, kTokens));
}

TEST_CASE("The entry resumes elsewhere when the home is frozen, and the home "
          "may wake later")
{
  RunningSite site;
  const std::string prompt = "turn the cloth";
  const std::size_t home = site.HomeOf("engine-1");
  const std::size_t entry = (home + 1) % 3;
  const auto stream = site.StreamOn(0, entry, prompt, kTokens);
  const auto frozenAt = MonotonicNow();
  site->Daemons()[home].mProcess->Signal(SIGSTOP);
  const int tokens = stream->Tokens();
  REQUIRE(site->Await(kPatience, [&] {
    return stream->Tokens() > tokens + 20 || stream->HasEnded();
  }));
  const auto resumedAfter = MonotonicNow() - frozenAt;
  MESSAGE("stream resumed after " << ToMillis(resumedAfter) << " ms, bound "
                                  << ToMillis(DeathBound() + kResumeTime)
                                  << " ms");
  CHECK(resumedAfter <= DeathBound() + kResumeTime);
  site->Daemons()[home].mProcess->Signal(SIGCONT);
  const auto answer = stream->Take();
  INFO(answer.mBody);
  CHECK(answer.mDone);
  CHECK(answer.mText == ExpectedText(prompt, kTokens));
  const auto isBack = [&] {
    return site.IsReady(home) &&
           site.Complete(home, prompt, 10).mText == ExpectedText(prompt, 10);
  };
  CHECK(site->Await(kPatience, isBack));
}

TEST_CASE("An engine that needs longer than the silence bound of a home to "
          "its first token is waited for")
{
  RunningSite site;
  const std::size_t home = site.HomeOf("engine-1");
  site.RunOnlyOn(0);
  // 1024 tokens at 20,000 a second, 130 times slower: 6.6 s.
  site->SetFault(site->Engines()[0].mEndpoint, R"({"slow":130})");
  const std::string prompt(4096, 'x');
  const auto answer = site.Complete((home + 1) % 3, prompt, 1);
  INFO(answer.mBody);
  CHECK(answer.mDone);
  CHECK(answer.mText == ExpectedText(prompt, 1));
  CHECK(answer.mFirstToken > 5s);
  CHECK(site.Count(site->Engines()[0], "attempts") <= 4);
}
