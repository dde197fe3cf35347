// The operator's command against real daemons.

#include "site.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace bilberrytrail;

namespace {

struct CtlResult
{
  int mStatus = -1;
  std::string mOutput;
};

CtlResult
RunCtl(Site& aSite, const std::vector<std::string>& aArguments)
{
  ::setenv("BILBERRYTRAIL_TOKEN", Site::OperatorToken().c_str(), 1);
  ::setenv(
    "BILBERRYTRAIL_DAEMON", ToText(aSite.Daemons()[0].mOperators).c_str(), 1);
  const std::string file = aSite.Folder() + "/ctl.out";
  Process process(BuiltProgram("packages/ctl/bilberryctl"), aArguments, file);
  CtlResult result;
  result.mStatus = process.Wait(20s).value_or(-1);
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  result.mOutput = text.str();
  return result;
}

std::string
WriteNote(Site& aSite, const std::string& aName, const std::string& aText)
{
  std::string file = aSite.Folder() + "/" + aName;
  std::ofstream(file) << aText;
  return file;
}

} // namespace

TEST_CASE("an operator applies releases and reads the site's state")
{
  SiteShape shape;
  shape.mDaemons = 2;
  shape.mEngines = 2;
  shape.mEngineOptions = { "--load-ms=50" };
  shape.mPlatformOptions = { "--download-ms=50" };
  Site site(shape);
  site.Start();
  const auto first =
    WriteNote(site, "1.ini", SampleNote("brotlag", 0, "v1", 2));
  REQUIRE(RunCtl(site, { "release", "apply", first }).mStatus == 0);
  for (std::size_t n = 0; n < 2; ++n) {
    REQUIRE(site.AwaitRelease(n, 1, 6s));
  }
  const auto answer =
    StreamCompletion(site.Daemons()[0].mCallers,
                     "token-small",
                     R"({"model":"guide","prompt":"fold","max_tokens":4,)"
                     R"("stream":true})");
  REQUIRE(answer.mDone);

  SUBCASE("another note against the same release is a conflict")
  {
    auto other = SampleNote("brotlag", 0, "v9", 2);
    const auto file = WriteNote(site, "2.ini", other);
    const auto result = RunCtl(site, { "release", "apply", file });
    CHECK(result.mStatus == 3);
    CHECK(result.mOutput.find('1') != std::string::npos);
  }
  SUBCASE("the same note again is accepted as applied already")
  {
    CHECK(RunCtl(site, { "release", "apply", first }).mStatus == 0);
  }
  SUBCASE("the state can be read from any daemon")
  {
    struct Row
    {
      std::vector<std::string> mArguments;
      const char* mExpected;
    };
    const Row rows[] = {
      { { "status" }, "engine-2" },
      { { "status", "--json" }, "\"ready\":true" },
      { { "release", "show", "brotlag" }, "token_sha256" },
      { { "release", "log", "brotlag" }, "1" },
      { { "histograms" }, "small" },
      { { "metrics" }, "answered" },
    };
    for (const auto& row : rows) {
      CAPTURE(row.mArguments[0]);
      const auto result = RunCtl(site, row.mArguments);
      CAPTURE(result.mOutput);
      CHECK(result.mStatus == 0);
      CHECK(result.mOutput.find(row.mExpected) != std::string::npos);
    }
  }
  SUBCASE("a drained daemon ends with status 0")
  {
    CHECK(RunCtl(site, { "drain", "daemon", "entry-2" }).mStatus == 0);
    CHECK(site.Daemons()[1].mProcess->Wait(20s) == 0);
    CHECK(RunCtl(site, { "drain", "daemon", "entry-9" }).mStatus == 8);
  }
  SUBCASE("a wrong token does nothing")
  {
    const auto response =
      site.Call(site.Daemons()[0].mOperators,
                { "POST",
                  "/operator/drain",
                  { { "Authorization", "Bearer token-small" } },
                  R"({"daemon":"entry-1"})" });
    CHECK(response.mStatus == 401);
    CHECK_FALSE(site.Daemons()[0].mProcess->Poll().has_value());
  }
}
