#include "running_site.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr int kTokens = 100;

enum class EngineFault : unsigned char
{
  Killed,
  Frozen,
  StreamCut,
  AllStreamsCut
};

struct Row
{
  const char* mName;
  EngineFault mFault;
};

constexpr Row kRows[] = {
  { "engine killed", EngineFault::Killed },
  { "engine frozen", EngineFault::Frozen },
  { "stream cut once", EngineFault::StreamCut },
  { "every stream cut", EngineFault::AllStreamsCut },
};

void
Inject(RunningSite& aSite, EngineFault aFault)
{
  auto& engine = aSite->Engines()[0];
  switch (aFault) {
    case EngineFault::Killed:
      aSite.Kill(engine);
      break;
    case EngineFault::Frozen:
      engine.mProcess->Signal(SIGSTOP);
      break;
    case EngineFault::StreamCut:
      aSite->SetFault(engine.mEndpoint, R"({"cut_stream_after":10})");
      break;
    case EngineFault::AllStreamsCut:
      for (const auto& it : aSite->Engines()) {
        aSite->SetFault(it.mEndpoint, R"({"cut_stream_after":10})");
      }
      break;
  }
}

} // namespace

TEST_CASE("A fault of an engine gives the whole answer or says that it is "
          "incomplete")
{
  RunningSite site;
  for (const auto& row : kRows) {
    CAPTURE(std::string(row.mName));
    const std::string prompt = std::string("hem ") + row.mName;
    const auto stream =
      site.StreamOn(0, (site.HomeOf("engine-1") + 1) % 3, prompt, kTokens);
    Inject(site, row.mFault);
    const auto answer = stream->Take();
    CAPTURE(answer.mBody);
    const std::string whole = ExpectedText(prompt, kTokens);
    CHECK(whole.starts_with(answer.mText));
    const bool isWhole = answer.mDone && answer.mText == whole;
    const bool isHonest =
      !answer.mDone && answer.mBody.find("\"incomplete\"") != std::string::npos;
    CHECK((isWhole || isHonest));
    if (row.mFault != EngineFault::AllStreamsCut) {
      CHECK(isWhole);
    } else {
      CHECK(isHonest);
    }
    // Restore the engine for the next row.
    if (row.mFault == EngineFault::Killed) {
      site->RestartEngine(0);
    }
    site->Engines()[0].mProcess->Signal(SIGCONT);
    for (const auto& it : site->Engines()) {
      site->SetFault(it.mEndpoint, R"({"cut_stream_after":0})");
    }
    site.RunOnlyOn(0);
    const auto isServing = [&] { return site.Complete(0, "back", 1).mDone; };
    CHECK(site->Await(kPatience, isServing));
    site.RunOnlyOn(-1);
  }
}

TEST_CASE("Requests that every engine refuses are refused as not run")
{
  RunningSite site;
  for (const auto& engine : site->Engines()) {
    site->SetFault(engine.mEndpoint, R"({"refuse":true})");
  }
  std::uint64_t before = 0;
  for (const auto& engine : site->Engines()) {
    before += site.Count(engine, "attempts");
  }
  const auto answer =
    site->Call(site->Daemons()[0].mCallers,
               { "POST",
                 "/v1/completions",
                 { { "Authorization", "Bearer token-large" } },
                 R"({"model":"guide","max_tokens":5,"prompt":"nobody"})" });
  CAPTURE(answer.mBody);
  CHECK(answer.mStatus == 503);
  CHECK(answer.mBody.find("\"not_run\"") != std::string::npos);
  std::uint64_t after = 0;
  for (const auto& engine : site->Engines()) {
    after += site.Count(engine, "attempts");
  }
  CHECK(after == before);
}
