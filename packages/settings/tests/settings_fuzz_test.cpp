#include <bilberrytrail/base/random.h>
#include <bilberrytrail/settings/daemon_settings.h>
#include <bilberrytrail/settings/ini_document.h>

#include <doctest/doctest.h>

#include <algorithm>

#include "settings_sample.h"

using namespace bilberrytrail;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kRounds = 4000;

std::string
Mutate(Random& aRandom, std::string aText)
{
  constexpr std::string_view kPieces[] = { "[",  "]",  "=",  ":", "\n",
                                           ";",  "#",  "\r", " ", "\t",
                                           "\"", "\\", "9",  "ms" };
  const auto edits = 1 + aRandom.Below(6);
  for (std::uint64_t n = 0; n < edits; ++n) {
    const auto at = aRandom.Below(aText.size() + 1);
    switch (aRandom.Below(5)) {
      case 0:
        aText.insert(at, kPieces[aRandom.Below(std::size(kPieces))]);
        break;
      case 1:
        aText.erase(at, 1 + aRandom.Below(20));
        break;
      case 2:
        aText.insert(at, 1, static_cast<char>(aRandom.Below(256)));
        break;
      case 3:
        aText.insert(at, aText.substr(0, aRandom.Below(aText.size() + 1)));
        break;
      default:
        aText.insert(at, aRandom.Below(5000), 'x');
        break;
    }
  }
  return aText;
}

} // namespace

TEST_CASE("a mutated INI text yields entries found in the text, or an error")
{
  Random random(kSeed);
  for (int n = 0; n < kRounds; ++n) {
    CAPTURE(n);
    const auto text = Mutate(random, std::string(kSampleSettings));
    const auto lines = std::ranges::count(text, '\n') + 1;
    const auto entries = ParseIni(text, "f.ini");
    if (!entries) {
      REQUIRE(entries.error().mMessage.starts_with("f.ini:"));
      continue;
    }
    for (const auto& entry : entries.value()) {
      REQUIRE(entry.mLine >= 1);
      REQUIRE(entry.mLine <= lines);
      REQUIRE(text.find(entry.mKey) != std::string::npos);
      REQUIRE(text.find(entry.mValue) != std::string::npos);
    }
  }
}

TEST_CASE("mutated settings are complete, or refused with the file name")
{
  Random random(kSeed + 1);
  int accepted = 0;
  for (int n = 0; n < kRounds; ++n) {
    CAPTURE(n);
    const auto parsed = ParseDaemonSettings(
      Mutate(random, std::string(kSampleSettings)), "f.ini");
    if (parsed) {
      ++accepted;
      REQUIRE_FALSE(parsed.value().mName.IsEmpty());
      REQUIRE(parsed.value().mSiteKey.size() >= 32);
      REQUIRE(parsed.value().mOperatorTokenHash.size() == 64);
    } else {
      REQUIRE(parsed.error().mMessage.starts_with("f.ini:"));
    }
  }
  CHECK(accepted > 0);
}
