#include <bilberrytrail/traffic/hedge_race.h>

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

// Applies events to a race: h adds the hedge; 1 and 2 are chunks of the first
// attempt and of the hedge, ( and ) their ends. Returns the chunks passed on,
// and ! for each rejected hedge.
std::string
Run(HedgeRace& aRace, const std::string& aEvents)
{
  std::string passed;
  for (const char c : aEvents) {
    if (c == 'h') {
      passed += aRace.AddHedge() ? "" : "!";
    } else if (c == '(' || c == ')') {
      aRace.End(c == '(' ? RaceAttempt::First : RaceAttempt::Hedge);
    } else if (aRace.AcceptChunk(c == '1' ? RaceAttempt::First
                                          : RaceAttempt::Hedge)) {
      passed += c;
    }
  }
  return passed;
}

} // namespace

TEST_CASE(
  "only the winner of two attempts passes chunks on and ends the request")
{
  struct Row
  {
    std::string mEvents;
    std::string mPassed;
    std::optional<RaceAttempt> mFinalAttempt;
  };
  const auto first = RaceAttempt::First;
  const auto hedge = RaceAttempt::Hedge;
  const Row rows[] = {
    { "11(", "11", first },
    { "h2)", "2", hedge },
    { "h22)(", "22", hedge },
    { "h11(", "11", first },
    // Both answer: no chunk of the loser is passed on, before or after its end.
    { "h1212", "11", std::nullopt },
    { "h2121)1(1", "22", hedge },
    // The loser's end does not end the request.
    { "h1)", "1", std::nullopt },
    { "h2(", "2", std::nullopt },
    // One ends without an answer, the other continues.
    { "h(", "", std::nullopt },
    { "h(2)", "2", hedge },
    { "h)1(", "1", first },
    { "h()", "", hedge },
    { "h)(", "", first },
    // A chunk after the end of its attempt is rejected.
    { "h(12)", "2", hedge },
    // A hedge is rejected after an answer, an end or another hedge.
    { "1h", "1!", std::nullopt },
    { "(h", "!", first },
    { "hh", "!", std::nullopt },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mEvents);
    HedgeRace race;
    CHECK(Run(race, row.mEvents) == row.mPassed);
    CHECK(race.FinalAttempt() == row.mFinalAttempt);
  }
}
