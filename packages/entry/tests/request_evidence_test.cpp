#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr auto kAddedKey = "added";

constexpr auto kAddedHost = "added.example";

// Returns the configuration with a further route and a further key.
SiteConfig
WithRouteAndKey(SiteConfig aConfig)
{
  auto route = aConfig.mRoutes.front();
  route.mName = "added";
  route.mHost = kAddedHost;
  aConfig.mRoutes.push_back(std::move(route));
  aConfig.mAccounts.front().mKeys.emplace_back(kAddedKey);
  return aConfig;
}

} // namespace

// Guards against 404 and 401 for a route or key that was added before the
// request was sent: an answer that was asked for earlier doesn't show it,
// however late it was read.
TEST_CASE("a refusal rests on evidence of about the time of the request")
{
  struct Row
  {
    const char* mName;
    const char* mHost;
    const char* mKey;
    RefusalReason mReason;
  };
  using enum RefusalReason;
  for (const Row& row : { Row{ "route", kAddedHost, "key", NoRoute },
                          Row{ "key", "h", kAddedKey, Unauthorized } }) {
    CAPTURE(row.mName);
    FlowFixture fixture;
    fixture.mConfigWithin = 4s;
    fixture.mRequest.mHost = row.mHost;
    fixture.mRequest.mKey = row.mKey;
    const auto arrivedAt = BootNow();
    fixture.Run();
    REQUIRE(fixture.mSink.mRefusal);
    CHECK(fixture.mSink.mRefusal->Reason() == row.mReason);
    REQUIRE_FALSE(fixture.mNeededEvidence.empty());
    CHECK(fixture.mNeededEvidence.back() >= arrivedAt - 3s);
    CHECK(fixture.mNeededEvidence.back() <= arrivedAt);
  }
}

// Guards against a refusal although the answer that was waited for brought the
// route or key.
TEST_CASE("a route or key that comes with the evidence is used")
{
  struct Row
  {
    const char* mName;
    const char* mHost;
    const char* mKey;
  };
  for (const Row& row : { Row{ "route", kAddedHost, "key" },
                          Row{ "key", "h", kAddedKey },
                          Row{ "both", kAddedHost, kAddedKey } }) {
    CAPTURE(row.mName);
    FlowFixture fixture;
    fixture.mRequest.mHost = row.mHost;
    fixture.mRequest.mKey = row.mKey;
    fixture.mEvidenceTime = 50ms;
    fixture.mConfigWithEvidence = WithRouteAndKey(fixture.mConfig);
    fixture.Run();
    CHECK_FALSE(fixture.mSink.mRefusal);
    CHECK(fixture.mBackend.mCalls.size() == 1);
  }
}

// A refusal that needs evidence is answered soon, with the time to come back.
TEST_CASE("evidence that doesn't come is not waited for")
{
  FlowFixture fixture;
  fixture.mRequest.mHost = kAddedHost;
  fixture.mEvidenceTime = 10s;
  fixture.Run();
  REQUIRE(fixture.mSink.mRefusal);
  CHECK(fixture.mSink.mRefusal->Reason() == RefusalReason::PlatformUnavailable);
  CHECK(fixture.mSink.mRefusal->RetryAfter().has_value());
  CHECK(fixture.mElapsed <= 600ms);
  CHECK(fixture.mBackend.mCalls.empty());
}

// While the table service is away, what is known serves on.
TEST_CASE("requests that the view allows are served without evidence")
{
  FlowFixture fixture;
  fixture.mIsFresh = false;
  fixture.Run();
  CHECK_FALSE(fixture.mSink.mRefusal);
  CHECK(fixture.mBackend.mCalls.size() == 1);
}
