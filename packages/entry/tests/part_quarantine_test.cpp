#include <bilberrytrail/entry/part_quarantine.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

constexpr std::uint64_t kDeadly = 9;

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

std::vector<PartKey>
Keys(const std::vector<std::uint64_t>& aParts)
{
  std::vector<PartKey> keys;
  keys.reserve(aParts.size());
  for (const auto it : aParts) {
    keys.emplace_back(it);
  }
  return keys;
}

struct Step
{
  // The server that ended; 0 for an answer that went on.
  std::uint64_t mDeath = 0;
  std::vector<std::uint64_t> mParts;
  Duration mAt{};
};

void
Apply(PartQuarantine& aQuarantine, const Step& aStep)
{
  const auto parts = Keys(aStep.mParts);
  if (aStep.mDeath == 0) {
    aQuarantine.AnswerWentOn(parts, At(aStep.mAt));
  } else {
    aQuarantine.ServerDied(
      DeathId(aStep.mDeath), parts, At(aStep.mAt), At(aStep.mAt));
  }
}

// Returns the parts below 10 that are in quarantine.
std::vector<std::uint64_t>
Quarantined(PartQuarantine& aQuarantine, Duration aAt)
{
  std::vector<std::uint64_t> parts;
  for (std::uint64_t n = 1; n < 10; ++n) {
    if (aQuarantine.QuarantineTime(Keys({ n }), At(aAt))) {
      parts.push_back(n);
    }
  }
  return parts;
}

} // namespace

// Guards against prompts with one part that crash one server after the other,
// and against refusing sound prompts that shared a server with them.
TEST_CASE("a part that crashes each server is quarantined, and no other")
{
  struct Row
  {
    const char* mName;
    std::vector<Step> mSteps;
    Duration mAt;
    std::vector<std::uint64_t> mExpected;
  };
  const Row rows[] = {
    { "nothing", {}, 1s, {} },
    { "two deaths", { { 1, { 1, 9 }, 0s }, { 2, { 1, 9 }, 1s } }, 3s, {} },
    { "three deaths with other parts before it",
      { { 1, { 1, 9 }, 0s }, { 2, { 2, 9 }, 1s }, { 3, { 3, 9 }, 2s } },
      3s,
      { kDeadly } },
    { "three deaths with other parts behind it",
      { { 1, { 9, 1 }, 0s }, { 2, { 9, 2 }, 1s }, { 3, { 9, 3 }, 2s } },
      3s,
      { kDeadly } },
    { "sound prompts that share the other part",
      { { 1, { 1, 9 }, 0s },
        { 0, { 1, 2 }, 500ms },
        { 2, { 1, 9 }, 1s },
        { 3, { 1, 9 }, 2s },
        { 0, { 1, 2 }, 2500ms } },
      3s,
      { kDeadly } },
    { "sound prompts that waited at the same servers",
      { { 1, { 1, 9 }, 0s },
        { 1, { 1, 2 }, 0s },
        { 2, { 1, 9 }, 1s },
        { 2, { 1, 2 }, 1s },
        { 0, { 1, 2 }, 1500ms },
        { 3, { 1, 9 }, 2s },
        { 3, { 1, 3 }, 2s } },
      3s,
      { kDeadly } },
    { "parts that only come together",
      { { 1, { 1, 9 }, 0s }, { 2, { 1, 9 }, 1s }, { 3, { 1, 9 }, 2s } },
      3s,
      { kDeadly } },
    { "an answer between the deaths",
      { { 1, { 9 }, 0s },
        { 2, { 9 }, 1s },
        { 0, { 9 }, 2s },
        { 3, { 9 }, 3s } },
      5s,
      {} },
    { "an answer after the deaths",
      { { 1, { 9 }, 0s },
        { 2, { 9 }, 1s },
        { 3, { 9 }, 2s },
        { 0, { 9 }, 3s } },
      5s,
      {} },
    { "one server three times",
      { { 1, { 9 }, 0s }, { 1, { 9 }, 1s }, { 1, { 9 }, 2s } },
      3s,
      {} },
    { "three servers at the same moment",
      { { 1, { 9 }, 0s }, { 2, { 9 }, 10ms }, { 3, { 9 }, 20ms } },
      3s,
      {} },
    { "before others can have reported answers",
      { { 1, { 9 }, 0s }, { 2, { 9 }, 300ms }, { 3, { 9 }, 600ms } },
      900ms,
      {} },
    { "after others can have reported answers",
      { { 1, { 9 }, 0s }, { 2, { 9 }, 300ms }, { 3, { 9 }, 600ms } },
      1s,
      { kDeadly } },
    { "three deaths of a part that was answered before",
      { { 0, { 9 }, 0s },
        { 1, { 9 }, 1s },
        { 2, { 9 }, 2s },
        { 3, { 9 }, 3s } },
      5s,
      {} },
    { "five deaths of a part that was answered before",
      { { 0, { 9 }, 0s },
        { 1, { 9 }, 1s },
        { 2, { 9 }, 2s },
        { 3, { 9 }, 3s },
        { 4, { 9 }, 4s },
        { 5, { 9 }, 5s } },
      6s,
      { kDeadly } },
    { "long after the deaths",
      { { 1, { 9 }, 0s }, { 2, { 9 }, 1s }, { 3, { 9 }, 2s } },
      603s,
      {} }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    PartQuarantine quarantine;
    for (const auto& it : row.mSteps) {
      Apply(quarantine, it);
    }
    CHECK(Quarantined(quarantine, row.mAt) == row.mExpected);
  }
}

