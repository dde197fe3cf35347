#include "first_release.h"

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

TEST_CASE("a request above max_requests is refused at once as not run")
{
  SiteShape shape;
  shape.mDaemons = 1;
  shape.mEngines = 1;
  shape.mStores = false;
  shape.mSettings["limits"] = "max_requests = 1\n";
  Site site(shape);
  StartWithRelease(site);
  const auto& callers = site.Daemons()[0].mCallers;
  const auto body = [](int aTokens) {
    return R"({"model":"guide","stream":true,"prompt":"hem","max_tokens":)" +
           std::to_string(aTokens) + "}";
  };
  REQUIRE(site.Await(30s, [&] {
    return StreamCompletion(callers, "token-small", body(1)).mDone;
  }));

  StreamedAnswer longer;
  std::thread thread(
    [&] { longer = StreamCompletion(callers, "token-small", body(150)); });
  const auto running = [&] {
    const auto stats =
      site.Call(site.Engines()[0].mEndpoint, { "GET", "/stats", {}, {} });
    const auto json = ParseJson(stats.mBody);
    return json && json.value().value("running", 0) > 0;
  };
  CHECK(site.Await(20s, running));
  const auto refused =
    site.Call(callers,
              { "POST",
                "/v1/completions",
                { { "Authorization", "Bearer token-small" } },
                body(1) });
  CHECK(refused.mStatus == 503);
  CHECK(FindHeader(refused.mHeaders, "Retry-After") == "1");
  const auto problem = ParseJson(refused.mBody);
  REQUIRE(problem.has_value());
  CHECK(problem.value().value("disposition", "") == "not_run");
  // Health is answered all the same.
  CHECK(site.Call(callers, { "GET", "/healthz", {}, {} }).mStatus == 200);
  thread.join();
  CHECK(longer.mDone);
  CHECK(StreamCompletion(callers, "token-small", body(1)).mDone);
}
