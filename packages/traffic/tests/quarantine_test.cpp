#include <bilberrytrail/base/random.h>
#include <bilberrytrail/traffic/quarantine.h>

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 1000s };
const Fingerprint kPoison(1);
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

TEST_CASE("fingerprints tell products, accounts and bodies apart")
{
  const auto base = MakeFingerprint(ProductId("p"), AccountId("a"), "body");
  CHECK(base == MakeFingerprint(ProductId("p"), AccountId("a"), "body"));
  CHECK(base != MakeFingerprint(ProductId("p"), AccountId("b"), "body"));
  CHECK(base != MakeFingerprint(ProductId("q"), AccountId("a"), "body"));
  CHECK(base != MakeFingerprint(ProductId("p"), AccountId("a"), "other"));
  CHECK(MakeFingerprint(ProductId("pa"), AccountId("b"), "") !=
        MakeFingerprint(ProductId("p"), AccountId("ab"), ""));
}

TEST_CASE("verdicts follow from deaths and clean runs")
{
  struct Row
  {
    std::string mName;
    // d: its server dies; D: the same death again; c: clean rerun;
    // u: undecided rerun; x: a run from before the death ends clean.
    std::string mEvents;
    QuarantineVerdict mVerdict;
  };
  const Row rows[] = {
    { "nothing", "", QuarantineVerdict::Clear },
    { "one death", "d", QuarantineVerdict::Suspect },
    { "one death, told twice", "dD", QuarantineVerdict::Suspect },
    { "two deaths", "dd", QuarantineVerdict::Convicted },
    { "clean rerun", "dc", QuarantineVerdict::Clear },
    { "clean rerun, then a death", "dcd", QuarantineVerdict::Suspect },
    { "undecided rerun", "du", QuarantineVerdict::Suspect },
    { "run from before the death", "dx", QuarantineVerdict::Suspect },
    { "undecided rerun, then a death", "dud", QuarantineVerdict::Convicted },
    { "no rerun once convicted", "ddc", QuarantineVerdict::Convicted },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto quarantine = Make();
    std::uint64_t deaths = 0;
    for (const char event : row.mEvents) {
      if (event == 'd' || event == 'D') {
        deaths += event == 'd' ? 1 : 0;
        quarantine->ServerDied(
          MakeDeathId(kServer, deaths), kServer, { kPoison }, kStart);
        continue;
      }
      if (event != 'x' &&
          quarantine->Start(kPoison, kOther, kStart) != StartVerdict::Start) {
        continue;
      }
      const auto end =
        event == 'u' ? RunOutcome::Inconclusive : RunOutcome::Clean;
      quarantine->End(kPoison, kOther, end, kStart);
    }
    CHECK(quarantine->Verdict(kPoison, kStart) == row.mVerdict);
    CHECK(
      (quarantine->Start(kPoison, kServer, kStart) == StartVerdict::Refuse) ==
      (row.mVerdict == QuarantineVerdict::Convicted));
  }
}

TEST_CASE("suspects are rerun apart from each other and one at a time")
{
  const auto quarantine = Make();
  const Fingerprint neighbour(2);
  quarantine->ServerDied(DeathId(1), kServer, { kPoison, neighbour }, kStart);
  CHECK(quarantine->Start(kPoison, kOther, kStart) == StartVerdict::Start);
  CHECK(quarantine->Start(neighbour, kOther, kStart) ==
        StartVerdict::ServerBusy);
  CHECK(quarantine->Start(kPoison, kServer, kStart) ==
        StartVerdict::RerunElsewhere);
  CHECK(quarantine->Start(Fingerprint(3), kOther, kStart) ==
        StartVerdict::Start);
  // The rerun kills its server: the poison is convicted, and the neighbour
  // goes free on the next server.
  quarantine->ServerDied(DeathId(2), kOther, { kPoison }, kStart);
  CHECK(quarantine->Start(kPoison, kServer, kStart) == StartVerdict::Refuse);
  CHECK(quarantine->Start(neighbour, kOther, kStart) == StartVerdict::Start);
  quarantine->End(neighbour, kOther, RunOutcome::Clean, kStart);
  CHECK(quarantine->Verdict(neighbour, kStart) == QuarantineVerdict::Clear);
}