TEST_CASE("evidence of several daemons adds up in any order and number")
{
  std::vector<std::size_t> order{ 0, 1, 2 };
  do {
    std::array<std::vector<PartEvidence>, 3> evidence;
    for (std::size_t n = 0; n < 3; ++n) {
      PartQuarantine source;
      const auto at = Duration(1s) * n;
      Apply(source, { n + 1, { 1, 9 }, at });
      // One daemon sees a sound prompt with the other part.
      if (n == 2) {
        Apply(source, { 0, { 1, 2 }, at + 150ms });
      }
      evidence[n] = source.Recent(At(at + 200ms));
    }
    PartQuarantine quarantine;
    for (int n = 0; n < 2; ++n) {
      for (const auto source : order) {
        quarantine.Merge(evidence[source], At(2700ms));
      }
    }
    CHECK(Quarantined(quarantine, 3s) == std::vector{ kDeadly });
  } while (std::ranges::next_permutation(order).found);
}

// Guards against two daemons that keep telling each other of deaths that one of
// them knows to be explained by nothing.
TEST_CASE("an answer clears a part at all daemons, late evidence included")
{
  PartQuarantine first;
  PartQuarantine second;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    Apply(first, { n, { 9 }, Duration(1s) * n });
  }
  CHECK(Quarantined(first, 4s) == std::vector{ kDeadly });
  const auto old = first.Recent(At(4s));
  Apply(second, { 0, { 9 }, 4s });
  second.Merge(old, At(4100ms));
  CHECK(Quarantined(second, 5s).empty());
  first.Merge(second.Recent(At(5s)), At(5s));
  CHECK(Quarantined(first, 5s).empty());
  first.Merge(old, At(6s));
  CHECK(Quarantined(first, 6s).empty());
}

TEST_CASE("a daemon that starts late learns what is in quarantine")
{
  PartQuarantine known;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    Apply(known, { n, { 9 }, Duration(1s) * n });
  }
  CHECK(Quarantined(known, 4s) == std::vector{ kDeadly });
  PartQuarantine fresh;
  fresh.Merge(known.Recent(At(300s)), At(300s));
  CHECK(Quarantined(fresh, 300s) == std::vector{ kDeadly });
  const auto time = fresh.QuarantineTime(Keys({ kDeadly }), At(300s));
  REQUIRE(time);
  CHECK(*time == 303s);
}

TEST_CASE("the evidence is bounded, and a quarantine outlasts newer suspicion")
{
  PartQuarantine quarantine;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    Apply(quarantine, { n, { 9 }, Duration(1s) * n });
  }
  for (std::uint64_t n = 100; n < 2000; ++n) {
    Apply(quarantine, { n, { n, n + 10000 }, 4s });
  }
  CHECK(quarantine.size() <= PartQuarantineSettings().mMaxParts);
  const auto recent = quarantine.Recent(At(4s));
  CHECK(recent.size() == PartQuarantine::kMaxRecent);
  CHECK(recent.front().mPart == PartKey(kDeadly));
  CHECK(Quarantined(quarantine, 5s) == std::vector{ kDeadly });
}

TEST_CASE("the last part of a prompt has no key")
{
  Prompt prompt;
  prompt.mModel = ModelId("m");
  prompt.mParts = { { "a", 1 }, { "b", 1 }, { "c", 1 } };
  const std::vector expected{ MakePartKey(ModelId("m"), "a"),
                              MakePartKey(ModelId("m"), "b") };
  CHECK(SharedPartKeys(prompt) == expected);
  CHECK(MakePartKey(ModelId("m"), "a") != MakePartKey(ModelId("n"), "a"));
  prompt.mParts.clear();
  CHECK(SharedPartKeys(prompt).empty());
}

// Guards against evidence that never leaves a daemon, since the sound parts
// that were at the same server and have been cleared since take all the places.
TEST_CASE("evidence against a part is passed on beside many cleared parts")
{
  for (const std::size_t sound : { 3U, 7U, 8U, 30U }) {
    CAPTURE(sound);
    PartQuarantine quarantine;
    std::vector<std::uint64_t> others;
    for (std::size_t n = 0; n < sound; ++n) {
      others.push_back(100 + n);
    }
    auto all = others;
    all.push_back(kDeadly);
    Apply(quarantine, { 1, all, 0s });
    Apply(quarantine, { 0, others, 500ms });
    const auto recent = quarantine.Recent(At(600ms));
    CHECK(recent.size() == std::min(sound + 1, PartQuarantine::kMaxRecent));
    CHECK(std::ranges::count(recent, PartKey(kDeadly), &PartEvidence::mPart) ==
          1);
  }
}
