#include "running_site.h"

#include <bilberrytrail/backend/engine_json.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <thread>

using namespace bilberrytrail;

namespace {

std::string
NextNote(int aAgainst, const std::string& aVersion)
{
  return SampleNote("brotlag", aAgainst, aVersion, 3);
}

// Checks that the release is in force on every daemon within the bound.
void
CheckInForce(RunningSite& aSite, int aNumber)
{
  const auto start = MonotonicNow();
  for (std::size_t n = 0; n < aSite->Daemons().size(); ++n) {
    CAPTURE(n);
    const Duration left = kReleaseBound - (MonotonicNow() - start);
    CHECK(aSite->AwaitRelease(n, aNumber, std::max<Duration>(left, 1ms)));
  }
  MESSAGE("release " << aNumber << " in force everywhere after "
                     << ToMillis(MonotonicNow() - start) << " ms");
}

// Returns the weight versions that an engine serves or loads.
std::set<std::string>
LoadedVersions(RunningSite& aSite, const SiteProcess& aEngine)
{
  const auto reply =
    aSite->Call(aEngine.mEndpoint, { "GET", "/state", {}, {} });
  const auto json = ParseJson(reply.mBody);
  std::set<std::string> versions;
  if (json) {
    if (const auto state = ReadEngineState(json.value())) {
      for (const auto& it : state.value().mVersions) {
        versions.insert(it.mVersion.Text());
      }
    }
  }
  return versions;
}

} // namespace

TEST_CASE("Of two operators who race through two daemons one wins and the "
          "other is told the number")
{
  RunningSite site;
  for (int n = 1; n <= 5; ++n) {
    const auto apply = [&](std::size_t aDaemon) {
      const std::string name =
        "race-" + std::to_string(n) + "-" + std::to_string(aDaemon);
      return site.Apply(aDaemon, n, name, NextNote(n, name));
    };
    auto other = std::async(std::launch::async, [&] { return apply(1); });
    const auto mine = apply(0);
    const auto theirs = other.get();
    CAPTURE(mine.mBody);
    CAPTURE(theirs.mBody);
    const auto& won = mine.mStatus == 200 ? mine : theirs;
    const auto& lost = mine.mStatus == 200 ? theirs : mine;
    CHECK(won.mStatus == 200);
    CHECK(lost.mStatus == 409);
    const auto told = ParseJson(lost.mBody);
    REQUIRE(told);
    CHECK(told.value().value("conflict_with", 0) == n + 1);
    CheckInForce(site, n + 1);
  }
}

TEST_CASE("A note whose replies were lost is in force once, and a note in "
          "force is never refused")
{
  RunningSite site;
  const auto& platform = site->Platform().mEndpoint;
  const std::string note = NextNote(1, "v2");
  site->SetFault(platform, R"({"table":"lose_replies"})");
  const auto lost = site.Apply(0, 1, "note-2", note);
  CAPTURE(lost.mBody);
  CHECK(lost.mStatus == 503);
  site->SetFault(platform, R"({"table":"up"})");
  const auto again = site.Apply(1, 1, "note-2", note);
  CAPTURE(again.mBody);
  CHECK(again.mStatus == 200);
  CHECK(again.mBody.find("\"number\":2") != std::string::npos);
  CheckInForce(site, 2);
  REQUIRE(site.Apply(2, 2, "note-3", NextNote(2, "v3")).mStatus == 200);
  CheckInForce(site, 3);
  // The same notes again through every daemon: already in force, also with
  // another number to be written against.
  for (std::size_t n = 0; n < 3; ++n) {
    for (const int against : { 1, 2 }) {
      const auto repeated = site.Apply(n, against, "note-2", note);
      CAPTURE(repeated.mBody);
      CHECK(repeated.mStatus == 200);
      CHECK(repeated.mBody.find("\"already\":true") != std::string::npos);
      CHECK(repeated.mBody.find("\"number\":2") != std::string::npos);
    }
    const auto changed = site.Apply(n, 1, "note-2", NextNote(1, "v9"));
    CAPTURE(changed.mBody);
    CHECK(changed.mStatus == 409);
    CHECK(changed.mBody.find("\"conflict_with\":2") != std::string::npos);
    const auto broken = site.Apply(n, 1, "note-2", "[nonsense");
    CHECK(broken.mStatus == 409);
    CHECK(site.Apply(n, 3, "note-new", "[nonsense").mStatus == 422);
  }
}

TEST_CASE("A release survives a table that goes down after the acceptance "
          "and a restart of every daemon")
{
  RunningSite site;
  const auto& platform = site->Platform().mEndpoint;
  REQUIRE(site.Apply(0, 1, "note-2", NextNote(1, "v2")).mStatus == 200);
  site->SetFault(platform, R"({"table":"down","list":"down"})");
  CheckInForce(site, 2);
  for (std::size_t n = 0; n < 3; ++n) {
    CAPTURE(n);
    site.Kill(site->Daemons()[n]);
    const auto start = MonotonicNow();
    site->RestartDaemon(n);
    MESSAGE("daemon ready without the platform after "
            << ToMillis(MonotonicNow() - start) << " ms");
    CHECK(site.ReleaseOn(n) == 2);
    const std::string prompt = "served " + std::to_string(n);
    CHECK(site.Complete(n, prompt, 5).mText == ExpectedText(prompt, 5));
  }
  site->SetFault(platform, R"({"table":"up","list":"up"})");
  REQUIRE(site.Apply(0, 2, "note-3", NextNote(2, "v3")).mStatus == 200);
  CheckInForce(site, 3);
}

TEST_CASE("A model keeps serving the version it has until the one in force "
          "is loaded")
{
  RunningSite site;
  const auto& platform = site->Platform().mEndpoint;
  site->SetFault(platform, R"({"weights":"down"})");
  REQUIRE(site.Apply(0, 1, "note-2", NextNote(1, "v2")).mStatus == 200);
  CheckInForce(site, 2);
  for (std::size_t n = 0; n < 3; ++n) {
    CAPTURE(n);
    const std::string prompt = "meanwhile " + std::to_string(n);
    const auto answer = site.Complete(n, prompt, 5);
    CAPTURE(answer.mBody);
    CHECK(answer.mText == ExpectedText(prompt, 5));
  }
  site->SetFault(platform, R"({"weights":"up"})");
  CHECK(site->Await(kPatience, [&] {
    return std::all_of(
      site->Engines().begin(), site->Engines().end(), [&](const auto& aEngine) {
        return LoadedVersions(site, aEngine) == std::set<std::string>{ "v2" };
      });
  }));
  CHECK(site.Complete(0, "after", 5).mText == ExpectedText("after", 5));
}

TEST_CASE("A daemon that was frozen catches up within the bound and never "
          "goes back")
{
  RunningSite site;
  auto& frozen = *site->Daemons()[2].mProcess;
  frozen.Signal(SIGSTOP);
  for (int n = 1; n <= 3; ++n) {
    const std::string id = "note-" + std::to_string(n + 1);
    REQUIRE(
      site.Apply(0, n, id, NextNote(n, "v" + std::to_string(n + 1))).mStatus ==
      200);
  }
  frozen.Signal(SIGCONT);
  CheckInForce(site, 4);
  // Old numbers that still go round must not win.
  int lowest = 4;
  const auto end = MonotonicNow() + kReleaseBound;
  while (MonotonicNow() < end) {
    for (std::size_t n = 0; n < 3; ++n) {
      lowest = std::min(lowest, site.ReleaseOn(n));
    }
  }
  CHECK(lowest == 4);
}