TEST_CASE("a clean rerun does not clear a death that came during it")
{
  const auto quarantine = Make();
  quarantine->ServerDied(DeathId(1), kServer, { kPoison }, kStart);
  REQUIRE(quarantine->Start(kPoison, kOther, kStart) == StartVerdict::Start);
  quarantine->Merge({ { kPoison, DeathId(2), false, 500s } }, kStart);
  quarantine->End(kPoison, kOther, RunOutcome::Clean, kStart);
  CHECK(quarantine->Verdict(kPoison, kStart) == QuarantineVerdict::Suspect);
}

TEST_CASE("a rerun whose end is never told does not block for ever")
{
  const auto quarantine = Make();
  quarantine->ServerDied(DeathId(1), kServer, { kPoison }, kStart);
  REQUIRE(quarantine->Start(kPoison, kOther, kStart) == StartVerdict::Start);
  CHECK(quarantine->Start(kPoison, kOther, kStart + 299s) ==
        StartVerdict::RerunElsewhere);
  CHECK(quarantine->Start(kPoison, kOther, kStart + 300s) ==
        StartVerdict::Start);
}

TEST_CASE("records merge to the same state in any order")
{
  const std::vector<QuarantineRecord> records = {
    { kPoison, DeathId(1), false, 500s },
    { kPoison, DeathId(2), false, 400s },
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
    CHECK(quarantine->Verdict(kPoison, kStart) == QuarantineVerdict::Convicted);
    CHECK(quarantine->Verdict(Fingerprint(2), kStart) ==
          QuarantineVerdict::Clear);
    CHECK(quarantine->Verdict(Fingerprint(3), kStart) ==
          QuarantineVerdict::Suspect);
    CHECK(quarantine->Remaining(kPoison, kStart) == 400s);
    CHECK(quarantine->Remaining(Fingerprint(3), kStart) == 300s);
  }
}

TEST_CASE("exchange between daemons does not prolong a record")
{
  const auto left = Make();
  const auto right = Make();
  left->ServerDied(DeathId(1), kServer, { kPoison }, kStart);
  for (auto now = kStart; now < kStart + 700s; now += 1s) {
    const auto sent = left->Export(now);
    const auto back = right->Export(now);
    right->Merge(sent, now + 500ms);
    left->Merge(back, now + 500ms);
    CHECK((left->Verdict(kPoison, now) == QuarantineVerdict::Clear) ==
          (now >= kStart + 600s));
  }
  CHECK(right->Verdict(kPoison, kStart + 601s) == QuarantineVerdict::Clear);
}

TEST_CASE("the number of fingerprints is bounded and convicts stay longest")
{
  const auto quarantine = Make(10);
  quarantine->ServerDied(DeathId(1), kServer, { kPoison }, kStart);
  quarantine->ServerDied(DeathId(2), kServer, { kPoison }, kStart);
  for (std::uint64_t n = 0; n < 100; ++n) {
    quarantine->ServerDied(
      DeathId(10 + n), kServer, { Fingerprint(10 + n) }, kStart + 1s);
    CHECK(quarantine->size() <= 10);
  }
  CHECK(quarantine->Verdict(kPoison, kStart + 1s) ==
        QuarantineVerdict::Convicted);
  CHECK(quarantine->Verdict(Fingerprint(109), kStart + 1s) ==
        QuarantineVerdict::Suspect);
}

TEST_CASE("a resent request takes no more servers than the stated bound")
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
    { "records come first", 100ms, 50ms, true, 2 },
    // Two, and three more while the records of the second death travel.
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
    std::size_t taken = 0;
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
      if (daemon.Start(kPoison, server, now) != StartVerdict::Start) {
        continue;
      }
      ++taken;
      daemon.ServerDied(MakeDeathId(server, 1), server, { kPoison }, now);
      sent.emplace_back(now, daemon.Export(now));
    }
    MESSAGE(row.mName << ": servers taken " << taken);
    CHECK(taken <= row.mBound);
    CHECK((row.mQuarantined || taken == kResends));
  }
}
