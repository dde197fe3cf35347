#include "running_site.h"

#include <bilberrytrail/release/release_body.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const ProductId kProduct("brotlag");
const ReleaseNumber kSpoilt(3);

// Overwrites a row of the platform's table.
void
Spoil(RunningSite& aSite, const std::string& aKey)
{
  const auto& platform = aSite->Platform().mEndpoint;
  const auto read = ParseJson(
    aSite
      ->Call(platform,
             { "POST", "/table/read", {}, Json{ { "key", aKey } }.dump() })
      .mBody);
  REQUIRE(read);
  const Json row = read.value()["row"];
  REQUIRE(row.is_object());
  const Json write = { { "key", aKey },
                       { "value", "{}" },
                       { "expected_version", row["version"] },
                       { "erase", false } };
  const Json body = { { "writes", Json::array({ write }) } };
  const auto done =
    aSite->Call(platform, { "POST", "/table/commit", {}, body.dump() });
  REQUIRE(done.mBody.find("\"committed\":true") != std::string::npos);
}

} // namespace

TEST_CASE("a daemon that was frozen catches up by the notes alone, and by the "
          "body alone")
{
  for (const bool isBodySpoilt : { true, false }) {
    CAPTURE(isBodySpoilt);
    RunningSite site;
    auto& frozen = *site->Daemons()[2].mProcess;
    frozen.Signal(SIGSTOP);
    for (int n = 1; n <= 2; ++n) {
      const std::string id = "note-" + std::to_string(n + 1);
      const auto note = SampleNote("brotlag", n, "v" + std::to_string(n), 3);
      REQUIRE(site.Apply(0, n, id, note).mStatus == 200);
    }
    REQUIRE(site->AwaitRelease(0, 3, kReleaseBound));
    REQUIRE(site->AwaitRelease(1, 3, kReleaseBound));
    Spoil(site,
          isBodySpoilt ? ReleaseRowKey(kProduct, kSpoilt)
                       : NoteRowKey(kProduct, kSpoilt));
    frozen.Signal(SIGCONT);
    CHECK(site->AwaitRelease(2, 3, kReleaseBound));
  }
}
