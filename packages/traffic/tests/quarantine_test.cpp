#include <bilberrytrail/base/random.h>
#include <bilberrytrail/traffic/quarantine.h>

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 1000s };
const Fingerprint kFatal(1);
const ServerId kServer("s1");
const ServerId kOther("s2");

std::unique_ptr<Quarantine>
Make(std::size_t aMax = 100)
{
  QuarantineSettings settings;
  settings.mMaxFingerprints = aMax;
  return MakeQuarantine(settings);
}

} // namespace

TEST_CASE("fingerprints differ by product, account and body")
{
  const auto base = MakeFingerprint(ProductId("p"), AccountId("a"), "body");
  CHECK(base == MakeFingerprint(ProductId("p"), AccountId("a"), "body"));
  CHECK(base != MakeFingerprint(ProductId("p"), AccountId("b"), "body"));
  CHECK(base != MakeFingerprint(ProductId("q"), AccountId("a"), "body"));
  CHECK(base != MakeFingerprint(ProductId("p"), AccountId("a"), "other"));
  CHECK(MakeFingerprint(ProductId("pa"), AccountId("b"), "") !=
        MakeFingerprint(ProductId("p"), AccountId("ab"), ""));
}

TEST_CASE("verdict depends on server deaths and clean reruns")
{
  struct Row
  {
    std::string mName;
    // d: the server dies; D: the same death is reported again; c: clean rerun;
    // u: inconclusive rerun; x: a run started before the death ends clean.
    std::string mEvents;
    QuarantineVerdict mVerdict;
  };
  const Row rows[] = {
    { "nothing", "", QuarantineVerdict::Clear },
    { "one death", "d", QuarantineVerdict::Suspect },
    { "one death, reported twice", "dD", QuarantineVerdict::Suspect },
    { "two deaths", "dd", QuarantineVerdict::Convicted },
    { "clean rerun", "dc", QuarantineVerdict::Clear },
    { "clean rerun, then a death", "dcd", QuarantineVerdict::Suspect },
    { "inconclusive rerun", "du", QuarantineVerdict::Suspect },
    { "run started before the death", "dx", QuarantineVerdict::Suspect },
    { "inconclusive rerun, then a death", "dud", QuarantineVerdict::Convicted },
    { "no rerun after conviction", "ddc", QuarantineVerdict::Convicted },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto quarantine = Make();
    std::uint64_t deaths = 0;
    for (const char event : row.mEvents) {
      if (event == 'd' || event == 'D') {
        deaths += event == 'd' ? 1 : 0;
        quarantine->ServerDied(
          MakeDeathId(kServer, deaths), kServer, { kFatal }, kStart);
        continue;
      }
      if (event != 'x' &&
          quarantine->Start(kFatal, kOther, kStart) != StartVerdict::Start) {
        continue;
      }
      const auto end =
        event == 'u' ? RunOutcome::Inconclusive : RunOutcome::Clean;
      quarantine->End(kFatal, kOther, end, kStart);
    }
    CHECK(quarantine->Verdict(kFatal, kStart) == row.mVerdict);
    CHECK(
      (quarantine->Start(kFatal, kServer, kStart) == StartVerdict::Refuse) ==
      (row.mVerdict == QuarantineVerdict::Convicted));
  }
}

TEST_CASE("suspects are rerun on separate servers, each one at a time")
{
  const auto quarantine = Make();
  const Fingerprint bystander(2);
  quarantine->ServerDied(DeathId(1), kServer, { kFatal, bystander }, kStart);
  CHECK(quarantine->Start(kFatal, kOther, kStart) == StartVerdict::Start);
  CHECK(quarantine->Start(bystander, kOther, kStart) ==
        StartVerdict::ServerBusy);
  CHECK(quarantine->Start(kFatal, kServer, kStart) ==
        StartVerdict::RerunElsewhere);
  CHECK(quarantine->Start(Fingerprint(3), kOther, kStart) ==
        StartVerdict::Start);
  // The rerun kills its server: that request is convicted, and the other one is
  // cleared by its rerun on the next server.
  quarantine->ServerDied(DeathId(2), kOther, { kFatal }, kStart);
  CHECK(quarantine->Start(kFatal, kServer, kStart) == StartVerdict::Refuse);
  CHECK(quarantine->Start(bystander, kOther, kStart) == StartVerdict::Start);
  quarantine->End(bystander, kOther, RunOutcome::Clean, kStart);
  CHECK(quarantine->Verdict(bystander, kStart) == QuarantineVerdict::Clear);
}

TEST_CASE("a clean rerun does not clear a death recorded during it")
{
  const auto quarantine = Make();
  quarantine->ServerDied(DeathId(1), kServer, { kFatal }, kStart);
  REQUIRE(quarantine->Start(kFatal, kOther, kStart) == StartVerdict::Start);
  quarantine->Merge({ { kFatal, DeathId(2), false, 500s } }, kStart);
  quarantine->End(kFatal, kOther, RunOutcome::Clean, kStart);
  CHECK(quarantine->Verdict(kFatal, kStart) == QuarantineVerdict::Suspect);
}

