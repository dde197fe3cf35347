#include <bilberrytrail/traffic/hedge_race.h>

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

// Runs events on a race: h adds the hedge; 1 and 2 are pieces of the first
// attempt and of the hedge, ( and ) their ends. Returns the pieces passed on.
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

TEST_CASE("one of two attempts answers a request")
{
  struct Row
  {
    std::string mEvents;
    std::string mPassed;
    std::optional<RaceAttempt> mDecided;
  };
  const auto first = RaceAttempt::First;
  const auto hedge = RaceAttempt::Hedge;
  const Row rows[] = {
    { "11(", "11", first },
    { "h2)", "2", hedge },
    { "h22)(", "22", hedge },
    { "h11(", "11", first },
    // Both answer: nothing of the loser passes, before or after the end.
    { "h1212", "11", std::nullopt },
    { "h2121)1(1", "22", hedge },
    // The loser's end decides nothing.
    { "h1)", "1", std::nullopt },
    { "h2(", "2", std::nullopt },
    // One fails without an answer, the other goes on.
    { "h(", "", std::nullopt },
    { "h(2)", "2", hedge },
    { "h)1(", "1", first },
    { "h()", "", hedge },
    { "h)(", "", first },
    // A piece after its own attempt's end is not taken.
    { "h(12)", "2", hedge },
    // A hedge that comes too late is not sent.
    { "1h", "1!", std::nullopt },
    { "(h", "!", first },
    { "hh", "!", std::nullopt },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mEvents);
    HedgeRace race;
    CHECK(Run(race, row.mEvents) == row.mPassed);
    CHECK(race.FinalAttempt() == row.mDecided);
  }
}
