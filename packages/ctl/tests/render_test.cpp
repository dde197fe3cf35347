#include <bilberrytrail/base/random.h>
#include <bilberrytrail/ctl/render.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

constexpr const char* kStatus = R"({
  "daemon":"entry-1","zone":"north-a","ready":true,"draining":false,
  "table_up":true,"list_age_ms":900,
  "products":[{"product":"guides","release":5}],
  "daemons":[{"name":"entry-2","zone":"north-b","state":"alive",
              "endpoint":"10.0.0.2:7002"}],
  "servers":[{"name":"engine-1","product":"guides","role":"engine",
              "zone":"north-a","home":"entry-1","state":"serving",
              "release":3,"queued":0,"running":2,"report_age_ms":300}]})";

constexpr const char* kHistograms = R"({"series":[{
  "product":"guides","account":"tailors","class":"draft",
  "measure":"first_token","unit":"ms","count":120,"sum":9100.5,"max":410.2,
  "p50":61.0,"p90":130.0,"p99":402.0,
  "bins":[[50.1,56.2,30],[56.2,63.1,90]]}]})";

} // namespace

TEST_CASE("replies are rendered as text")
{
  struct Row
  {
    Command mCommand;
    const char* mBody;
    const char* mText;
  };
  const Row rows[] = {
    { Command::ReleaseApply,
      R"({"number":5,"already":false})",
      "release 5 is accepted\n" },
    { Command::ReleaseApply,
      R"({"number":5,"already":true})",
      "release 5 was accepted already\n" },
    { Command::ReleaseShow,
      R"({"product":"guides","number":5,"id":"x","note":"[a]\nb = \u001b1"})",
      "; release 5 of guides, id x\n[a]\nb = ?1\n" },
    { Command::ReleaseShow,
      R"({"product":"guides","number":0})",
      "no release of guides\n" },
    { Command::ReleaseLog,
      R"({"releases":[{"number":12,"id":"x","time_ms":7}]})",
      "RELEASE  ID  TIME_MS\n12       x   7\n" },
    { Command::Status,
      kStatus,
      "answered by entry-1 in north-a: ready, table up, list 900 ms old\n"
      "guides: release 5\n"
      "\n"
      "DAEMON   ZONE     STATE  ENDPOINT\n"
      "entry-2  north-b  alive  10.0.0.2:7002\n"
      "\n"
      "SERVER    PRODUCT  ROLE    ZONE     HOME     STATE    RELEASE  LAG  "
      "QUEUED  RUNNING  REPORT_MS\n"
      "engine-1  guides   engine  north-a  entry-1  serving  3        2    "
      "0       2        300\n" },
    { Command::Histograms,
      kHistograms,
      "guides/tailors draft first_token\n"
      "  count 120  p50 61.0 ms  p90 130.0 ms  p99 402.0 ms  max 410.2 ms\n"
      "       50.1 -      56.2 ms        30 #############\n"
      "       56.2 -      63.1 ms        90 "
      "########################################\n" },
    { Command::Status,
      R"({"daemon":"d","zone":"z","ready":false,"not_ready":"no release",
          "table_up":false,"list_age_ms":1,
          "products":[{"product":"p","release":5}],
          "servers":[{"name":"s","product":"p"}]})",
      "answered by d in z: not ready (no release), TABLE DOWN, list 1 ms old\n"
      "p: release 5\n"
      "\n"
      "DAEMON  ZONE  STATE  ENDPOINT\n"
      "\n"
      "SERVER  PRODUCT  ROLE  ZONE  HOME  STATE  RELEASE  LAG  QUEUED  "
      "RUNNING  REPORT_MS\n"
      "s       p                                 -        -    -       "
      "-        -\n" },
    { Command::Histograms, "{}", "no times recorded\n" },
    { Command::DrainServer, R"({"draining":true})", "drain has begun\n" },
    { Command::QuarantineList,
      R"({"entries":[{"fingerprint":"9e","product":"p","account":"a",
          "state":"convicted","deaths":2,"age_ms":6}]})",
      "FINGERPRINT  PRODUCT  ACCOUNT  STATE      DEATHS  AGE_MS\n"
      "9e           p        a        convicted  2       6\n" },
    { Command::QuarantineClear, R"({"cleared":true})", "cleared\n" },
    { Command::Metrics, "a{b=\"c\"} 1\n", "a{b=\"c\"} 1\n" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mBody);
    const auto text = RenderReply(row.mCommand, row.mBody);
    REQUIRE(text.has_value());
    CHECK(text.value() == row.mText);
  }
}

TEST_CASE("many bins are merged into at most 20 rows")
{
  std::string bins;
  for (int n = 0; n < 95; ++n) {
    bins += (n == 0 ? "" : ",") + std::string("[") + std::to_string(n) + "," +
            std::to_string(n + 1) + ",1]";
  }
  const auto text = RenderReply(Command::Histograms,
                                "{\"series\":[{\"bins\":[" + bins + "]}]}");
  REQUIRE(text.has_value());
  CHECK(std::ranges::count(text.value(), '\n') == 2 + 19);
  CHECK(text.value().find(" 90.0 -      95.0 ms         5 #") !=
        std::string::npos);
}

TEST_CASE("a body that is not a JSON object is Corrupt")
{
  for (const auto* body : { "", "[]", "{", "1" }) {
    CAPTURE(body);
    const auto text = RenderReply(Command::Status, body);
    REQUIRE_FALSE(text.has_value());
    CHECK(text.error().mCode == ErrorCode::Corrupt);
  }
}

TEST_CASE("mutated replies are rendered or rejected, without escape characters")
{
  constexpr std::uint64_t kSeed = 5;
  constexpr int kRounds = 4000;
  Random random(kSeed);
  for (int n = 0; n < kRounds; ++n) {
    CAPTURE(n);
    std::string body = n % 2 == 0 ? kStatus : kHistograms;
    for (auto edits = 1 + random.Below(3); edits > 0; --edits) {
      const auto at = random.Below(body.size());
      if (random.Below(2) == 0) {
        body[at] = static_cast<char>(random.Below(256));
      } else {
        body.erase(at, 1 + random.Below(10));
      }
    }
    const auto text =
      RenderReply(n % 2 == 0 ? Command::Status : Command::Histograms, body);
    if (text) {
      REQUIRE(text.value().find('\x1b') == std::string::npos);
    }
  }
}