TEST_CASE(
  "a rerun whose end is not reported blocks others only until it expires")
{
  const auto quarantine = Make();
  quarantine->ServerDied(DeathId(1), kServer, { kFatal }, kStart);
  REQUIRE(quarantine->Start(kFatal, kOther, kStart) == StartVerdict::Start);
  CHECK(quarantine->Start(kFatal, kOther, kStart + 299s) ==
        StartVerdict::RerunElsewhere);
  CHECK(quarantine->Start(kFatal, kOther, kStart + 300s) ==
        StartVerdict::Start);
}

TEST_CASE("merging records in any order gives the same state")
{
  const std::vector<QuarantineRecord> records = {
    { kFatal, DeathId(1), false, 500s },
    { kFatal, DeathId(2), false, 400s },
    { Fingerprint(2), DeathId(1), false, 500s },
    { Fingerprint(2), DeathId(1), true, 500s },
    { Fingerprint(3), DeathId(1), false, 500s },
    { Fingerprint(3), DeathId(1), false, 300s },
  };
  Random random(7);
  for (int n = 0; n < 50; ++n) {
    auto shuffled = records;
    for (int copies = 0; copies < 3; ++copies) {
      shuffled.push_back(records[random.Below(records.size())]);
    }
    for (std::size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1], shuffled[random.Below(i)]);
    }
    const auto quarantine = Make();
    for (const auto& record : shuffled) {
      quarantine->Merge({ record }, kStart);
    }
    CHECK(quarantine->Verdict(kFatal, kStart) == QuarantineVerdict::Convicted);
    CHECK(quarantine->Verdict(Fingerprint(2), kStart) ==
          QuarantineVerdict::Clear);
    CHECK(quarantine->Verdict(Fingerprint(3), kStart) ==
          QuarantineVerdict::Suspect);
    CHECK(quarantine->Remaining(kFatal, kStart) == 400s);
    CHECK(quarantine->Remaining(Fingerprint(3), kStart) == 300s);
  }
}

TEST_CASE("exchange between daemons does not extend the expiry of a record")
{
  const auto left = Make();
  const auto right = Make();
  left->ServerDied(DeathId(1), kServer, { kFatal }, kStart);
  for (auto now = kStart; now < kStart + 700s; now += 1s) {
    const auto sent = left->Export(now);
    const auto back = right->Export(now);
    right->Merge(sent, now + 500ms);
    left->Merge(back, now + 500ms);
    CHECK((left->Verdict(kFatal, now) == QuarantineVerdict::Clear) ==
          (now >= kStart + 600s));
  }
  CHECK(right->Verdict(kFatal, kStart + 601s) == QuarantineVerdict::Clear);
}

TEST_CASE("fingerprints are bounded and convicted ones are evicted last")
{
  const auto quarantine = Make(10);
  quarantine->ServerDied(DeathId(1), kServer, { kFatal }, kStart);
  quarantine->ServerDied(DeathId(2), kServer, { kFatal }, kStart);
  for (std::uint64_t n = 0; n < 100; ++n) {
    quarantine->ServerDied(
      DeathId(10 + n), kServer, { Fingerprint(10 + n) }, kStart + 1s);
    CHECK(quarantine->size() <= 10);
  }
  CHECK(quarantine->Verdict(kFatal, kStart + 1s) ==
        QuarantineVerdict::Convicted);
  CHECK(quarantine->Verdict(Fingerprint(109), kStart + 1s) ==
        QuarantineVerdict::Suspect);
}

TEST_CASE("a resent request kills no more servers than the documented bound")
{
  struct Row
  {
    std::string mName;
    // Time between two resends, each through the next daemon.
    Duration mGap;
    // Time for records to reach the other daemons.
    Duration mDelay;
    bool mQuarantined;
    std::size_t mBound;
  };
  constexpr std::size_t kDaemons = 8;
  constexpr std::size_t kResends = 40;
  const Row rows[] = {
    { "records arrive before the next resend", 100ms, 50ms, true, 2 },
    // Two, and three more while the records of the second death are in transit.
    { "resent faster than records travel", 100ms, 350ms, true, 5 },
    { "no quarantine", 100ms, 50ms, false, kResends },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    std::vector<std::unique_ptr<Quarantine>> daemons;
    for (std::size_t n = 0; n < kDaemons; ++n) {
      daemons.push_back(row.mQuarantined ? Make() : MakeNoQuarantine());
    }
    std::vector<std::pair<Instant, std::vector<QuarantineRecord>>> sent;
    std::size_t killed = 0;
    for (std::size_t n = 0; n < kResends; ++n) {
      const auto now = kStart + n * row.mGap;
      for (const auto& [at, records] : sent) {
        if (at + row.mDelay <= now) {
          for (const auto& daemon : daemons) {
            daemon->Merge(records, now);
          }
        }
      }
      auto& daemon = *daemons[n % kDaemons];
      const ServerId server("s" + std::to_string(n));
      if (daemon.Start(kFatal, server, now) != StartVerdict::Start) {
        continue;
      }
      ++killed;
      daemon.ServerDied(MakeDeathId(server, 1), server, { kFatal }, now);
      sent.emplace_back(now, daemon.Export(now));
    }
    MESSAGE(row.mName << ": servers killed " << killed);
    CHECK(killed <= row.mBound);
    CHECK((row.mQuarantined || killed == kResends));
  }
}
